// Package estimator learns from finished runs how long the requests of a route
// take on a backend server, and whether it becomes slower when it is nearly full.
//
// It answers for the heaviest days: when all slots of a fleet are busy, a start
// that cannot end in time, or one that slows down the runs beside it, costs
// another caller its answer.
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
	// maxRoutes bounds the routes that are kept; a configuration may have
	// thousands, but few of one service carry its load.
	maxRoutes = 64
	// enough is the number of runs from which a quantile says something.
	enough = 12
	// refresh is the number of runs after which quantiles are computed again.
	refresh = 8
	// fullShare is the share of busy slots above which a backend server counts as
	// nearly full, and easyShare that up to which it is not.
	fullShare = 0.8
	easyShare = 0.7
	// kneeRatio is how much longer runs have to take on a nearly full backend
	// server for fewer at a time to be faster: 4 of 5 slots do the work of 5 if
	// these take 1.25 times as long.
	kneeRatio = 1.3
	// explore is how long a limit holds before the full number of slots is tried
	// again.
	explore = 30 * timer.Second
	// steadyPercent is the slowdown up to which runs are compared.
	steadyPercent = 150
	percent       = 100
)

// Run is a finished run with a complete answer.
type Run struct {
	Route string
	// Running is the number of runs at its start, with itself.
	Running, Slots int
	Duration       timer.Millis
	// SlowdownPercent is how long work took on the VM at the start.
	SlowdownPercent int32
}

// Estimator holds the recent runs of one backend server.
type Estimator struct {
	routes map[string]*route
	knee   bool
	// foundAt is when the knee was found.
	foundAt timer.Millis
}

// route holds the recent runs of one route.
type route struct {
	all, easy, full samples
	median          timer.Millis
	fresh           int
}

// New returns an estimator that knows nothing.
func New() *Estimator { return &Estimator{routes: map[string]*route{}} }

// Observe takes a run into account.
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
	if slowdown <= steadyPercent {
		switch busy := float64(run.Running) / float64(max(1, run.Slots)); {
		case busy > fullShare:
			r.full.add(run.Duration)
		case busy <= easyShare:
			r.easy.add(run.Duration)
		}
	}
	if r.fresh++; r.fresh >= refresh {
		r.fresh = 0
		r.median = r.all.quantile(medianPercent)
		e.compare(now)
	}
}

// medianPercent and lowPercent are quantiles in percent. The low one compares runs
// that made no calls of their own, which take longer when other services are busy.
const (
	medianPercent = 50
	lowPercent    = 20
)

// compare looks for a route whose runs take much longer on a nearly full backend
// server.
func (e *Estimator) compare(now timer.Millis) {
	if e.knee {
		return // Runs beyond the limit are not made, so nothing new is known.
	}
	compared, slower := 0, 0
	for _, r := range e.routes {
		if r.easy.count < enough || r.full.count < enough {
			continue
		}
		compared++
		if float64(r.full.quantile(lowPercent)) > kneeRatio*float64(max(1, r.easy.quantile(lowPercent))) {
			slower++
		}
	}
	if slower > 0 && 2*slower >= compared {
		e.knee, e.foundAt = true, now
	}
}

// expire ends a limit that has held for long. The next comparison is made of new
// runs.
func (e *Estimator) expire(now timer.Millis) {
	if !e.knee || now-e.foundAt < explore {
		return
	}
	e.knee = false
	for _, r := range e.routes {
		r.full = samples{}
	}
}

// Expected returns how long a run of a route takes at a slowdown. Zero means that
// too few runs are known.
func (e *Estimator) Expected(name string, slowdownPercent int32) timer.Millis {
	r, found := e.routes[name]
	if !found {
		return 0
	}
	return r.median * max(percent, timer.Millis(slowdownPercent)) / percent
}

// Limit returns how many runs at a time are fastest.
func (e *Estimator) Limit(now timer.Millis, slots int) int {
	e.expire(now)
	if !e.knee {
		return slots
	}
	return max(1, int(fullShare*float64(slots)))
}

// samples is a ring of recent times.
type samples struct {
	values [ringSize]timer.Millis
	count  int
	next   int
}

// ringSize is the number of runs that quantiles are computed of.
const ringSize = 48

func (s *samples) add(value timer.Millis) {
	s.values[s.next] = value
	s.next = (s.next + 1) % ringSize
	s.count = min(s.count+1, ringSize)
}

// quantile returns a quantile in percent, or zero if too few values are known.
func (s *samples) quantile(share int) timer.Millis {
	if s.count < enough {
		return 0
	}
	sorted := slices.Clone(s.values[:s.count])
	slices.Sort(sorted)
	return sorted[s.count*share/percent]
}
