// Package scheduler determines which limits are in force and which failure domains
// are in service at a given time, and which service a request belongs to.
//
// A Schedule is built once for each version of the sheet. It is immutable and
// safe for concurrent use. All times are Unix times, since operators write
// timetables in calendar time.
//
// # Usage
//
//	schedule := scheduler.New(state.Sheet, state.ReturnedAt)
//	service, ok := schedule.Route(header, host, path)
//	limits, ok := schedule.Limits(clock.Wall(), service.Name)
//	if schedule.Domain(clock.Wall(), domain).Out {
//		// Refuse new work.
//	}
package scheduler

import (
	"cmp"
	"slices"
	"sort"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Schedule is the index of one sheet.
type Schedule struct {
	services map[identifier.ServiceName]*serviceEntry
	domains  map[identifier.FailureDomain]*domainEntry
	routes   routes
	// changes holds the times that NextChange returns, in order.
	changes []timer.Millis
}

// New indexes a sheet, which may be nil. The map holds the times at which a
// configuration change returned a failure domain to service; it is only read.
func New(sheet *parser.Sheet, returnedAt map[identifier.FailureDomain]timer.Millis) *Schedule {
	if sheet == nil {
		sheet = new(parser.Sheet)
	}
	s := &Schedule{
		services: make(map[identifier.ServiceName]*serviceEntry, len(sheet.Services)),
		domains:  make(map[identifier.FailureDomain]*domainEntry, len(sheet.FailureDomains)),
		routes:   newRoutes(sheet.Services),
	}
	for _, service := range sheet.Services {
		class, _ := sheet.Class(service.InstanceClass)
		entry := newServiceEntry(service, class)
		s.services[service.Name] = entry
		for _, limit := range entry.timed {
			s.changes = append(s.changes, limit.From.Millis(), limit.To.Millis())
		}
	}
	for _, domain := range sheet.FailureDomains {
		returned, byChange := returnedAt[domain.Name]
		entry := newDomainEntry(domain, returned, byChange)
		s.domains[domain.Name] = entry
		s.changes = entry.appendChanges(s.changes)
	}
	slices.Sort(s.changes)
	s.changes = slices.Compact(s.changes)
	return s
}

// NextChange returns the earliest time after the given one at which a limit
// changes, a failure domain leaves or returns to service, or a ramp begins or ends.
// The gradual rise of the share during a ramp does not count as a change. It
// returns false if there is no later change.
func (s *Schedule) NextChange(wall timer.Millis) (timer.Millis, bool) {
	i := sort.Search(len(s.changes), func(i int) bool { return s.changes[i] > wall })
	if i == len(s.changes) {
		return 0, false
	}
	return s.changes[i], true
}

// lastStarted returns the index of the last window, in order of From, that starts
// at or before a time, or -1 if there is none.
func lastStarted[T any](windows []T, wall timer.Millis, from func(T) timer.Millis) int {
	return sort.Search(len(windows), func(i int) bool { return from(windows[i]) > wall }) - 1
}

func sortedByStart[T any](windows []T, from func(T) timer.Millis) []T {
	sorted := slices.Clone(windows)
	slices.SortFunc(sorted, func(a, b T) int { return cmp.Compare(from(a), from(b)) })
	return sorted
}
