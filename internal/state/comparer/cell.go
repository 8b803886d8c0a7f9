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
	// trafficWindow covers at least one report of each instance. If the target had more than
	// maxTrafficRatio times the runs of the old versions in it, there is nothing to compare.
	trafficWindow   = 600 * timer.Millis(1)
	maxTrafficRatio = 4
	// uncomparedShare is the lowest share of bad runs that is assumed without comparison. A
	// called service that fails for a second would otherwise look like a bad version while
	// the old instances drain: 30 % of the runs failed in such tests.
	uncomparedShare = 0.25
	// excludedDivisor is the part of the instances of the target that is excluded.
	excludedDivisor = 4
)

// badRatio and goodRatio are the log likelihood ratios from which a version counts as bad
// and as good: a good one is taken for a bad one once in 100,000 tests, a bad one may take
// a step once in 100.
var (
	badRatio  = math.Log(1e5)
	goodRatio = math.Log(0.01)
	// faultyRatio is the log likelihood ratio from which an instance counts as worse than
	// the others of its version.
	faultyRatio = math.Log(3)
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
	// least is the lowest share that is assumed.
	least float64
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

// noteTraffic notes whether the old versions get requests.
func (c *Comparer) noteTraffic(until timer.Millis, routes []route) {
	cells := c.cells(until, trafficWindow, routes)
	all := cells[len(cells)-1]
	c.uncompared = all.target().Runs > maxTrafficRatio*all.baseline.Runs
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
		if c.uncompared {
			cells[n].least = max(uncomparedShare, cells[n].peak)
		}
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

// odds are the log likelihood ratios of a bad version to a good one for a bad run and for
// a good run.
type odds struct{ bad, good float64 }

// newOdds returns those for a share of bad runs of the good version.
func newOdds(share float64) odds {
	share = min(share+noiseMargin, maxBadShare)
	return odds{bad: math.Log((share + badMargin) / share), good: math.Log((1 - share - badMargin) / (1 - share))}
}

func (o odds) ratio(c Counts) float64 { return float64(c.Bad)*o.bad + float64(c.Runs-c.Bad)*o.good }

// test compares the target with the old versions.
func (c *cell) test() result {
	expected := c.usual
	if c.baseline.Runs < minPeakRuns {
		expected = c.peak
	}
	share := max(minBadShare, c.least, c.baseline.share(expected))
	target := c.withoutFaulty(share)
	return result{ratio: newOdds(share).ratio(target), target: target}
}

// withoutFaulty returns the runs of the target without up to a quarter of its instances:
// those with the most evidence against them, if they are worse than the others. A faulty
// instance does not make a bad version. Instances that are not worse than the others
// remain, since few runs of a bad version would look good without the worst of them.
func (c *cell) withoutFaulty(share float64) Counts {
	all := newOdds(share)
	slices.SortFunc(c.targets, func(a, b Counts) int { return cmp.Compare(all.ratio(b), all.ratio(a)) })
	rest := c.target()
	for _, counts := range c.targets[:len(c.targets)/excludedDivisor] {
		others := Counts{Runs: rest.Runs - counts.Runs, Bad: rest.Bad - counts.Bad}
		if newOdds(max(share, others.share(share))).ratio(counts) < faultyRatio {
			break
		}
		rest = others
	}
	return rest
}
