package dispatcher

import (
	"log/slog"
	"sync"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/estimator"
	"github.com/magnoliaknot/magnoliaknot/internal/state/orderer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Limits of the connections to the backend server.
const (
	backendConnectTimeout = 500 * timer.Millis(1)
	// backendIdleTimeout is below the idle timeout of common HTTP servers.
	backendIdleTimeout = 4 * timer.Second
	// nonIdempotentReuse is the longest idle time of a connection that may carry a
	// request that must not be repeated. A backend server may drop an idle connection
	// without notice.
	nonIdempotentReuse = 500 * timer.Millis(1)
	// maxRunTime bounds a run whose attempt sets no bound.
	maxRunTime = timer.Minute
	// fullRampShare is the ramp share of a failure domain in service.
	fullRampShare = 1.0
)

// AdmissionConfig configures an Admission.
type AdmissionConfig struct {
	// Member describes this daemon; Admission fills in its load and state.
	Member        registrar.Member
	Address       identifier.Address
	Clock         timer.Clock
	Configuration *router.Holder
	Dialect       Dialect
	Bodies        BodyLimits
	// LoadCheckTimeout is how long a start waits for a health check if the known load
	// is too old.
	LoadCheckTimeout timer.Millis
	// RecallTimeout bounds the wait for EndRecall before the first start. Zero means none.
	RecallTimeout timer.Millis
	// OnChange is called when the load or state has changed. It must not block.
	OnChange func()
	// OnLeave is called when the backend server has said that it leaves, once for each
	// run. It must not block.
	OnLeave func()
	// OnAttempt is called with the daemon that sent an attempt. It must not block.
	OnAttempt func(sender identifier.Incarnation)
	// Memory and Sockets bound the connections to the backend server, with others.
	Memory  *exchanger.Memory
	Sockets *exchanger.Sockets
	// BroadcastQuarantine sends quarantine entries to the other daemons of the service.
	BroadcastQuarantine func(entries []quarantiner.Entry)
	Logger              *slog.Logger
}

// Admission decides which attempts may start on the backend server beside the
// daemon and runs them. It is safe for concurrent use.
type Admission struct {
	config   AdmissionConfig
	observer *observer
	pool     *exchanger.Pool

	mu          sync.Mutex
	admitter    *admitter.Admitter
	quarantiner *quarantiner.Quarantiner
	estimator   *estimator.Estimator
	runs        map[identifier.AttemptID]*Run
	backend     Backend
	// leftRun is the last run of the backend server that said that it leaves.
	leftRun orderer.Run
	// order decides which announcements of the backend server are current. Pending is one of
	// another backend server that counts if the health check finds it; nil if there is none.
	order   *orderer.Orderer
	pending *Backend
	// down says that the backend server cannot be reached or that another one has its
	// address. The next announcement or good health answer resets it.
	down     bool
	stopping bool
	// recallEnd is until when nothing starts, since an earlier run of this daemon may know
	// that the backend server leaves.
	recallEnd timer.Millis
	coldStart coldStart
	load      BackendLoad
	loadAt    timer.Millis
	notices   notices
	revision  uint64
	rollout   rolloutState
	// limit is the concurrency limit that was passed to the admitter.
	limit     int
	checkedAt timer.Millis
	// checkDone is closed when the running health check ends. It is nil if none is
	// running.
	checkDone chan struct{}
}

// NewAdmission returns an admission without a backend server.
func NewAdmission(config AdmissionConfig) *Admission {
	return &Admission{
		config:   config,
		observer: newObserver(config.Logger),
		pool: exchanger.NewPool(exchanger.PoolConfig{
			Address: config.Address, ConnectTimeout: backendConnectTimeout,
			MaxIdle: backendMaxIdle, IdleTimeout: backendIdleTimeout, Memory: config.Memory, Sockets: config.Sockets,
		}),
		admitter:    admitter.New(),
		quarantiner: quarantiner.New(quarantiner.Config{}),
		estimator:   estimator.New(),
		order:       orderer.New(),
		runs:        map[identifier.AttemptID]*Run{},
		recallEnd:   recallEnd(config),
	}
}

func recallEnd(config AdmissionConfig) timer.Millis {
	if config.RecallTimeout <= 0 {
		return 0
	}
	return config.Clock.Now() + config.RecallTimeout
}

// EndRecall says that what earlier runs of this daemon knew of the backend server has been
// announced, so that attempts may start.
func (a *Admission) EndRecall() {
	a.mu.Lock()
	a.recallEnd = 0
	a.applyLimits(a.config.Clock.Now())
	a.mu.Unlock()
	a.config.OnChange()
}

// backendMaxIdle bounds the idle connections to the backend server.
const backendMaxIdle = 64

// Handle serves an attempt sent by another daemon.
func (a *Admission) Handle(x *exchanger.Exchange) {
	var attempt encoder.Attempt
	if err := attempt.Decode(&x.Request.Header); err != nil {
		a.config.Logger.Warn("attempt with invalid headers refused", "error", shorten([]byte(err.Error())))
		id := shorten(x.Request.Header.Peek(encoder.HeaderAttempt))
		encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.BadRequest}.WriteResponse(&x.Response)
		x.Response.Header.Set(encoder.HeaderAttempt, id)
		return
	}
	encoder.RemoveInternalHeaders(&x.Request.Header)
	if attempt.Target != a.config.Member.Node {
		// Another VM had this address when the sender learned it.
		a.config.Logger.Warn("attempt for another instance refused", "attempt", attempt.ID.String(), "target", shorten([]byte(attempt.Target)))
		encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.Unavailable, RetryAfterMs: unavailableRetryAfter}.WriteResponse(&x.Response)
		x.Response.Header.Set(encoder.HeaderAttempt, attempt.ID.String())
		return
	}
	a.config.OnAttempt(attempt.ID.Origin)
	run := NewRun(attempt, &x.Request, &x.Response)
	run.Memory = x.Memory()
	run.Deliver = func(body *exchanger.Body) error {
		a.encodeHead(x, attempt)
		return x.Deliver(body)
	}
	x.OnDisconnect(func() { a.Cancel(run) })
	if refusal, answered := a.Execute(run); !answered {
		refusal.WriteResponse(&x.Response)
	}
	a.encodeHead(x, attempt)
}

// encodeHead adds the load and the attempt's id to a response to another daemon.
func (a *Admission) encodeHead(x *exchanger.Exchange, attempt encoder.Attempt) {
	encodeLoad(&x.Response.Header, a.Load())
	x.Response.Header.Set(encoder.HeaderAttempt, attempt.ID.String())
}

// Execute waits until an attempt may start and runs it. It returns false and a
// refusal if the response holds no answer of the backend server.
func (a *Admission) Execute(r *Run) (encoder.Refusal, bool) {
	header := &r.Request.Header
	snapshot := a.config.Configuration.Snapshot()
	host, path := string(header.Host()), pathOf(header.RequestURI())
	if !a.versionAdmits(snapshot, r.Attempt.TargetVersion) {
		return refuse(classifier.VersionNotInService, 0).refusal, false
	}
	if r.Attempt.Version < snapshot.Version && !snapshot.RoutesTo(host, path, a.config.Member.Service) {
		return refuse(classifier.SenderBehind, 0).refusal, false
	}
	if route, found := snapshot.Lookup(host, path); found {
		r.route, r.largeBody = route.Name, route.LargeBody
	}
	r.fingerprint = identifier.NewFingerprint(string(header.Method()), string(header.RequestURI()), r.Request.Body...)
	arrived := a.config.Clock.Now()
	a.submit(r)
	d := <-r.decided
	record := a.record(r)
	record.waited = a.config.Clock.Now() - arrived
	if !d.start {
		record.reason = d.refusal.Reason
		a.observer.admissionEnded(record)
		return d.refusal, false
	}
	return a.forward(r, d, record)
}

// record starts the log record of an attempt with what is known at its decision.
func (a *Admission) record(r *Run) admissionEnd {
	a.mu.Lock()
	defer a.mu.Unlock()
	return admissionEnd{
		request: shorten(a.config.Dialect.RequestID(&r.Request.Header)), attempt: r.Attempt.ID.String(),
		backend: string(a.backend.ID), load: a.currentLoad(), loadAge: a.config.Clock.Now() - a.loadAt,
		notice: a.notices.last,
	}
}

// Cancel ends an attempt whose answer is no longer awaited. It does not block.
func (a *Admission) Cancel(r *Run) {
	r.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.step(a.config.Clock.Now(), admitter.Cancel{Attempt: r.Attempt.ID})
}

// submit passes an attempt to the admitter. The decision is sent on the run's
// channel.
func (a *Admission) submit(r *Run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Clock.Now()
	if a.down {
		r.decided <- refuse(classifier.Unavailable, unavailableRetryAfter)
		return
	}
	verdict, left := a.quarantiner.Verdict(a.config.Clock.Wall(), r.fingerprint)
	if verdict == quarantiner.Refuse {
		r.decided <- refuse(classifier.Quarantined, left)
		return
	}
	expected := a.estimator.Expected(r.route, int32(a.load.SlowdownPercent))
	if estimator.MissesDeadline(expected, r.Attempt.Remaining) {
		r.decided <- refuse(classifier.TooSlow, estimator.TooSlowRetryAfter)
		return
	}
	a.runs[r.Attempt.ID] = r
	a.step(now, admitter.Arrive{
		Attempt: r.Attempt.ID, Remaining: r.Attempt.Remaining,
		Fingerprint: r.fingerprint, HasFingerprint: true,
		Solo:    r.Attempt.Solo || verdict == quarantiner.RunSolo,
		Account: r.Attempt.Urgency.Account, Nested: r.Attempt.Urgency.Nested,
		Priority: r.Attempt.Urgency.Priority, MaxWait: estimator.MaxWaitForTarget(r.Attempt.Urgency.MaxWait, r.Attempt.Urgency.TargetRemaining, expected),
	})
	a.config.OnChange()
}

// unavailableRetryAfter is about the time until a backend server is back or all
// daemons know of its loss.
const unavailableRetryAfter = 500 * timer.Millis(1)

func refuse(reason classifier.Reason, retryAfter timer.Millis) decision {
	return decision{refusal: encoder.Refusal{Outcome: encoder.NotRun, Reason: reason, RetryAfterMs: retryAfter}}
}

// step passes an event to the admitter and performs its actions. The caller
// holds the lock.
func (a *Admission) step(now timer.Millis, event admitter.Event) {
	var buffer [4]admitter.Action
	for _, action := range a.admitter.Step(now, event, buffer[:0]) {
		switch act := action.(type) {
		case admitter.Start:
			a.recordStart(now)
			a.deliverDecision(act.Attempt, decision{start: true, solo: act.Solo, at: now, remaining: act.Remaining})
		case admitter.Refuse:
			a.deliverDecision(act.Attempt, refuse(act.Reason, act.RetryAfter))
		case admitter.BackendCrash:
			a.handleCrash(now, act)
		case admitter.PauseDetected:
			a.handlePause(now)
		case admitter.Drained: // A leaving backend server exits by itself.
		}
	}
}

func (a *Admission) deliverDecision(attempt identifier.AttemptID, d decision) {
	if r, found := a.runs[attempt]; found {
		delete(a.runs, attempt)
		r.decided <- d
	}
}

// handlePause handles a pause of the process: meanwhile the state of the backend
// server may have changed and every connection may have been closed.
func (a *Admission) handlePause(now timer.Millis) {
	a.config.Logger.Warn("process was paused; attempts are held until the backend server has been checked")
	a.coldStart.reset()
	a.checkedAt = now
	go a.pool.CloseIdle()
	a.applyLimits(now)
}

// applyLimits passes the limits in force and the state of the failure domain to
// the admitter. The caller holds the lock.
func (a *Admission) applyLimits(now timer.Millis) {
	snapshot := a.config.Configuration.Snapshot()
	if snapshot.Version == 0 {
		return
	}
	slots := int(a.backend.Slots)
	a.limit = a.estimator.Limit(now, slots)
	a.step(now, admitter.Limits{
		Version: snapshot.Version, MaxInFlight: a.maxRuns(now), MaxQueue: estimator.QueuePerSlot * slots,
		// A cold backend server is limited by its start rate, not by its slots.
		ColdLimit: slots + 1, RampCompletions: 1, MaxTimeout: maxRunTime,
	})
	a.step(now, admitter.Contact{SoleMember: true})
	a.step(now, admitter.DomainState{Out: snapshot.IsOutOfService(a.config.Member.FailureDomain), RampShare: fullRampShare})
	a.setStartRateLimit(now)
}

// ApplyConfiguration applies a new configuration.
func (a *Admission) ApplyConfiguration() {
	a.mu.Lock()
	a.applyLimits(a.config.Clock.Now())
	a.mu.Unlock()
	a.config.OnChange()
}

// MarkNotAccepting tells other daemons to send no more attempts. Those that still
// arrive are run.
func (a *Admission) MarkNotAccepting() {
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	a.config.OnChange()
}

// Member describes this daemon to other daemons; accepting says whether it takes
// attempts. Each call returns a higher revision.
func (a *Admission) Member() (m registrar.Member, accepting bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m = a.config.Member
	a.revision++
	m.Revision = a.revision
	m.Slots = a.backend.Slots
	m.Backend, m.BackendStart, m.Presumed = a.backend.ID, a.backend.Incarnation, a.backend.Presumed
	m.Leaving = a.backend.State == admitter.Draining
	m.Load = a.currentLoad()
	m.Accepting = a.accepting()
	a.describeVersion(&m)
	return m, m.Accepting
}

// accepting reports whether attempts are taken, apart from what a roll-out allows. The
// caller holds the lock.
func (a *Admission) accepting() bool {
	status := a.admitter.Status()
	return status.Closed == "" && !status.Paused && !a.down && !a.stopping && a.config.Clock.Now() >= a.recallEnd
}

// SetIncarnation changes the incarnation of this daemon.
func (a *Admission) SetIncarnation(incarnation identifier.Incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.config.Member.Incarnation = incarnation
}

// Load returns the load of the backend server.
func (a *Admission) Load() registrar.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.currentLoad()
}

func (a *Admission) currentLoad() registrar.Load {
	load := a.admitter.Load()
	return registrar.Load{
		Running: int32(load.InFlight), Queued: int32(load.Queued), Limit: int32(load.Limit),
		SlowdownPercent: int32(a.load.SlowdownPercent), Cold: a.coldStart.cold(a.config.Clock.Now()),
		StartDelayMs: int32(load.StartDelay),
	}
}
