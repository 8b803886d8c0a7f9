package admitter

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Event is an input of Step.
type Event interface{ event() }

// Arrive is a new attempt that the fencer admitted.
type Arrive struct {
	Attempt identifier.AttemptID
	// Remaining is the caller's remaining time in ms.
	Remaining      timer.Millis
	Fingerprint    identifier.Fingerprint
	HasFingerprint bool
	// Solo means that the attempt may only run while no other attempt runs.
	Solo bool
	// ConfigurationVersion is the version of the configuration that the sender used.
	ConfigurationVersion identifier.Version
	// Priority ranks attempts in the queue; 0 is the most urgent.
	Priority int
	// MaxWait bounds the time in the queue. Zero means until the deadline.
	MaxWait timer.Millis
	// Account identifies the client account; 0 means none. Attempts of one priority
	// are started in equal parts for the accounts that wait.
	Account uint32
	// Nested means that the attempt is a call of running work. It goes before new work
	// of the same priority.
	Nested bool
}

// Rate is a number of starts per second.
type Rate float64

// StartRateLimit bounds the starts within any second, for a backend server that
// can only handle a limited request rate while it is cold. A PerSecond of zero
// means no bound.
type StartRateLimit struct {
	PerSecond int
	// Exhausted treats the allowance of the last second as used up, for a daemon
	// that does not know how many attempts a previous daemon started.
	Exhausted bool
}

// RateLimit bounds the mean rate of starts, for a backend server that names the rate
// that it takes. It holds until the next RateLimit.
type RateLimit struct {
	Limited bool
	Rate    Rate
}

// Complete reports that a started attempt ended.
type Complete struct {
	Attempt identifier.AttemptID
	Result  Result
	// Latency is the time from start to end in ms.
	Latency timer.Millis
}

// Cancel reports that no caller waits for the attempt any more. A queued attempt
// is refused; a running one is left to the owner, which reports its end as
// Complete.
type Cancel struct{ Attempt identifier.AttemptID }

// Tick is passed every 50 ms.
type Tick struct{}

// Announce is an announcement of the backend server. One with an earlier
// incarnation, or with an earlier state of the same incarnation, is outdated and
// ignored.
type Announce struct {
	Incarnation identifier.Incarnation
	Slots       identifier.Slots
	State       BackendState
	// InFlight is the backend server's own count of running requests.
	InFlight int
}

// Limits holds the service's limits that are in force at this time. Limits with
// an earlier version are ignored.
type Limits struct {
	Version     identifier.Version
	MaxInFlight int
	MaxQueue    int
	ColdLimit   int
	// RampCompletions is the number of good completions per step of the ramp.
	RampCompletions int
	MaxTimeout      timer.Millis
}

// DomainState is the state of this daemon's failure domain. RampShare is the
// share of the normal limit that applies after the failure domain has returned to
// service; 1 is the whole limit.
type DomainState struct {
	Out       bool
	RampShare float64
}

// Contact reports that the log or a peer answered a request. After a pause, only
// answers to requests sent since the pause count. SoleMember means that the
// membership has one member; such a daemon is never isolated.
type Contact struct{ SoleMember bool }

// Drain reports that this daemon is stopping.
type Drain struct{}

// Restrict applies a new verdict on a fingerprint to queued attempts. It starts
// nothing, so that several verdicts can be passed before the next start.
type Restrict struct {
	Fingerprint identifier.Fingerprint
	Solo        bool
	Refuse      bool
	// TimeLeft is the remaining time of the quarantine if Refuse is set.
	TimeLeft timer.Millis
}

func (Arrive) event()         {}
func (Complete) event()       {}
func (Cancel) event()         {}
func (Tick) event()           {}
func (Announce) event()       {}
func (Limits) event()         {}
func (DomainState) event()    {}
func (Contact) event()        {}
func (Drain) event()          {}
func (Restrict) event()       {}
func (StartRateLimit) event() {}
func (RateLimit) event()      {}
