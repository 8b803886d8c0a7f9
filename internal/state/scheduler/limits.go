package scheduler

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Limits bounds the load on one instance of a service at one time.
type Limits struct {
	// MaxInFlight is the limit in force at this time, at most the slots of the
	// instance class.
	MaxInFlight identifier.Slots
	MaxQueue    int64
	// Slots, Connections, ColdLimit and RampCompletions come from the instance
	// class.
	Slots           identifier.Slots
	Connections     int64
	ColdLimit       identifier.Slots
	RampCompletions int64
	DefaultTimeout  timer.Millis
	MaxTimeout      timer.Millis
}

type serviceEntry struct {
	base  Limits
	timed []parser.TimedLimit
}

func timedFrom(limit parser.TimedLimit) timer.Millis { return limit.From.Millis() }

func newServiceEntry(service *parser.Service, class *parser.InstanceClass) *serviceEntry {
	entry := &serviceEntry{
		base: Limits{
			MaxInFlight:    service.MaxInFlight,
			MaxQueue:       service.MaxQueue,
			DefaultTimeout: service.DefaultTimeout,
			MaxTimeout:     service.MaxTimeout,
		},
		timed: sortedByStart(service.LimitsByTime, timedFrom),
	}
	if class != nil {
		entry.base.Slots = class.Slots
		entry.base.Connections = class.Connections
		entry.base.ColdLimit = class.ColdLimit
		entry.base.RampCompletions = class.RampCompletions
	}
	return entry
}

// Limits returns the limits of a service at a Unix time, and false for a
// service that is not in the sheet.
func (s *Schedule) Limits(wall timer.Millis, service identifier.ServiceName) (Limits, bool) {
	entry, known := s.services[service]
	if !known {
		return Limits{}, false
	}
	limits := entry.base
	if i := lastStarted(entry.timed, wall, timedFrom); i >= 0 && entry.timed[i].Contains(wall) {
		limits.MaxInFlight = entry.timed[i].MaxInFlight
	}
	return limits, true
}
