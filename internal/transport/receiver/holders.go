package receiver

import (
	"github.com/magnoliaknot/magnoliaknot/internal/state/scheduler"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Configuration provides the configuration in force. It is safe for concurrent use.
type Configuration interface {
	// View returns the configuration in force; its version is 0 before the first.
	View() *scheduler.ActiveConfiguration
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Membership provides the known instances. It is safe for concurrent use.
type Membership interface {
	// Version increases with each change of a member.
	Version() uint64
	// Lookup returns a member.
	Lookup(instance identifier.InstanceID) (tracker.Member, bool)
	// Read calls a function with the table, which must not retain it.
	Read(read func(*tracker.Tracker))
	// Step applies an observation of a member.
	Step(now timer.Millis, event tracker.Event) []tracker.Action
}
