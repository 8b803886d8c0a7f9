package admitter

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Event is an input of Step.
type Event interface{ event() }

// Arrive is a new attempt that the attempt table admitted.
type Arrive struct {
	Attempt identifier.AttemptID
	// Remaining is the caller's time left in ms.
	Remaining      timer.Millis
	Fingerprint    identifier.Fingerprint
	HasFingerprint bool
	// Solo means that the attempt may only run when nothing else runs.
	Solo bool
	// ConfigurationVersion is the version that the sender applied.
	ConfigurationVersion identifier.Version
	// Priority ranks attempts in the queue; 0 is the most urgent.
	Priority int
	// MaxWait bounds the wait in the queue. Zero means until the deadline.
	MaxWait timer.Millis
}

// StartRateLimit bounds the starts in any second, for a backend server that bears only a
// rate while it is cold. PerSecond of zero means no bound.
type StartRateLimit struct {
	PerSecond int
	// Exhausted counts the last second as used up, for a daemon that does not know
	// what its predecessor started.
	Exhausted bool
}

// Complete says that a started attempt ended.
type Complete struct {
	Attempt identifier.AttemptID
	Result  Result
	// Latency is the time from start to end in ms.
	Latency timer.Millis
}

// Cancel says that nobody waits for the attempt. A queued attempt is refused; a
// running one is left to the owner, which reports its end as Complete.
type Cancel struct{ Attempt identifier.AttemptID }

// Tick comes every 50 ms.
type Tick struct{}

// Announce is an announcement of the backend server. One with an earlier
// incarnation or an earlier state of the same incarnation is late and ignored.
type Announce struct {
	Incarnation identifier.Incarnation
	Slots       identifier.Slots
	State       BackendState
	// InFlight is the backend server's own count of running requests.
	InFlight int
}

// Limits is the configuration of the service at this hour. One with an earlier
// version is ignored.
type Limits struct {
	Version     identifier.Version
	MaxInFlight int
	MaxQueue    int
	ColdLimit   int
	// RampCompletions is the number of good completions per step of the ramp.
	RampCompletions int
	MaxTimeout      timer.Millis
}

// DomainState is the state of the own failure domain. RampShare is the part of
// the normal limit that a returned failure domain takes; 1 is all of it.
type DomainState struct {
	Out       bool
	RampShare float64
}

// Contact says that the log or a peer answered a question. After a pause only
// answers to questions asked since count. SoleMember means that membership has one
// member; such a daemon is never isolated.
type Contact struct{ SoleMember bool }

// Drain says that this daemon stops.
type Drain struct{}

// Restrict applies a new verdict on a fingerprint to queued attempts. It starts
// nothing, so that several can be passed before anything starts.
type Restrict struct {
	Fingerprint identifier.Fingerprint
	Solo        bool
	Refuse      bool
	// TimeLeft is what is left of the quarantine, for Refuse.
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
