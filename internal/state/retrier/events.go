package retrier

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"

	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
)

// Attempt numbers the attempts of one request, starting at 1.
type Attempt int32

// FenceState is what admission knows of an attempt.
type FenceState uint8

// States of an attempt at admission.
const (
	// FenceUnknown means that admission cannot tell or did not answer.
	FenceUnknown FenceState = iota
	// FenceNotRun means that the attempt has not started and never will.
	FenceNotRun
	FenceRunning
	FenceFinished
)

// Outcome is what the caller is told.
type Outcome uint8

// Outcomes of a request.
const (
	// OutcomeComplete means that a complete answer has come, of whatever status.
	OutcomeComplete Outcome = iota
	// OutcomeNotRun means that every attempt is proven not to have run.
	OutcomeNotRun
	OutcomeUnknown
)

// String returns the outcome as answers carry it.
func (o Outcome) String() string {
	switch o {
	case OutcomeComplete:
		return "complete"
	case OutcomeNotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// Event is something that has happened to the request.
type Event interface{ event() }

// Events. Each may be late, repeated or out of order.
type (
	// Begin starts the request.
	Begin struct{}
	// Answered says that an answer came. An incomplete one broke off.
	Answered struct {
		Attempt  Attempt
		Complete bool
	}
	// NotRun proves that an attempt has not run: admission refused and fenced
	// it, or no byte of it was written. RetryAfter of zero means no hint.
	NotRun struct {
		Attempt Attempt
		// ReachedBackend says that a backend server got the attempt and declined it.
		ReachedBackend bool
		Reason         classifier.Reason
		RetryAfter     timer.Millis
	}
	// Unknown says that the connection of an attempt broke or timed out after a
	// byte was written, so that no answer can come and it may have run.
	Unknown struct{ Attempt Attempt }
	// FenceResult answers a query.
	FenceResult struct {
		Attempt Attempt
		State   FenceState
	}
	// Timer says that the time of the latest Wake has come.
	Timer struct{}
	// CallerGone says that the caller no longer waits.
	CallerGone struct{}
	// NoInstance says that no instance was left for an attempt; nothing was
	// sent.
	NoInstance struct{ Attempt Attempt }
)

func (Begin) event()       {}
func (Answered) event()    {}
func (NotRun) event()      {}
func (Unknown) event()     {}
func (FenceResult) event() {}
func (Timer) event()       {}
func (CallerGone) event()  {}
func (NoInstance) event()  {}

// Action is something that the owner of the request must do.
type Action interface{ action() }

// Actions.
type (
	// Send sends the request to an instance to which none of the attempts 1 to
	// Exclude went.
	Send struct {
		Attempt     Attempt
		ExcludeUpTo Attempt
		Hedge       bool
	}
	// Query asks admission whether an attempt has started, which fences it, on
	// a new connection.
	Query struct{ Attempt Attempt }
	// CancelAttempt closes the connection of an attempt.
	CancelAttempt struct{ Attempt Attempt }
	// Wake asks for a Timer event and replaces the one asked for before.
	Wake struct{ At timer.Millis }
	// Finish answers the caller. It comes once and is the last action. Attempt
	// is the one with the complete answer. RetryAfter is the shortest hint of a
	// refusal; zero means that there was none.
	Finish struct {
		Outcome    Outcome
		Attempt    Attempt
		Reason     classifier.Reason
		RetryAfter timer.Millis
	}
)

func (Send) action()          {}
func (Query) action()         {}
func (CancelAttempt) action() {}
func (Wake) action()          {}
func (Finish) action()        {}
