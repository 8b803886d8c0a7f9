package comparer

import (
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// totals are the runs of an instance by route. They are not changed after they were made.
type totals map[string]RouteCounts

// sample is what an instance had counted at a time.
type sample struct {
	at     timer.Millis
	totals totals
}

// instance holds the reports of one instance.
type instance struct {
	version     identifier.ServiceVersion
	incarnation identifier.Incarnation
	sequence    uint64
	// reported is the latest report of the incarnation by route, and before what was counted
	// before its counters started.
	reported, before totals
	// samples are the latest samples, oldest first.
	samples []sample
	// step is the state at the beginning of the step, nil if there was none.
	step totals
}

// observe adds a report. The owner has checked that it is new.
func (i *instance) observe(now timer.Millis, r *Report) {
	if i.reported == nil || r.Incarnation != i.incarnation {
		i.before, i.reported = i.latest(), totals{}
	}
	i.version, i.incarnation, i.sequence = r.Version, r.Incarnation, r.Sequence
	sum := totals{}
	for route, counts := range i.latest() {
		sum[route] = counts // Kept if the report does not name the route.
	}
	for _, counts := range r.Routes {
		before := i.before[counts.Route]
		if counts.Runs < i.reported[counts.Route].Runs { // The route's counter has started again.
			before = sum[counts.Route]
			i.before = i.before.with(before)
		}
		i.reported[counts.Route] = counts
		counts.add(&before)
		sum[counts.Route] = counts
	}
	i.append(sample{at: now, totals: sum})
	if i.step == nil {
		i.step = sum
	}
}

// with returns a copy with other counts of a route.
func (t totals) with(counts RouteCounts) totals {
	changed := totals{counts.Route: counts}
	for route, c := range t {
		if route != counts.Route {
			changed[route] = c
		}
	}
	return changed
}

// append adds a sample and removes those that no window needs any more.
func (i *instance) append(s sample) {
	if last := len(i.samples) - 1; last > 0 && s.at-i.samples[last-1].at < minSampleInterval {
		i.samples[last] = s
		return
	}
	i.samples = append(i.samples, s)
	needed := 0
	for needed+1 < len(i.samples) && i.samples[needed+1].at <= s.at-sampleRetention {
		needed++
	}
	i.samples = slices.Delete(i.samples, 0, needed)
}

// latest returns the latest state.
func (i *instance) latest() totals {
	if len(i.samples) == 0 {
		return totals{}
	}
	return i.samples[len(i.samples)-1].totals
}

// lastAt returns the time of the latest report.
func (i *instance) lastAt() timer.Millis { return i.samples[len(i.samples)-1].at }

// at returns the latest state at a time. If there was no report yet, it is the first one,
// since earlier runs belong to an unknown time.
func (i *instance) at(t timer.Millis) totals {
	for n := len(i.samples) - 1; n > 0; n-- {
		if i.samples[n].at <= t {
			return i.samples[n].totals
		}
	}
	return i.samples[0].totals
}

// minus returns the counts of a route since an earlier state.
func (t totals) minus(earlier totals, route string) RouteCounts {
	counts, before := t[route], earlier[route]
	counts.subtract(&before)
	return counts
}
