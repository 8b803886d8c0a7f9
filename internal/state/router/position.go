package router

import "github.com/magnoliaknot/magnoliaknot/pkg/identifier"

// Position is a position in the platform's store. Offsets of an era begin again at lower
// ones than those of the era before.
type Position struct {
	Era    identifier.Era    `json:"era,omitempty"`
	Offset identifier.Offset `json:"offset"`
}

// Before reports whether a position is earlier than another.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Offset < other.Offset
}
