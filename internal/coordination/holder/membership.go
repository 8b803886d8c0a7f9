package holder

import (
	"sync"
	"sync/atomic"

	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Membership holds the membership table. It is safe for concurrent use.
type Membership struct {
	generation atomic.Uint64

	mu      sync.Mutex
	tracker *tracker.Tracker
}

// NewMembership returns a holder of an empty table.
func NewMembership(config tracker.Config) *Membership {
	return &Membership{tracker: tracker.New(config)}
}

// Apply folds one record of the membership stream.
func (m *Membership) Apply(offset identifier.Offset, payload []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation.Add(1)
	return m.tracker.Apply(offset, payload)
}

// Restore replaces the table by a checkpoint that is further on.
func (m *Membership) Restore(payload []byte) (bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation.Add(1)
	return m.tracker.Restore(payload)
}

// Folded returns the offset of the last folded record.
func (m *Membership) Folded() (identifier.Offset, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Folded()
}

// Checkpoint encodes the table.
func (m *Membership) Checkpoint() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Checkpoint()
}

// LastCheckpoint returns the offset that the newest checkpoint seen in the
// stream covers.
func (m *Membership) LastCheckpoint() (identifier.Offset, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	checkpoint := m.tracker.LastCheckpoint()
	return checkpoint.Folded, checkpoint.Found
}

// Generation changes whenever the table may have changed.
func (m *Membership) Generation() uint64 { return m.generation.Load() }

// Step handles an event of local liveness.
func (m *Membership) Step(now timer.Millis, event tracker.Event) []tracker.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Step(now, event)
}

// Read gives exclusive access to the table for the time of a call.
func (m *Membership) Read(read func(*tracker.Tracker)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	read(m.tracker)
}

// Instances returns the members of a service.
func (m *Membership) Instances(service identifier.ServiceName) []tracker.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Instances(service)
}

// Lookup returns a member.
func (m *Membership) Lookup(instance identifier.InstanceID) (tracker.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, found := m.tracker.Lookup(instance)
	return entry.Member, found
}

// Len returns the number of members.
func (m *Membership) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Len()
}
