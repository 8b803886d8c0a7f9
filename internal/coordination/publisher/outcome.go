package publisher

import "github.com/magnoliaknot/magnoliaknot/pkg/identifier"

// Outcome is what became of a published change.
type Outcome uint8

const (
	// Unknown says that the log could not be read before the deadline, or that
	// the fold of this daemon did not get as far as the change.
	Unknown Outcome = iota
	// Accepted says that the change is in force.
	Accepted
	// Rejected says that the fold rejected the change.
	Rejected
	// Absent says that the change is not in the log, which was read to its end
	// after the last append. A copy still on its way to the log may arrive
	// later, so the change is to be repeated with the same id.
	Absent
)

var fateNames = [...]string{Unknown: "unknown", Accepted: "accepted", Rejected: "rejected", Absent: "absent"}

// String returns the name of the fate.
func (f Outcome) String() string {
	if int(f) >= len(fateNames) {
		return "invalid"
	}
	return fateNames[f]
}

// Lookup is the fold of the configuration stream.
type Lookup interface {
	// Outcome returns Accepted or Rejected for a change that was folded, and false
	// for one that was not.
	Outcome(id identifier.ChangeID) (Outcome, bool)
}
