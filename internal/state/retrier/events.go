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
	// FenceUnknown means that admission does not know the state or did not
	// answer.
	FenceUnknown FenceState = iota
	// FenceNotRun means that the attempt has not started and never will.
	FenceNotRun
	FenceRunning
	FenceFinished
)

// Outcome is the result of a request as reported to the caller.
type Outcome uint8

// Outcomes of a request.
const (
	// OutcomeComplete means that a complete answer was received, whatever its
	// status.
	OutcomeComplete Outcome = iota
	// OutcomeNotRun means that every attempt is proven not to have run.
	OutcomeNotRun
	OutcomeUnknown
)

// String returns the value that answers carry for the outcome.
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

// Event is an input of a Retrier.
type Event interface{ event() }

// Events. Each may be late, repeated or out of order.
type (
	// Begin starts the request.
	Begin struct{}
	// Answered says that an answer was received. It is incomplete if the
	// connection closed before its end.
	Answered struct {
		Attempt  Attempt
		Complete bool
	}
	// NotRun proves that an attempt has not run: admission refused and fenced
	// it, or no byte of it was written. A RetryAfter of zero means that the
	// refusal gave no time.
	NotRun struct {
		Attempt Attempt
		// ReachedBackend says that a backend server received and refused the
		// attempt.
		ReachedBackend bool
		Reason         classifier.Reason
		RetryAfter     timer.Millis
	}
	// Unknown says that the connection of an attempt broke or timed out after a
	// byte was written, so that no answer can come and it may have run.
	Unknown struct{ Attempt Attempt }
	// FenceResult is the answer to a query.
	FenceResult struct {
		Attempt Attempt
		State   FenceState
	}
	// Timer says that the time of the latest Wake is reached.
	Timer struct{}
	// CallerGone says that the caller has disconnected.
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

// Action is an output of a Retrier that its owner must carry out.
type Action interface{ action() }

// Actions.
type (
	// Send sends the request to an instance that received none of the attempts
	// 1 to ExcludeUpTo.
	Send struct {
		Attempt     Attempt
		ExcludeUpTo Attempt
		Hedge       bool
	}
	// Query asks admission on a new connection whether an attempt has started.
	// It also fences the attempt.
	Query struct{ Attempt Attempt }
	// CancelAttempt closes the connection of an attempt.
	CancelAttempt struct{ Attempt Attempt }
	// Wake requests a Timer event and replaces any earlier request.
	Wake struct{ At timer.Millis }
	// Finish answers the caller. It is issued once, as the last action. Attempt
	// is the one with the complete answer. RetryAfter is the shortest time given
	// by a refusal; zero means that none was given.
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
