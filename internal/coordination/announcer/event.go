package announcer

import (
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Ticket identifies a caller that waits for a confirmation. Zero means that no
// caller waits.
type Ticket uint64

// MembershipStatus is the membership table's view of this daemon.
type MembershipStatus struct {
	// Reader is set if this daemon is a log reader.
	Reader bool
	// Readers are the other log readers of the failure domain, in this daemon's
	// order of preference.
	Readers []identifier.Address
	// Members is the number of members of the failure domain.
	Members int
	// Present is set if the incarnation is a member; Revision is then the revision
	// of its announcement in the table.
	Present  bool
	Revision uint32
	// RenewedOffset is the offset of its last join or renewal.
	RenewedOffset identifier.Offset
	// Removed is set if the incarnation was removed; the next incarnation must
	// then be greater than Above.
	Removed bool
	Above   identifier.Incarnation
}

// Event is an input of the planner.
type Event interface{ event() }

// Wakeup requests the next actions.
type Wakeup struct{ Status MembershipStatus }

// Announced is a new or changed announcement of this daemon.
type Announced struct{ Member tracker.Member }

// LeaveRequested reports that this daemon leaves and will not join again.
type LeaveRequested struct{ Ticket Ticket }

// IncarnationAssigned sets a new incarnation of this daemon after its removal.
type IncarnationAssigned struct{ Incarnation identifier.Incarnation }

// Received holds records to append for other daemons.
type Received struct {
	Records []tracker.Record
	Ticket  Ticket
}

// Appended is the result of an append. If Succeeded is false, the append may still
// have taken effect.
type Appended struct{ Succeeded bool }

// Forwarded is the result of a Forward. Accepted is set if the reader has the
// record, Appended if the record is in the log.
type Forwarded struct {
	Accepted bool
	Appended bool
}

func (Wakeup) event()              {}
func (Announced) event()           {}
func (LeaveRequested) event()      {}
func (IncarnationAssigned) event() {}
func (Received) event()            {}
func (Appended) event()            {}
func (Forwarded) event()           {}

// Action is an output of the planner that the announcer carries out.
type Action interface{ action() }

// Append requests that a batch is appended. The result is reported by Appended.
type Append struct{ Records []tracker.Record }

// Forward requests that a record of this daemon is sent to a reader. The result
// is reported by Forwarded.
type Forward struct {
	Peer   identifier.Address
	Record tracker.Record
}

// RequestIncarnation requests a new incarnation. The result is reported by
// IncarnationAssigned.
type RequestIncarnation struct{ Above identifier.Incarnation }

// Confirm reports that the records that the tickets wait for are in the log.
type Confirm struct{ Tickets []Ticket }

// Sleep requests a Wakeup at a time, or earlier after another event.
type Sleep struct{ Until timer.Millis }

func (Append) action()             {}
func (Forward) action()            {}
func (RequestIncarnation) action() {}
func (Confirm) action()            {}
func (Sleep) action()              {}
