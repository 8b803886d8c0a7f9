package publisher

import "github.com/magnoliaknot/magnoliaknot/pkg/identifier"

// Outcome is the result of publishing a change.
type Outcome uint8

const (
	// Unknown means that the log could not be read before the deadline, or that
	// the fold of this daemon did not reach the change.
	Unknown Outcome = iota
	// Accepted means that the fold accepted the change, which is in force.
	Accepted
	// Rejected means that the fold rejected the change.
	Rejected
	// Absent means that the change is not in the log, which was read to its end
	// after the last append. A copy in transit to the log may still arrive later,
	// so the change must be retried with the same id.
	Absent
)

var outcomeNames = [...]string{Unknown: "unknown", Accepted: "accepted", Rejected: "rejected", Absent: "absent"}

// String returns the name of the outcome.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "invalid"
	}
	return outcomeNames[o]
}

// Lookup finds the outcome of a change in the fold of the configuration stream.
type Lookup interface {
	// Outcome returns Accepted or Rejected for a folded change, and false for a
	// change that was not folded.
	Outcome(id identifier.ChangeID) (Outcome, bool)
}
