// Package estimator estimates from finished runs how long the requests of a route
// take on a backend server, and detects whether the server becomes slower when its
// slots are nearly all busy.
//
// It is for peak load: when all slots of a fleet are busy, starting a run that
// cannot end in time, or one that slows down the runs beside it, costs another
// caller its answer.
//
// # Usage
//
//	e := estimator.New()
//	e.Observe(now, estimator.Run{Route: "orders", Running: 4, Slots: 5, Duration: 120})
//	expected := e.Expected("orders", 100)
//	limit := e.Limit(now, 5)
//
// An Estimator is not safe for concurrent use; its owner serialises calls.
package estimator

import (
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// maxRoutes bounds the routes that are tracked; a configuration may have
	// thousands, but few routes of a service carry most of its load.
	maxRoutes = 64
	// minSamples is the number of runs from which a quantile is meaningful.
	minSamples = 12
	// recomputeAfter is the number of runs after which quantiles are recomputed.
	recomputeAfter = 8
	// highLoadShare is the share of busy slots above which a backend server is under
	// high load, and lowLoadShare the share up to which it is under low load.
	highLoadShare = 0.8
	lowLoadShare  = 0.7
	// kneeRatio is the ratio of run times under high load to those under low load
	// above which fewer concurrent runs give more throughput: 4 of 5 slots do the
	// work of 5 if runs on all 5 take 1.25 times as long.
	kneeRatio = 1.3
	// limitDuration is how long a reduced limit is kept before the full number of
	// slots is tried again.
	limitDuration = 30 * timer.Second
	// maxComparedPercent is the slowdown of the VM up to which runs are compared.
	maxComparedPercent = 150
	percent            = 100
)

// Run is a finished run with a complete answer.
type Run struct {
	Route string
	// Running is the number of concurrent runs at its start, including itself.
	Running, Slots int
	Duration       timer.Millis
	// SlowdownPercent is how long work took on the VM at the start of the run, in
	// percent of the usual time.
	SlowdownPercent int32
}

// Estimator holds the recent runs of one backend server.
type Estimator struct {
	routes map[string]*route
	// knee means that runs take much longer under high load.
	knee bool
	// kneeFoundAt is when the knee was found.
	kneeFoundAt timer.Millis
}

// route holds the recent runs of one route.
type route struct {
	all, lowLoad, highLoad samples
	median                 timer.Millis
	sinceRecompute         int
}

// New returns an Estimator without runs.
func New() *Estimator { return &Estimator{routes: map[string]*route{}} }

// Observe records a finished run.
func (e *Estimator) Observe(now timer.Millis, run Run) {
	e.expire(now)
	r, found := e.routes[run.Route]
	if !found {
		if len(e.routes) >= maxRoutes {
			return
		}
		r = &route{}
		e.routes[run.Route] = r
	}
	slowdown := max(percent, timer.Millis(run.SlowdownPercent))
	r.all.add(run.Duration * percent / slowdown)
	if slowdown <= maxComparedPercent {
		switch busy := float64(run.Running) / float64(max(1, run.Slots)); {
		case busy > highLoadShare:
			r.highLoad.add(run.Duration)
		case busy <= lowLoadShare:
			r.lowLoad.add(run.Duration)
		}
	}
	if r.sinceRecompute++; r.sinceRecompute >= recomputeAfter {
		r.sinceRecompute = 0
		r.median = r.all.quantile(medianPercent)
		e.compare(now)
	}
}

// medianPercent and lowPercent are quantiles in percent. The low one is used to
// compare runs that made no calls of their own; calls take longer when other
// services are busy.
const (
	medianPercent = 50
	lowPercent    = 20
)

// compare sets the knee if the runs of at least half of the comparable routes take
// much longer under high load.
func (e *Estimator) compare(now timer.Millis) {
	if e.knee {
		return // No runs start above the limit, so there is nothing new to compare.
	}
	compared, slower := 0, 0
	for _, r := range e.routes {
		if r.lowLoad.count < minSamples || r.highLoad.count < minSamples {
			continue
		}
		compared++
		if float64(r.highLoad.quantile(lowPercent)) > kneeRatio*float64(max(1, r.lowLoad.quantile(lowPercent))) {
			slower++
		}
	}
	if slower > 0 && 2*slower >= compared {
		e.knee, e.kneeFoundAt = true, now
	}
}

// expire ends a limit after limitDuration. The next comparison uses only new runs
// under high load.
func (e *Estimator) expire(now timer.Millis) {
	if !e.knee || now-e.kneeFoundAt < limitDuration {
		return
	}
	e.knee = false
	for _, r := range e.routes {
		r.highLoad = samples{}
	}
}

// Expected returns the expected duration of a run of a route at the given
// slowdown. Zero means that too few runs are known.
func (e *Estimator) Expected(name string, slowdownPercent int32) timer.Millis {
	r, found := e.routes[name]
	if !found {
		return 0
	}
	return r.median * max(percent, timer.Millis(slowdownPercent)) / percent
}

// Limit returns the number of concurrent runs with the highest throughput.
func (e *Estimator) Limit(now timer.Millis, slots int) int {
	e.expire(now)
	if !e.knee {
		return slots
	}
	return max(1, int(highLoadShare*float64(slots)))
}

// samples is a ring buffer of recent run times.
type samples struct {
	values [ringSize]timer.Millis
	count  int
	next   int
}

// ringSize is the number of runs from which quantiles are computed.
const ringSize = 48

func (s *samples) add(value timer.Millis) {
	s.values[s.next] = value
	s.next = (s.next + 1) % ringSize
	s.count = min(s.count+1, ringSize)
}

// quantile returns a quantile in percent, or zero if too few values are known.
func (s *samples) quantile(share int) timer.Millis {
	if s.count < minSamples {
		return 0
	}
	sorted := slices.Clone(s.values[:s.count])
	slices.Sort(sorted)
	return sorted[s.count*share/percent]
}
