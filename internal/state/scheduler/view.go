package scheduler

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
)

// View is the configuration in force. It is immutable.
type View struct {
	Version  identifier.Version
	Offset   identifier.Offset
	Sheet    *parser.Sheet
	Schedule *Schedule
}
