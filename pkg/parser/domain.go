package parser

import (
	"fmt"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Bounds of a failure domain.
const (
	maxOutWindows   = 1000
	maxReturnRampMs = timer.Hour
)

// FailureDomain is a set of VMs that operators can take out of service.
type FailureDomain struct {
	Name   identifier.FailureDomain `json:"name"`
	Region identifier.Region        `json:"region"`
	// Out lists when the failure domain is out of service.
	Out []Window `json:"out,omitempty"`
	// ReturnRamp is the time over which load rises after the failure domain
	// returns to service.
	ReturnRamp timer.Millis `json:"return_ramp_ms"`
}

func (d *FailureDomain) key() string { return string(d.Name) }

// OutAt reports whether the failure domain is out of service at a Unix time.
func (d *FailureDomain) OutAt(wall timer.Millis) bool {
	for _, window := range d.Out {
		if window.Contains(wall) {
			return true
		}
	}
	return false
}

// Check adds a finding for each rule that the failure domain breaks on its own.
func (d *FailureDomain) Check(place string, findings *reporter.Findings) {
	checkName(joinPlace(place, "name"), string(d.Name), findings)
	checkName(joinPlace(place, "region"), string(d.Region), findings)
	checkRange(joinPlace(place, "return_ramp_ms"), d.ReturnRamp, 0, maxReturnRampMs, findings)
	out := joinPlace(place, "out")
	checkCount(out, len(d.Out), maxOutWindows, findings)
	for i, window := range d.Out {
		window.check(fmt.Sprintf("%s[%d]", out, i), findings)
	}
	checkOverlaps(out, d.Out, findings)
}
