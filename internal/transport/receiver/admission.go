package receiver

import (
	"log/slog"
	"sync"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/fencer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/forwarder"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Limits of the connections to the backend server.
const (
	backendConnectTimeout = timer.Second
	// backendIdleTimeout is shorter than the idle timeout of common HTTP servers.
	backendIdleTimeout = 1500 * timer.Millis(1)
	// crashCheckDelay lets the sockets of a crashed process close before the check.
	crashCheckDelay   = 20 * timer.Millis(1)
	crashCheckTimeout = 200 * timer.Millis(1)
	// configurationWait bounds the wait for a configuration version that the
	// sender of an attempt has and this daemon has not.
	configurationWait = 300 * timer.Millis(1)
)

// AdmissionConfig configures an Admission.
type AdmissionConfig struct {
	Clock           timer.Clock
	FailureDomain   identifier.FailureDomain
	Configuration   Configuration
	MeasuringBudget *MeasuringBudget
	MaxAnswerBytes  int
	// Memory and Sockets bound the connections to the backend server, with others.
	Memory  *exchanger.Memory
	Sockets *exchanger.Sockets
	// IsSoleMember reports whether this daemon is the only member.
	IsSoleMember func() bool
	// BroadcastQuarantine sends quarantine entries to the other daemons of the service.
	BroadcastQuarantine func(service identifier.ServiceName, entries []quarantiner.Entry)
	// OnAnnouncementChange is called when the backend server's announcement has changed.
	OnAnnouncementChange func(Announcement)
	Logger               *slog.Logger
}

// decision says whether an attempt may start.
type decision struct {
	start bool
	// solo says that the attempt runs alone on the backend server.
	solo      bool
	remaining timer.Millis
	refusal   encoder.Refusal
}

// Admission admits attempts for the daemon's backend server and forwards those
// that may start. It is safe for concurrent use.
type Admission struct {
	config AdmissionConfig

	mu           sync.Mutex
	admitter     *admitter.Admitter
	fencer       *fencer.Fencer
	quarantiner  *quarantiner.Quarantiner
	waiting      map[identifier.AttemptID]chan decision
	announcement Announcement
	// appliedVersion is the configuration version last passed to the admitter.
	appliedVersion    identifier.Version
	backend           *forwarder.Forwarder
	pendingBroadcasts []quarantiner.Entry
	// pauseDetectedAt is when a pause of the process was last detected.
	pauseDetectedAt timer.Millis
	awaitingContact bool
	drained         chan struct{}
	sweptAt         timer.Millis
	latency         latencyMean
}

// NewAdmission returns an admission without a backend server.
func NewAdmission(config AdmissionConfig) *Admission {
	return &Admission{
		config:      config,
		admitter:    admitter.New(),
		fencer:      fencer.New(fencer.Config{}),
		quarantiner: quarantiner.New(quarantiner.Config{}),
		waiting:     map[identifier.AttemptID]chan decision{},
		drained:     make(chan struct{}),
	}
}

// awaitVersion waits at most configurationWait for a configuration version that
// the sender already has. Most changes reach every daemon within that time, so
// that few attempts are refused while a change is distributed.
func (a *Admission) awaitVersion(attempt encoder.Attempt) encoder.Attempt {
	if attempt.Version <= a.config.Configuration.View().Version {
		return attempt
	}
	started := a.config.Clock.Now()
	timeout := time.NewTimer(min(configurationWait, attempt.Remaining).Duration())
	defer timeout.Stop()
	for waiting := true; waiting; {
		changed := a.config.Configuration.Changed()
		if a.config.Configuration.View().Version >= attempt.Version {
			break
		}
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		}
	}
	attempt.Remaining -= a.config.Clock.Now() - started
	return attempt
}

// admit waits until an attempt may start or is refused.
func (a *Admission) admit(attempt encoder.Attempt, fingerprint identifier.Fingerprint) decision {
	refused, answer := a.submit(attempt, fingerprint)
	if answer == nil {
		return refused
	}
	return <-answer
}

// submit passes an attempt to the admitter; the decision follows on the channel. The
// channel is nil if the attempt is refused immediately.
func (a *Admission) submit(attempt encoder.Attempt, fingerprint identifier.Fingerprint) (decision, chan decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Clock.Now()
	if max(attempt.Version, a.config.Configuration.View().Version) > a.appliedVersion {
		a.applyLimits(now) // The next tick would be too late for this attempt.
	}
	switch a.fencer.Arrive(now, attempt.ID) {
	case fencer.Fenced:
		return refusalDecision(encoder.NotRun, classifier.Fenced, 0), nil
	case fencer.Duplicate, fencer.Uncertain:
		return refusalDecision(encoder.Unknown, classifier.Fenced, 0), nil
	case fencer.Admitted:
	}
	verdict, timeLeft := a.quarantiner.Verdict(a.config.Clock.Wall(), fingerprint)
	if verdict == quarantiner.Refuse {
		return refusalDecision(a.recordRefusal(now, attempt.ID), classifier.Quarantined, timeLeft), nil
	}
	answer := make(chan decision, 1)
	a.waiting[attempt.ID] = answer
	a.step(now, admitter.Arrive{
		Attempt: attempt.ID, Remaining: attempt.Remaining,
		Fingerprint: fingerprint, HasFingerprint: true,
		Solo:                 attempt.Solo || verdict == quarantiner.RunSolo,
		ConfigurationVersion: attempt.Version,
	})
	return decision{}, answer
}

func refusalDecision(outcome encoder.Outcome, reason classifier.Reason, retryAfter timer.Millis) decision {
	return decision{refusal: encoder.Refusal{Outcome: outcome, Reason: reason, RetryAfterMs: retryAfter}}
}

// recordRefusal fences a refused attempt and returns the outcome to report.
func (a *Admission) recordRefusal(now timer.Millis, attempt identifier.AttemptID) encoder.Outcome {
	if a.fencer.Refused(now, attempt) {
		return encoder.NotRun
	}
	return encoder.Unknown
}

// step passes an event to the admitter and performs its actions. The caller
// holds the lock.
func (a *Admission) step(now timer.Millis, event admitter.Event) {
	var buffer [4]admitter.Action
	for _, action := range a.admitter.Step(now, event, buffer[:0]) {
		switch act := action.(type) {
		case admitter.Start:
			a.start(now, act)
		case admitter.Refuse:
			outcome := a.recordRefusal(now, act.Attempt)
			a.deliverDecision(act.Attempt, refusalDecision(outcome, act.Reason, act.RetryAfter))
		case admitter.BackendCrash:
			a.handleCrash(now, act)
		case admitter.PauseDetected:
			a.pauseDetectedAt, a.awaitingContact = now, !a.config.IsSoleMember()
			a.config.Logger.Warn("process was paused; attempts are held until the limits and the state of the failure domain are refreshed")
			a.applyLimits(now)
		case admitter.Drained:
			a.closeDrained()
		}
	}
}

func (a *Admission) start(now timer.Millis, act admitter.Start) {
	if !a.fencer.Started(now, act.Attempt) {
		a.deliverDecision(act.Attempt, refusalDecision(encoder.Unknown, classifier.Fenced, 0))
		return
	}
	a.deliverDecision(act.Attempt, decision{start: true, solo: act.Solo, remaining: act.Remaining})
}

func (a *Admission) deliverDecision(attempt identifier.AttemptID, d decision) {
	if answer, found := a.waiting[attempt]; found {
		delete(a.waiting, attempt)
		answer <- d
	}
}

// handleCrash reports to the quarantiner which requests ran when the backend server
// crashed, and passes the new verdicts to the queue before an attempt starts.
func (a *Admission) handleCrash(now timer.Millis, act admitter.BackendCrash) {
	crash := quarantiner.Crash{Uncertain: act.Uncertain}
	for _, r := range act.Running {
		crash.Running = append(crash.Running, quarantiner.Running{
			Fingerprint: r.Fingerprint, HasFingerprint: r.HasFingerprint, Solo: r.Solo,
		})
	}
	a.config.Logger.Warn("backend server crashed", "running", len(act.Running), "uncertain", act.Uncertain)
	a.quarantine(now, crash)
}

func (a *Admission) quarantine(now timer.Millis, event quarantiner.Event) {
	for _, action := range a.quarantiner.Step(a.config.Clock.Wall(), event, nil) {
		switch act := action.(type) {
		case quarantiner.Broadcast:
			a.pendingBroadcasts = append(a.pendingBroadcasts, act.Entry)
			a.config.Logger.Warn("sending quarantine entry to other daemons", "fingerprint", act.Entry.Fingerprint, "kind", act.Entry.Kind)
		case quarantiner.VerdictChanged:
			a.step(now, admitter.Restrict{
				Fingerprint: act.Fingerprint, TimeLeft: act.TimeLeft,
				Solo: act.Verdict == quarantiner.RunSolo, Refuse: act.Verdict == quarantiner.Refuse,
			})
		}
	}
}

// applyLimits passes the limits and failure domain state in force to the admitter.
func (a *Admission) applyLimits(now timer.Millis) {
	view := a.config.Configuration.View()
	wall := a.config.Clock.Wall()
	limits, found := view.Schedule.Limits(wall, a.announcement.Service)
	if found {
		a.appliedVersion = view.Version
		a.step(now, admitter.Limits{
			Version: view.Version, MaxInFlight: int(limits.MaxInFlight), MaxQueue: int(limits.MaxQueue),
			ColdLimit: int(limits.ColdLimit), RampCompletions: int(limits.RampCompletions), MaxTimeout: limits.MaxTimeout,
		})
		if service, known := view.Sheet.Service(a.announcement.Service); known {
			a.quarantine(now, quarantiner.Settings{Period: service.Quarantine})
		}
	}
	domain := view.Schedule.Domain(wall, a.config.FailureDomain)
	if !domain.Known || a.awaitingContact {
		return
	}
	a.step(now, admitter.DomainState{Out: domain.Out, RampShare: domain.RampShare})
}

// Tick performs the periodic work. Call it every 50 ms.
func (a *Admission) Tick() {
	a.mu.Lock()
	now := a.config.Clock.Now()
	a.step(now, admitter.Tick{})
	if a.config.IsSoleMember() {
		a.awaitingContact = false
		a.step(now, admitter.Contact{SoleMember: true})
	}
	a.applyLimits(now)
	if now-a.sweptAt >= timer.Second {
		a.sweptAt = now
		a.fencer.Sweep(now)
		a.quarantine(now, quarantiner.Tick{})
	}
	entries, service := a.pendingBroadcasts, a.announcement.Service
	a.pendingBroadcasts = nil
	a.mu.Unlock()
	if len(entries) > 0 {
		a.config.BroadcastQuarantine(service, entries)
	}
}

// RecordContact records that the log or another daemon answered a request sent at
// askedAt. One sent before a pause does not confirm the state after it.
func (a *Admission) RecordContact(askedAt timer.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if askedAt < a.pauseDetectedAt {
		return
	}
	now := a.config.Clock.Now()
	waited := a.awaitingContact
	a.awaitingContact = false
	a.step(now, admitter.Contact{SoleMember: a.config.IsSoleMember()})
	if waited {
		a.applyLimits(now)
	}
}

// Fence returns the state of an attempt and keeps one from starting that has not yet.
func (a *Admission) Fence(attempt identifier.AttemptID) fencer.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Clock.Now()
	state := a.fencer.Fence(now, attempt)
	if state != fencer.Queued {
		return state
	}
	a.step(now, admitter.Cancel{Attempt: attempt})
	return a.fencer.Fence(now, attempt)
}

// AddQuarantineEntries applies quarantine entries received from another daemon.
func (a *Admission) AddQuarantineEntries(service identifier.ServiceName, entries []quarantiner.Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if service != a.announcement.Service {
		return
	}
	for _, entry := range entries {
		a.quarantine(a.config.Clock.Now(), quarantiner.Remote{Entry: entry})
	}
}

// Drain refuses new attempts and returns a channel that is closed when no
// attempt is running.
func (a *Admission) Drain() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drained = make(chan struct{})
	a.step(a.config.Clock.Now(), admitter.Drain{})
	return a.drained
}

func (a *Admission) closeDrained() {
	select {
	case <-a.drained:
	default:
		close(a.drained)
	}
}

// Announce applies an announcement of the backend server.
func (a *Admission) Announce(announcement Announcement) {
	a.mu.Lock()
	old := a.announcement
	if announcement.Address != old.Address || announcement.Connections != old.Connections {
		a.backend = forwarder.New(forwarder.Config{
			Address: announcement.Address, MaxConnections: a.connectionLimit(announcement),
			ConnectTimeout: backendConnectTimeout, MaxAnswerBytes: a.config.MaxAnswerBytes, IdleTimeout: backendIdleTimeout,
			Memory: a.config.Memory, Sockets: a.config.Sockets,
		})
	}
	a.announcement = announcement
	now := a.config.Clock.Now()
	if old.Service != announcement.Service {
		a.applyLimits(now)
	}
	a.step(now, announcement.event())
	a.mu.Unlock()
	changed := announcement
	changed.InFlight = old.InFlight
	if changed != old {
		a.config.OnAnnouncementChange(announcement)
	}
}

// connectionLimit returns the lower of the number that the backend server announced
// and the limit of its class.
func (a *Admission) connectionLimit(announcement Announcement) int {
	limits, found := a.config.Configuration.View().Schedule.Limits(a.config.Clock.Wall(), announcement.Service)
	if !found || limits.Connections == 0 {
		return announcement.Connections
	}
	return min(announcement.Connections, int(limits.Connections))
}

// Load returns the load for probes; found is false without a backend server.
func (a *Admission) Load() (load encoder.Load, found bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.backend == nil {
		return encoder.Load{}, false
	}
	current := a.admitter.Load()
	return encoder.Load{
		InFlight: int32(current.InFlight), Queued: int32(current.Queued), Limit: int32(current.Limit),
		LatencyMicros: a.latency.micros(), Cold: current.Cold,
	}, true
}

// Status returns the admitter's state and the announcement for operators.
func (a *Admission) Status() (admitter.Status, Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admitter.Status(), a.announcement
}
