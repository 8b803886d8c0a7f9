package reducer

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// State is an immutable snapshot of the folded configuration.
type State struct {
	// Version is 0 and Sheet nil until the first change is accepted.
	Version identifier.Version
	Sheet   *parser.Sheet
	// FoldedOffset is the offset of the last record folded, if Folded.
	FoldedOffset identifier.Offset
	Folded       bool
	// ReturnedAt holds the publishing time of the last change that ended an out
	// window in force, by failure domain. It must not be modified.
	ReturnedAt map[identifier.FailureDomain]timer.Millis
}

// Next returns the offset of the record to fold next.
func (s State) Next() identifier.Offset {
	if !s.Folded {
		return 0
	}
	return s.FoldedOffset + 1
}
