package admitter

import (
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Action is an output of Step.
type Action interface{ action() }

// Start forwards an attempt to the backend server. Remaining is the caller's
// time left in ms and more than zero. Solo means that it runs alone.
type Start struct {
	Attempt   identifier.AttemptID
	Remaining timer.Millis
	Solo      bool
}

// Refuse answers an attempt that has not started. RetryAfter is an estimate in
// ms of when another attempt here may be admitted.
type Refuse struct {
	Attempt    identifier.AttemptID
	Reason     classifier.Reason
	RetryAfter timer.Millis
}

// Drained says that nothing runs any more after a drain began.
type Drained struct{}

// BackendCrash says that the backend server died, and lists the requests that ran. A
// Step that returns it starts nothing, so that the quarantine verdicts can be
// passed as Restrict first.
type BackendCrash struct {
	Running []Running
	// Uncertain means that something else may have caused the crash: requests
	// of a predecessor, or an earlier crash that the server has not announced
	// itself after.
	Uncertain bool
}

// PauseDetected says that the process was paused. Nothing starts until the owner has
// passed the current DomainState, and before it current Limits.
type PauseDetected struct{}

func (Start) action()         {}
func (Refuse) action()        {}
func (Drained) action()       {}
func (BackendCrash) action()  {}
func (PauseDetected) action() {}

// Running is a started attempt that has not ended.
type Running struct {
	Attempt        identifier.AttemptID
	Fingerprint    identifier.Fingerprint
	HasFingerprint bool
	Solo           bool
}
