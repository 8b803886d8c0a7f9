package admitter

import (
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Action is an output of Step.
type Action interface{ action() }

// Start tells the owner to forward an attempt to the backend server. Remaining
// is the caller's remaining time in ms, always above zero. Solo means that no
// other attempt runs beside it.
type Start struct {
	Attempt   identifier.AttemptID
	Remaining timer.Millis
	Solo      bool
}

// Refuse rejects an attempt that has not started. RetryAfter estimates, in ms,
// when another attempt may be admitted here.
type Refuse struct {
	Attempt    identifier.AttemptID
	Reason     classifier.Reason
	RetryAfter timer.Millis
}

// Drained reports that no attempt is running any more after a drain began.
type Drained struct{}

// BackendCrash reports that the backend server crashed and lists the attempts
// that were running. A Step that returns it starts nothing, so that the owner can
// first pass the resulting quarantine verdicts as Restrict.
type BackendCrash struct {
	Running []Running
	// Uncertain means that something else may have caused the crash: requests
	// sent by a previous daemon, or an earlier crash after which the server has
	// not announced itself.
	Uncertain bool
}

// PauseDetected reports that the process was paused. Nothing starts until the
// owner has passed the current DomainState, preceded by the current Limits.
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
