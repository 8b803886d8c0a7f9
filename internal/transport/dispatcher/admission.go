package dispatcher

import (
	"log/slog"
	"sync"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/estimator"
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
	// unrepeatableReuse is how long a connection may have been idle to carry a
	// request that may not be repeated. A backend server may forget an idle
	// connection without notice.
	unrepeatableReuse = 500 * timer.Millis(1)
	// maxRunTime bounds a run when its attempt does not.
	maxRunTime = timer.Minute
	// restoredDomain is the ramp share of a failure domain in service.
	restoredDomain = 1.0
)

// Backend is what the backend server says of itself.
type Backend struct {
	ID identifier.BackendID
	// Incarnation is the time of its start in Unix ms. Zero in an announcement of a
	// leave means that the announcement does not say.
	Incarnation identifier.Incarnation
	// Sequence orders the announcements of one incarnation.
	Sequence uint64
	Slots    identifier.Slots
	State    admitter.BackendState
	// ColdFor is how long it stays cold.
	ColdFor timer.Millis
	// presumed says that Incarnation is the time of a leave, before which the run
	// began.
	presumed bool
}

// AdmissionConfig holds what admission needs.
type AdmissionConfig struct {
	// Member describes this daemon; its load and state are filled in.
	Member        registrar.Member
	Address       identifier.Address
	Clock         timer.Clock
	Configuration *router.Holder
	Dialect       Dialect
	// LoadCheckTimeout is how long a start waits for a check of a load that is not known
	// well enough.
	LoadCheckTimeout timer.Millis
	// OnChange is called when the load or state has changed. It must not block.
	OnChange func()
	// OnAttempt is called with the daemon that sent an attempt. It must not block.
	OnAttempt func(sender identifier.Incarnation)
	// BroadcastQuarantine sends quarantine entries to the other daemons of the service.
	BroadcastQuarantine func(entries []quarantiner.Entry)
	Logger              *slog.Logger
}

// Admission decides about attempts for the backend server beside the daemon and
// runs those that start. It is safe for concurrent use.
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
	// down says that the backend server cannot be reached or is another one; the
	// next announcement or good health answer ends it.
	down     bool
	stopping bool
	warmth   warmth
	load     BackendLoad
	loadAt   timer.Millis
	revision uint64
	// limit is the number of runs at a time that the admitter was given.
	limit   int
	checkAt timer.Millis
	// checked is closed when the health check under way ends; nil without one.
	checked chan struct{}
}

// NewAdmission returns an admission without a backend server.
func NewAdmission(config AdmissionConfig) *Admission {
	return &Admission{
		config:   config,
		observer: newObserver(config.Logger),
		pool: exchanger.NewPool(exchanger.PoolConfig{
			Address: config.Address, ConnectTimeout: backendConnectTimeout,
			MaxIdle: backendMaxIdle, IdleTimeout: backendIdleTimeout,
		}),
		admitter:    admitter.New(),
		quarantiner: quarantiner.New(quarantiner.Config{}),
		estimator:   estimator.New(),
		runs:        map[identifier.AttemptID]*Run{},
	}
}

// backendMaxIdle bounds the idle connections to the backend server.
const backendMaxIdle = 64

// Handle serves an attempt of another daemon.
func (a *Admission) Handle(x *exchanger.Exchange) {
	var attempt encoder.Attempt
	if err := attempt.Decode(&x.Request.Header); err != nil {
		a.config.Logger.Warn("attempt not readable", "error", err.Error())
		encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.BadRequest}.Fill(&x.Response)
		return
	}
	encoder.RemoveInternal(&x.Request.Header)
	if attempt.Target != a.config.Member.Node {
		// Another VM had this address when the sender learned it.
		a.config.Logger.Warn("attempt for another instance refused", "attempt", attempt.ID.String(), "target", attempt.Target)
		encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.Unavailable, RetryAfterMs: unavailableRetry}.Fill(&x.Response)
		return
	}
	a.config.OnAttempt(attempt.ID.Origin)
	run := NewRun(attempt, &x.Request, &x.Response)
	x.OnGone(func() { a.Cancel(run) })
	if refusal, answered := a.Execute(run); !answered {
		refusal.Fill(&x.Response)
	}
	encodeLoad(&x.Response.Header, a.Load())
}

// Execute waits until an attempt may start and runs it. It returns false, and
// why, if the response holds no answer of the backend server.
func (a *Admission) Execute(r *Run) (encoder.Refusal, bool) {
	header := &r.Request.Header
	snapshot := a.config.Configuration.Snapshot()
	host, path := string(header.Host()), pathOf(header.RequestURI())
	if r.Attempt.Version < snapshot.Version && !snapshot.RoutesTo(host, path, a.config.Member.Service) {
		return refuse(classifier.SenderBehind, 0).refusal, false
	}
	if route, found := snapshot.Lookup(host, path); found {
		r.route = route.Name
	}
	r.fingerprint = identifier.NewFingerprint(string(header.Method()), string(header.RequestURI()), r.Request.Body())
	arrived := a.config.Clock.Now()
	a.enter(r)
	d := <-r.decided
	record := a.record(r)
	record.waited = a.config.Clock.Now() - arrived
	if !d.start {
		record.reason = d.refusal.Reason
		a.observer.ran(record)
		return d.refusal, false
	}
	return a.forward(r, d, record)
}

// record begins what is recorded of an attempt with what is known at its decision.
func (a *Admission) record(r *Run) runEndRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	return runEndRecord{
		request: string(a.config.Dialect.RequestID(&r.Request.Header)), attempt: r.Attempt.ID.String(),
		backend: string(a.backend.ID), load: a.currentLoad(), loadAge: a.config.Clock.Now() - a.loadAt,
	}
}

// Cancel ends an attempt that nobody waits for. It does not wait.
func (a *Admission) Cancel(r *Run) {
	r.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.step(a.config.Clock.Now(), admitter.Cancel{Attempt: r.Attempt.ID})
}

// enter hands an attempt to the admitter, which decides through the run's channel.
func (a *Admission) enter(r *Run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Clock.Now()
	if a.down {
		r.decided <- refuse(classifier.Unavailable, unavailableRetry)
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
		Solo:     r.Attempt.Solo || verdict == quarantiner.RunSolo,
		Priority: r.Attempt.Urgency.Priority, MaxWait: estimator.MaxWaitForTarget(r.Attempt.Urgency.MaxWait, r.Attempt.Urgency.TargetLeft, expected),
	})
	a.config.OnChange()
}

// unavailableRetry is about the time in which a backend server is back or its
// loss is known to all daemons.
const unavailableRetry = 500 * timer.Millis(1)

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
			a.decide(act.Attempt, decision{start: true, solo: act.Solo, remaining: act.Remaining})
		case admitter.Refuse:
			a.decide(act.Attempt, refuse(act.Reason, act.RetryAfter))
		case admitter.BackendCrash:
			a.lost(now, act)
		case admitter.PauseDetected:
			a.recheck(now)
		case admitter.Drained: // A backend server that leaves ends by itself.
		}
	}
}

func (a *Admission) decide(attempt identifier.AttemptID, d decision) {
	if r, found := a.runs[attempt]; found {
		delete(a.runs, attempt)
		r.decided <- d
	}
}

// recheck handles a pause of the process: what is known of the backend server may
// have changed meanwhile, and every connection may be gone.
func (a *Admission) recheck(now timer.Millis) {
	a.config.Logger.Warn("process was paused; the backend server is checked before anything starts")
	a.warmth.forget()
	a.checkAt = now
	go a.pool.CloseIdle()
	a.refresh(now)
}

// lost tells the quarantiner which requests ran when the backend server died.
func (a *Admission) lost(now timer.Millis, act admitter.BackendCrash) {
	crash := quarantiner.Crash{Uncertain: act.Uncertain}
	for _, r := range act.Running {
		crash.Running = append(crash.Running, quarantiner.Running{
			Fingerprint: r.Fingerprint, HasFingerprint: r.HasFingerprint, Solo: r.Solo,
		})
	}
	a.config.Logger.Warn("backend server lost", "backend", a.backend.ID, "running", len(act.Running), "uncertain", act.Uncertain)
	a.quarantine(now, crash)
}

func (a *Admission) quarantine(now timer.Millis, event quarantiner.Event) {
	var spread []quarantiner.Entry
	for _, action := range a.quarantiner.Step(a.config.Clock.Wall(), event, nil) {
		switch act := action.(type) {
		case quarantiner.Broadcast:
			spread = append(spread, act.Entry)
			a.config.Logger.Warn("fingerprint of a crashing request", "fingerprint", act.Entry.Fingerprint, "kind", act.Entry.Kind)
		case quarantiner.VerdictChanged:
			a.step(now, admitter.Restrict{
				Fingerprint: act.Fingerprint, TimeLeft: act.TimeLeft,
				Solo: act.Verdict == quarantiner.RunSolo, Refuse: act.Verdict == quarantiner.Refuse,
			})
		}
	}
	if len(spread) > 0 {
		a.config.BroadcastQuarantine(spread)
	}
}

// AddQuarantineEntries takes quarantine entries of another daemon of the service.
func (a *Admission) AddQuarantineEntries(entries []quarantiner.Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, entry := range entries {
		a.quarantine(a.config.Clock.Now(), quarantiner.Remote{Entry: entry})
	}
}

// refresh passes the limits and the state of the failure domain in force. The
// caller holds the lock.
func (a *Admission) refresh(now timer.Millis) {
	snapshot := a.config.Configuration.Snapshot()
	if snapshot.Version == 0 {
		return
	}
	slots := int(a.backend.Slots)
	a.limit = a.estimator.Limit(now, slots)
	a.step(now, admitter.Limits{
		Version: snapshot.Version, MaxInFlight: a.limit, MaxQueue: estimator.QueuePerSlot * slots,
		// A cold backend server is limited by its rate, not by its slots.
		ColdLimit: slots + 1, RampCompletions: 1, MaxTimeout: maxRunTime,
	})
	a.step(now, admitter.Contact{SoleMember: true})
	a.step(now, admitter.DomainState{Out: snapshot.IsOutOfService(a.config.Member.FailureDomain), RampShare: restoredDomain})
	a.setPace(now)
}

// ApplyConfiguration applies a new configuration.
func (a *Admission) ApplyConfiguration() {
	a.mu.Lock()
	a.refresh(a.config.Clock.Now())
	a.mu.Unlock()
	a.config.OnChange()
}

// Announce takes an announcement of the backend server. It returns false for one
// that is older than what is known.
func (a *Admission) Announce(b Backend) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Clock.Now()
	known := a.backend
	if b.Incarnation == 0 {
		switch {
		case known.ID == "":
			return a.leftUnknown(b)
		case known.ID != b.ID || known.presumed:
			return false // Of an earlier backend server on this VM, or told before.
		}
		b.Incarnation = known.Incarnation
	}
	if b.Slots == 0 && known.ID == b.ID {
		b.Slots = known.Slots // A leave does not tell them.
	}
	if known.presumed && known.ID != b.ID {
		known.Incarnation = 0
	}
	if b.Incarnation < known.Incarnation || b.Incarnation == known.Incarnation && b.Sequence < known.Sequence {
		return false
	}
	if b.Incarnation == known.Incarnation && b.State < known.State {
		return false
	}
	a.backend = b
	a.down = false
	a.warmth.announced(now, b.ColdFor)
	if known.ID != b.ID || known.State != b.State {
		a.config.Logger.Info("backend server announced", "backend", b.ID, "state", b.State.String(), "slots", b.Slots)
	}
	a.step(now, admitter.Announce{Incarnation: b.Incarnation, Slots: b.Slots, State: b.State})
	a.refresh(now)
	a.config.OnChange()
	return true
}

// leftUnknown notes the leave of a run that began before this daemon heard of it. An
// announcement of that run may still come late, one of a later run may come at any
// time; the time of the start tells them apart.
func (a *Admission) leftUnknown(b Backend) bool {
	b.Incarnation, b.presumed = identifier.Incarnation(a.config.Clock.Wall()), true
	a.backend = b
	a.config.Logger.Info("leave of a backend server that was not announced", "backend", b.ID)
	return true
}

// Backend returns what is known of the backend server.
func (a *Admission) Backend() Backend {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.backend
}

// StopAccepting tells other daemons to send no more attempts; those that come still run.
func (a *Admission) StopAccepting() {
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	a.config.OnChange()
}

// Member describes this daemon for others; accepting says whether it takes
// attempts. Each call has a later revision.
func (a *Admission) Member() (m registrar.Member, accepting bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m = a.config.Member
	a.revision++
	m.Revision = a.revision
	m.Slots = a.backend.Slots
	m.Backend, m.BackendStart = a.backend.ID, a.backend.Incarnation
	m.Leaving = a.backend.State == admitter.Draining
	m.Load = a.currentLoad()
	status := a.admitter.Status()
	m.Accepting = status.Closed == "" && !status.Paused && !a.down && !a.stopping
	return m, m.Accepting
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
		SlowdownPercent: int32(a.load.SlowdownPercent), Cold: a.warmth.cold(a.config.Clock.Now()),
	}
}
