package promoter

import (
	"github.com/magnoliaknot/magnoliaknot/internal/state/comparer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
)

// Action is an output of Step that its owner must carry out.
type Action interface{ action() }

// Actions.
type (
	// ReadControl reads all records of the store's control topic.
	ReadControl struct{}
	// Write writes the progress on the condition that Since is still the position of the
	// last record.
	Write struct {
		Progress router.RolloutProgress
		Since    router.Position
	}
	// Publish updates the operator's status record.
	Publish struct{ Progress router.RolloutProgress }
	// Ask asks the instances of the service for their counts. Halt tells those of the
	// target to refuse all attempts.
	Ask struct{ Halt bool }
	// Log writes a line for the operator.
	Log struct {
		Message  string
		Progress router.RolloutProgress
		Verdict  comparer.Verdict
	}
)

func (ReadControl) action() {}
func (Write) action()       {}
func (Publish) action()     {}
func (Ask) action()         {}
func (Log) action()         {}
