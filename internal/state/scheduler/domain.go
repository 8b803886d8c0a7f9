package scheduler

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// minRampShare is the share of its limits that a failure domain may use when it
// returns: 1 of 20 slots, so that some completions show whether its backend servers
// can handle load.
const minRampShare = 0.05

// DomainState is the state of a failure domain at one time.
type DomainState struct {
	// Known is false for a failure domain that is not in the sheet.
	Known bool
	// Out means that no new work may start.
	Out bool
	// RampShare is the share of the limits that may be used: 0 while out, then
	// rising from minRampShare to 1 over the return ramp.
	RampShare float64
}

type domainEntry struct {
	out  []parser.Window
	ramp timer.Millis
	// returned is when a configuration change returned the failure domain to
	// service; it is set only if byChange is.
	returned timer.Millis
	byChange bool
}

func windowFrom(window parser.Window) timer.Millis { return window.From.Millis() }

func newDomainEntry(domain *parser.FailureDomain, returned timer.Millis, byChange bool) *domainEntry {
	return &domainEntry{
		out:      sortedByStart(domain.Out, windowFrom),
		ramp:     domain.ReturnRamp,
		returned: returned,
		byChange: byChange,
	}
}

func (e *domainEntry) appendChanges(changes []timer.Millis) []timer.Millis {
	for _, window := range e.out {
		changes = append(changes, window.From.Millis())
		if !window.Open() {
			changes = append(changes, window.To.Millis(), window.To.Millis()+e.ramp)
		}
	}
	if e.byChange {
		changes = append(changes, e.returned-e.ramp, e.returned, e.returned+e.ramp)
	}
	return changes
}

// Domain returns the state of a failure domain at a Unix time.
func (s *Schedule) Domain(wall timer.Millis, domain identifier.FailureDomain) DomainState {
	entry, known := s.domains[domain]
	if !known {
		return DomainState{}
	}
	last := lastStarted(entry.out, wall, windowFrom)
	if last >= 0 && entry.out[last].Contains(wall) {
		return DomainState{Known: true, Out: true}
	}
	share := 1.0
	if last >= 0 {
		share = min(share, rampShare(wall-entry.out[last].To.Millis(), entry.ramp))
	}
	if entry.byChange {
		share = min(share, rampShare(wall-entry.returned, entry.ramp))
	}
	return DomainState{Known: true, RampShare: share}
}

// rampShare rises linearly with the time since a return. A return in the future
// is due to a clock difference between machines and is treated as happening now;
// one further ahead than the ramp is due to a wrong clock and must not limit the
// failure domain until that time.
func rampShare(elapsed, ramp timer.Millis) float64 {
	if elapsed >= ramp || elapsed < -ramp {
		return 1
	}
	progress := float64(max(elapsed, 0)) / float64(ramp)
	return minRampShare + (1-minRampShare)*progress
}
