package scheduler

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
)

// ActiveConfiguration is the configuration in force. It is immutable.
type ActiveConfiguration struct {
	Version  identifier.Version
	Offset   identifier.Offset
	Sheet    *parser.Sheet
	Schedule *Schedule
}
