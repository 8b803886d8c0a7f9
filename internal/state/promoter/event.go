package promoter

import (
	"github.com/magnoliaknot/magnoliaknot/internal/state/comparer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Event is an input of Step.
type Event interface{ event() }

// Events. Each action that accesses the store is answered by exactly one event.
type (
	// Observed is passed every 250 ms while this daemon decides. Rollout is the state of
	// the roll-out in the snapshot in force, Position the position of its Control, and
	// Wall the Unix time.
	Observed struct {
		Rollout  router.Rollout
		Position router.Position
		Wall     timer.Millis
	}
	// Counted is the report of an instance.
	Counted struct{ Report comparer.Report }
	// ControlRead answers ReadControl.
	ControlRead struct{ Control router.Control }
	// ReadFailed answers ReadControl if the store could not be read.
	ReadFailed struct{}
	// Written answers Write. Position is that of the written record.
	Written struct{ Position router.Position }
	// Conflicted answers Write if other records were written before; it was refused.
	Conflicted struct{}
	// WriteFailed answers Write if no answer was received; it may have been carried out.
	WriteFailed struct{}
	// Published answers Publish.
	Published struct{}
	// PublishFailed answers Publish if it is not known to have been carried out.
	PublishFailed struct{}
)

func (Observed) event()      {}
func (Counted) event()       {}
func (ControlRead) event()   {}
func (ReadFailed) event()    {}
func (Written) event()       {}
func (Conflicted) event()    {}
func (WriteFailed) event()   {}
func (Published) event()     {}
func (PublishFailed) event() {}
