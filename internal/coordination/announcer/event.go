package announcer

import (
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Ticket numbers something that a caller waits for. Zero means nobody waits.
type Ticket uint64

// MembershipStatus is what the membership table says of this daemon.
type MembershipStatus struct {
	// Reader says that this daemon is a log reader.
	Reader bool
	// Readers are the other log readers of the failure domain, in this daemon's
	// order of preference.
	Readers []identifier.Address
	// Members is the number of members of the failure domain.
	Members int
	// Present says that the incarnation is a member, and Revision with which
	// revision of its announcement.
	Present  bool
	Revision uint32
	// RenewedOffset is the offset of its last join or renewal.
	RenewedOffset identifier.Offset
	// Removed says that the incarnation was removed, and Above which
	// incarnation its next one must exceed.
	Removed bool
	Above   identifier.Incarnation
}

// Event is something that happened to the announcer.
type Event interface{ event() }

// Wakeup asks for the next actions.
type Wakeup struct{ Status MembershipStatus }

// Announced is a new or changed announcement of this daemon.
type Announced struct{ Member tracker.Member }

// LeaveRequested says that this daemon leaves for good.
type LeaveRequested struct{ Ticket Ticket }

// IncarnationAssigned gives this daemon a new incarnation after its removal.
type IncarnationAssigned struct{ Incarnation identifier.Incarnation }

// Received are records to append for others.
type Received struct {
	Records []tracker.Record
	Ticket  Ticket
}

// Appended is the end of an append. If it is not Done, it may still have taken
// effect.
type Appended struct{ Done bool }

// Forwarded is the end of a hand-over. Kept says that the reader has the
// record, Appended that it is in the log.
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

// Action is something that the announcer should do.
type Action interface{ action() }

// Append asks to append a batch. It is answered by Appended.
type Append struct{ Records []tracker.Record }

// Forward asks to hand this daemon's record to a reader. It is answered by
// Forwarded.
type Forward struct {
	Peer   identifier.Address
	Record tracker.Record
}

// RequestIncarnation asks for a new incarnation. It is answered by IncarnationAssigned.
type RequestIncarnation struct{ Above identifier.Incarnation }

// Confirm says that what the tickets wait for is in the log.
type Confirm struct{ Tickets []Ticket }

// Sleep asks to wake the planner at a time, or earlier when something happens.
type Sleep struct{ Until timer.Millis }

func (Append) action()             {}
func (Forward) action()            {}
func (RequestIncarnation) action() {}
func (Confirm) action()            {}
func (Sleep) action()              {}
