package parser

import (
	"fmt"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

// Edit replaces, adds or removes one part of a sheet.
type Edit interface {
	fmt.Stringer
	// Check adds a finding for each rule that the edit breaks on its own.
	Check(place string, findings *reporter.Findings)

	wire() wireEdit
	target() target
}

// target names the part that an edit sets or removes.
type target struct {
	part part
	name string
}

type part int

const (
	partGlobals part = iota
	partDomain
	partClass
	partService
)

func (p part) String() string {
	return [...]string{"globals", "failure domain", "instance class", "service"}[p]
}

// String formats the target for messages.
func (t target) String() string {
	if t.part == partGlobals {
		return t.part.String()
	}
	return t.part.String() + " " + t.name
}

// Edits of a sheet.
type (
	// SetGlobals replaces the global sections.
	SetGlobals struct{ Globals Globals }
	// SetFailureDomain adds or replaces a failure domain.
	SetFailureDomain struct{ FailureDomain *FailureDomain }
	// RemoveFailureDomain removes a failure domain.
	RemoveFailureDomain struct{ Name identifier.FailureDomain }
	// SetInstanceClass adds or replaces an instance class.
	SetInstanceClass struct{ InstanceClass *InstanceClass }
	// RemoveInstanceClass removes an instance class.
	RemoveInstanceClass struct{ Name identifier.InstanceClass }
	// SetService adds or replaces a service.
	SetService struct{ Service *Service }
	// RemoveService removes a service.
	RemoveService struct{ Name identifier.ServiceName }
)

func (e SetGlobals) target() target          { return target{partGlobals, ""} }
func (e SetFailureDomain) target() target    { return target{partDomain, e.FailureDomain.key()} }
func (e RemoveFailureDomain) target() target { return target{partDomain, string(e.Name)} }
func (e SetInstanceClass) target() target    { return target{partClass, e.InstanceClass.key()} }
func (e RemoveInstanceClass) target() target { return target{partClass, string(e.Name)} }
func (e SetService) target() target          { return target{partService, e.Service.key()} }
func (e RemoveService) target() target       { return target{partService, string(e.Name)} }

// Check adds a finding for each rule that the global sections break.
func (e SetGlobals) Check(place string, findings *reporter.Findings) {
	e.Globals.Check(joinPlace(place, "globals"), findings)
}

// Check adds a finding for each rule that the failure domain breaks on its own.
func (e SetFailureDomain) Check(place string, findings *reporter.Findings) {
	e.FailureDomain.Check(joinPlace(place, "failure_domain"), findings)
}

// Check adds a finding if the name is invalid.
func (e RemoveFailureDomain) Check(place string, findings *reporter.Findings) {
	checkName(joinPlace(place, "name"), string(e.Name), findings)
}

// Check adds a finding for each rule that the instance class breaks on its own.
func (e SetInstanceClass) Check(place string, findings *reporter.Findings) {
	e.InstanceClass.Check(joinPlace(place, "instance_class"), findings)
}

// Check adds a finding if the name is invalid.
func (e RemoveInstanceClass) Check(place string, findings *reporter.Findings) {
	checkName(joinPlace(place, "name"), string(e.Name), findings)
}

// Check adds a finding for each rule that the service breaks on its own.
func (e SetService) Check(place string, findings *reporter.Findings) {
	e.Service.Check(joinPlace(place, "service"), findings)
}

// Check adds a finding if the name is invalid.
func (e RemoveService) Check(place string, findings *reporter.Findings) {
	checkName(joinPlace(place, "name"), string(e.Name), findings)
}

// String describes the edit on one line.
func (e SetGlobals) String() string {
	return fmt.Sprintf("set globals (deployment %s, %d messages/s, %d bytes/s for measuring)", e.Globals.Deployment,
		e.Globals.MeasuringBudget.MessagesPerSecond, e.Globals.MeasuringBudget.BytesPerSecond)
}

// String describes the edit on one line.
func (e SetFailureDomain) String() string {
	d := e.FailureDomain
	const maxListed = 3
	out := "never"
	switch {
	case len(d.Out) > maxListed:
		out = fmt.Sprintf("in %d windows", len(d.Out))
	case len(d.Out) > 0:
		out = fmt.Sprint(d.Out)
	}
	return fmt.Sprintf("set %s (region %s, out %s, return ramp %d ms)", e.target(), d.Region, out, d.ReturnRamp)
}

// String describes the edit on one line.
func (e RemoveFailureDomain) String() string { return "remove " + e.target().String() }

// String describes the edit on one line.
func (e SetInstanceClass) String() string {
	c := e.InstanceClass
	return fmt.Sprintf("set %s (%d slots, %d connections, cold limit %d)", e.target(), c.Slots, c.Connections, c.ColdLimit)
}

// String describes the edit on one line.
func (e RemoveInstanceClass) String() string { return "remove " + e.target().String() }

// String describes the edit on one line.
func (e SetService) String() string {
	s := e.Service
	return fmt.Sprintf("set %s (instance class %s, max in flight %d, max queue %d, %d limits by time)", e.target(),
		s.InstanceClass, s.MaxInFlight, s.MaxQueue, len(s.LimitsByTime))
}

// String describes the edit on one line.
func (e RemoveService) String() string { return "remove " + e.target().String() }
