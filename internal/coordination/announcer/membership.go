package announcer

import (
	"sync"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/checkpointer"
	"github.com/magnoliaknot/magnoliaknot/internal/coordination/follower"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Membership is a membership table that the follower, the announcer, the
// checkpointer and the ingress of one daemon share. It is safe for concurrent
// use and holds its lock only within a call.
type Membership struct {
	self   identifier.InstanceID
	domain identifier.FailureDomain

	mu      sync.Mutex
	tracker *tracker.Tracker
}

var _ follower.State = (*Membership)(nil)

// NewMembership returns an empty table.
func NewMembership(config tracker.Config) *Membership {
	return &Membership{self: config.Self, domain: config.FailureDomain, tracker: tracker.New(config)}
}

// Apply folds the record that follows the last folded one.
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

// Folded returns the offset of the last folded record, or false if nothing has
// been folded.
func (m *Membership) Folded() (identifier.Offset, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Folded()
}

// Checkpoint encodes the table for the stream or for Peer.GetSnapshot.
func (m *Membership) Checkpoint() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Checkpoint()
}

// Step handles an event of local liveness.
func (m *Membership) Step(now timer.Millis, event tracker.Event) []tracker.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Step(now, event)
}

// Instances returns the members of a service. The slice is shared and must not
// be changed.
func (m *Membership) Instances(service identifier.ServiceName) []tracker.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Instances(service)
}

// Lookup returns the entry of an instance.
func (m *Membership) Lookup(instance identifier.InstanceID) (tracker.Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Lookup(instance)
}

// Usable reports whether an instance may receive requests.
func (m *Membership) Usable(instance identifier.InstanceID, now timer.Millis) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Usable(instance, now)
}

// Watched returns the members that this daemon checks.
func (m *Membership) Watched() []tracker.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Watched(m.self)
}

// Readers returns the log readers of this daemon's failure domain, which receive
// its suspicions.
func (m *Membership) Readers() []tracker.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Readers(m.domain)
}

// Assignment tells the followers of this daemon which sources to use.
func (m *Membership) Assignment() follower.Assignment {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, reader := m.tracker.ReaderRank(m.self)
	return follower.Assignment{Reader: reader, Relays: m.relays()}
}

// Standing tells the announcer what the table says of this daemon.
func (m *Membership) Standing(incarnation identifier.Incarnation) Standing {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Standing{Readers: m.relays(), Members: m.tracker.Members(m.domain)}
	_, s.Reader = m.tracker.ReaderRank(m.self)
	s.Present = m.tracker.Present(m.self, incarnation)
	s.Above, s.Removed = m.tracker.Removed(m.self, incarnation)
	if entry, ok := m.tracker.Lookup(m.self); ok {
		s.Revision, s.RenewedOffset = entry.Revision, entry.RenewedOffset
	}
	return s
}

// Progress tells the checkpointer of the membership stream how far the table is.
// Confirmed says whether the end of the log was confirmed lately.
func (m *Membership) Progress(confirmed bool) checkpointer.Progress {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := checkpointer.Progress{Confirmed: confirmed}
	p.Folded, p.Any = m.tracker.Folded()
	checkpoint := m.tracker.LastCheckpoint()
	p.Checkpoint, p.Found = checkpoint.Folded, checkpoint.Found
	p.Rank, p.Reader = m.tracker.ReaderRank(m.self)
	return p
}

// relays returns the addresses of the other log readers. The caller holds the
// lock.
func (m *Membership) relays() []identifier.Address {
	relays := m.tracker.Relays(m.domain, m.self)
	addresses := make([]identifier.Address, 0, len(relays))
	for _, r := range relays {
		addresses = append(addresses, r.Peer)
	}
	return addresses
}
