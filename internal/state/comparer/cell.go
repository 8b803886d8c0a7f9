package comparer

import (
	"cmp"
	"math"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// badMargin is how much higher the share of bad runs of a bad version is.
	badMargin = 0.15
	// minBadShare is the lowest share of bad runs that is assumed for a good version, and
	// noiseMargin what is added to it for differences that are no fault.
	minBadShare = 0.02
	noiseMargin = 0.01
	// maxBadShare keeps both shares of the test below one.
	maxBadShare = 0.84
	// slowFactor is the ratio to the median of the old versions above which a run is slow.
	slowFactor = 3
	// minSlowBucket starts at 8 ms. Below, rounding to milliseconds and noise on shared
	// hosts exceed the factor.
	minSlowBucket = 6
	// minMedianRuns is the number of runs from which a median is meaningful.
	minMedianRuns = 10
	// priorRuns is the weight of the runs since the order in the share of a window, and of
	// all routes in that of one, in runs. It matters where the old versions had few runs.
	priorRuns = 10
	// minPeakRuns is the number of runs from which the share of a window counts as a peak,
	// and below which the old versions have too few runs to be compared with.
	minPeakRuns = 20
	// excludedDivisor is the part of the instances of the target that is excluded.
	excludedDivisor = 4
)

// badRatio and goodRatio are the log likelihood ratios from which a version counts as bad
// and as good: a good one is taken for a bad one once in 100,000 tests, a bad one may take
// a step once in 100.
var (
	badRatio  = math.Log(1e5)
	goodRatio = math.Log(0.01)
)

// route is what is known of a route since the order.
type route struct {
	name string
	// slow is the first bucket of slow runs, timeBuckets if none is known.
	slow int
	// share is the share of bad runs of the old versions since the order.
	share float64
}

// cell holds the runs of one route, or of all, in one window.
type cell struct {
	route    string
	baseline Counts
	targets  []Counts // By instance.
	// usual is the share of bad runs of the old versions that is expected without any run.
	usual float64
	// peak replaces usual while the old versions have few runs.
	peak float64
}

func (c *Counts) add(other Counts) {
	c.Runs += other.Runs
	c.Bad += other.Bad
}

// share returns the share of bad runs, drawn toward an expected one if there are few.
func (c Counts) share(expected float64) float64 {
	return (float64(c.Bad) + priorRuns*expected) / (float64(c.Runs) + priorRuns)
}

// counts returns the runs of an instance on the route between two states.
func (r *route) counts(from, to totals) Counts {
	ended := to.minus(from, r.name)
	return Counts{Runs: ended.Runs, Bad: ended.Failed + ended.Times.atLeast(r.slow)}
}

// routes returns the routes with what the old versions show since the order. The last one
// is AllRoutes.
func (c *Comparer) routes() []route {
	sums := map[string]*RouteCounts{}
	for _, i := range c.instances {
		for name, counts := range i.latest() {
			if sums[name] == nil {
				sums[name] = &RouteCounts{}
			}
			if i.version != c.config.Target {
				sums[name].add(&counts)
			}
		}
	}
	all, routes := Counts{}, []route{}
	counts := map[string]Counts{}
	for name, sum := range sums {
		r := route{name: name, slow: slowBucket(&sum.Times)}
		counts[name] = Counts{Runs: sum.Runs, Bad: sum.Failed + sum.Times.atLeast(r.slow)}
		all.add(counts[name])
		routes = append(routes, r)
	}
	overall := all.share(minBadShare)
	for n := range routes {
		routes[n].share = counts[routes[n].name].share(overall)
	}
	slices.SortFunc(routes, func(a, b route) int { return cmp.Compare(a.name, b.name) })
	return append(routes, route{name: AllRoutes, share: overall})
}

// slowBucket returns the first bucket of runs that count as slow.
func slowBucket(times *Histogram) int {
	if times.total() < minMedianRuns {
		return timeBuckets
	}
	bucket := math.Round(times.median() + 2*math.Log2(slowFactor))
	return min(max(minSlowBucket, int(bucket)), timeBuckets)
}

// cells returns the runs in a window, by route and for all routes together.
func (c *Comparer) cells(until timer.Millis, window Window, routes []route) []cell {
	return c.between(routes, func(i *instance) (from, to totals) {
		if window == SinceOrder {
			return totals{}, i.at(until)
		}
		return i.at(until - window), i.at(until)
	})
}

// stepCell returns the runs of all routes since the step began.
func (c *Comparer) stepCell(until timer.Millis, routes []route) cell {
	cells := c.between(routes, func(i *instance) (from, to totals) { return i.step, i.at(until) })
	return cells[len(cells)-1]
}

// between returns the runs between two states of each instance.
func (c *Comparer) between(routes []route, states func(*instance) (from, to totals)) []cell {
	cells := make([]cell, len(routes))
	for n, r := range routes {
		cells[n] = cell{route: r.name, usual: r.share, peak: max(r.share, c.peaks[r.name])}
	}
	all := &cells[len(cells)-1]
	for _, i := range c.instances {
		from, to := states(i)
		sum := Counts{}
		for n := range routes[:len(routes)-1] {
			counts := routes[n].counts(from, to)
			sum.add(counts)
			cells[n].add(counts, i.version == c.config.Target)
		}
		all.add(sum, i.version == c.config.Target)
	}
	return cells
}

func (c *cell) add(counts Counts, target bool) {
	if target {
		c.targets = append(c.targets, counts)
		return
	}
	c.baseline.add(counts)
}

// target returns the runs of all instances of the target.
func (c *cell) target() Counts {
	sum := Counts{}
	for _, counts := range c.targets {
		sum.add(counts)
	}
	return sum
}

// notePeaks keeps the highest shares of bad runs of the old versions. While all requests go
// to the target, there is nothing else to compare a disturbance with.
func (c *Comparer) notePeaks(window Window, cells []cell) {
	if window != windows[1] {
		return
	}
	for _, cell := range cells {
		if cell.baseline.Runs >= minPeakRuns {
			c.peaks[cell.route] = max(c.peaks[cell.route], cell.baseline.share(cell.usual))
		}
	}
}

// result is the outcome of a test.
type result struct {
	ratio  float64
	target Counts
}

// test returns the log likelihood ratio of a bad version to a good one. A quarter of the
// instances that report is excluded, those with the most evidence against the version: a
// faulty instance does not make a bad version.
func (c *cell) test(reporting int) result {
	expected := c.usual
	if c.baseline.Runs < minPeakRuns {
		expected = c.peak
	}
	good := min(max(minBadShare, c.baseline.share(expected))+noiseMargin, maxBadShare)
	bad := good + badMargin
	forBad, forGood := math.Log(bad/good), math.Log((1-bad)/(1-good))
	ratio := func(counts Counts) float64 {
		return float64(counts.Bad)*forBad + float64(counts.Runs-counts.Bad)*forGood
	}
	slices.SortFunc(c.targets, func(a, b Counts) int { return cmp.Compare(ratio(b), ratio(a)) })
	sum := Counts{}
	for n, counts := range c.targets {
		if n >= reporting/excludedDivisor || ratio(counts) <= 0 {
			sum.add(counts)
		}
	}
	return result{ratio: ratio(sum), target: sum}
}
