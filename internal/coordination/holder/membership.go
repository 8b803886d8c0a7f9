package holder

import (
	"sync"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/announcer"
	"github.com/magnoliaknot/magnoliaknot/internal/coordination/follower"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Membership holds the fold of the membership stream. It is safe for concurrent
// use.
type Membership struct {
	self   identifier.InstanceID
	domain identifier.FailureDomain

	mu      sync.Mutex
	tracker *tracker.Tracker
}

var _ follower.State = (*Membership)(nil)

// NewMembership returns a Membership with an empty table.
func NewMembership(config tracker.Config) *Membership {
	return &Membership{self: config.Self, domain: config.FailureDomain, tracker: tracker.New(config)}
}

// Apply folds one record of the membership stream.
func (m *Membership) Apply(offset identifier.Offset, payload []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Apply(offset, payload)
}

// Restore replaces the table by a checkpoint that covers a higher offset.
func (m *Membership) Restore(payload []byte) (bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
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

// Step passes an event of failure detection to the tracker.
func (m *Membership) Step(now timer.Millis, event tracker.Event) []tracker.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Step(now, event)
}

// Version changes with every change of a member, but not with a renewal.
func (m *Membership) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Version()
}

// Read calls read with exclusive access to the tracker.
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

// Lookup returns the member with an instance id.
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

// Assignment returns the sources that the followers of this daemon should use.
func (m *Membership) Assignment() follower.Assignment {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, reader := m.tracker.ReaderRank(m.self)
	return follower.Assignment{Reader: reader, Relays: m.relayAddresses()}
}

// Status returns the state of this daemon in the table for the announcer.
func (m *Membership) Status(incarnation identifier.Incarnation) announcer.MembershipStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := announcer.MembershipStatus{Readers: m.relayAddresses(), Members: m.tracker.DomainLen(m.domain)}
	_, s.Reader = m.tracker.ReaderRank(m.self)
	s.Present = m.tracker.Present(m.self, incarnation)
	s.Above, s.Removed = m.tracker.Removed(m.self, incarnation)
	if entry, ok := m.tracker.Lookup(m.self); ok {
		s.Revision, s.RenewedOffset = entry.Revision, entry.RenewedOffset
	}
	return s
}

// ReaderRank returns the rank of this daemon among all log readers, or false if it
// is not a log reader.
func (m *Membership) ReaderRank() (int, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.ReaderRank(m.self)
}

// relayAddresses returns the addresses of the other log readers. The caller holds
// the lock.
func (m *Membership) relayAddresses() []identifier.Address {
	relays := m.tracker.Relays(m.domain, m.self)
	addresses := make([]identifier.Address, 0, len(relays))
	for _, r := range relays {
		addresses = append(addresses, r.Peer)
	}
	return addresses
}
