package parser

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

// Bounds of an instance class.
const (
	maxSlots           = 100_000
	maxConnections     = 1_000_000
	maxRampCompletions = 1_000_000
)

// InstanceClass is a kind of backend server with the same capacity.
type InstanceClass struct {
	Name        identifier.InstanceClass `json:"name"`
	Slots       identifier.Slots         `json:"slots"`
	Connections int64                    `json:"connections"`
	// ColdLimit bounds the requests in flight on a server in cold start.
	ColdLimit identifier.Slots `json:"cold_limit"`
	// RampCompletions is the number of good completions per step of the limit
	// during cold start.
	RampCompletions int64 `json:"ramp_completions"`
}

func (c *InstanceClass) key() string { return string(c.Name) }

// Check adds a finding for each rule that the class breaks on its own.
func (c *InstanceClass) Check(place string, findings *reporter.Findings) {
	checkName(joinPlace(place, "name"), string(c.Name), findings)
	checkRange(joinPlace(place, "slots"), c.Slots, 1, maxSlots, findings)
	checkRange(joinPlace(place, "connections"), c.Connections, 1, maxConnections, findings)
	checkRange(joinPlace(place, "cold_limit"), c.ColdLimit, 1, max(c.Slots, 1), findings)
	checkRange(joinPlace(place, "ramp_completions"), c.RampCompletions, 1, maxRampCompletions, findings)
}
