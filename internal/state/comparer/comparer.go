// Package comparer decides whether a new version of a service is worse than the old one,
// from the answers of both in the same time.
//
// # Usage
//
// Admission of each instance counts its ended runs and reports them when asked:
//
//	collector := comparer.NewCollector()
//	collector.Record(route, comparer.Run{Failed: failed, Duration: duration, SlowdownPercent: percent, Cold: cold})
//	report.Routes = collector.Routes()
//	encoded, err := report.Encode()
//
// The deciding daemon compares the reports of all instances:
//
//	c := comparer.New(comparer.Config{Service: service, Target: version})
//	c.Observe(now, report)
//	if verdict := c.Verdict(now); verdict.Bad {
//		...
//	}
//
// # Method
//
// A run is bad if it failed or took over three times the median of the old versions on its
// route. The runs of the target are compared with two hypotheses by a sequential
// probability ratio test (A. Wald, "Sequential Tests of Statistical Hypotheses", 1945): the
// share of bad runs is that of the old versions on the same route in the same time, or it
// is higher by badMargin. The test is repeated over windows of several lengths (a scan, as
// in E. S. Page, "Continuous Inspection Schemes", 1954), so that a version that turns bad
// later is detected in spite of its good runs before.
//
// Counts are cumulative, so lost and repeated reports do no harm. Old and new versions are
// compared up to the same time, since a disturbance that hits both would otherwise be
// visible in the reports of one of them first.
//
// A Comparer and a Collector are not safe for concurrent use.
package comparer

import (
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Window is the length of the time that is compared.
type Window = timer.Millis

// SinceOrder is the window of all runs since the order.
const SinceOrder Window = 0

// windows are the compared times. The short ones detect a version that turns bad later,
// the long ones a small difference or one in little traffic.
var windows = [...]Window{SinceOrder, 2 * timer.Second, 4 * timer.Second, 8 * timer.Second}

const (
	// maxInstances bounds the instances; a deciding daemon asks at most 48 at once.
	maxInstances = 256
	// FreshFor is the time after which an instance without a new report is no longer
	// taken into account, three intervals of reports.
	FreshFor = 1500 * timer.Millis(1)
	// sampleRetention is the longest window and the time for which a report may be missing.
	sampleRetention = 8*timer.Second + FreshFor
	// minSampleInterval bounds the samples of an instance that reports more often than
	// asked.
	minSampleInterval = 200 * timer.Millis(1)
	// reportSpread is the time between the first and the last answer to one question, half
	// of the interval of questions.
	reportSpread = 250 * timer.Millis(1)
)

// Config names the versions to compare.
type Config struct {
	Service identifier.ServiceName
	// Target is the new version; all others are compared with it.
	Target identifier.ServiceVersion
}

// Comparer holds the reports of the instances of one service since one order.
type Comparer struct {
	config    Config
	instances map[identifier.InstanceID]*instance
	// peaks is the highest share of bad runs of the old versions by route, in any window of
	// 2 s with enough runs.
	peaks map[string]float64
	// uncompared says that the old versions get too few requests to be compared with.
	uncompared bool
}

// New returns a Comparer without reports.
func New(config Config) *Comparer {
	return &Comparer{config: config, instances: map[identifier.InstanceID]*instance{}, peaks: map[string]float64{}}
}

// Observe takes in a report. Reports of another service or order, invalid ones and those
// that are not newer than an earlier one are ignored.
func (c *Comparer) Observe(now timer.Millis, r Report) {
	if r.Service != c.config.Service || r.Target != c.config.Target || r.Check() != nil {
		return
	}
	i, known := c.instances[r.Node]
	switch {
	case known && (r.Incarnation < i.incarnation || r.Incarnation == i.incarnation && r.Sequence <= i.sequence):
		return
	case !known && len(c.instances) >= maxInstances && !c.evict(now):
		return
	case !known || i.version != r.Version:
		i = &instance{}
		c.instances[r.Node] = i
	}
	i.observe(now, &r)
}

// evict removes an instance that no longer reports.
func (c *Comparer) evict(now timer.Millis) bool {
	for node, i := range c.instances {
		if now-i.lastAt() > FreshFor {
			delete(c.instances, node)
			return true
		}
	}
	return false
}

// BeginStep starts the collection of evidence for the next step.
func (c *Comparer) BeginStep() {
	for _, i := range c.instances {
		i.step = i.latest()
	}
}

// Verdict compares the versions.
func (c *Comparer) Verdict(now timer.Millis) Verdict {
	until := c.comparedUntil(now)
	routes := c.routes()
	c.noteTraffic(until, routes)
	verdict := Verdict{}
	first := true
	for _, window := range windows {
		cells := c.cells(until, window, routes)
		c.notePeaks(window, cells)
		for _, cell := range cells {
			if cell.target().Runs == 0 {
				continue
			}
			result := cell.test()
			if first || result.ratio > verdict.Ratio {
				verdict.Ratio, verdict.Route, verdict.Window = result.ratio, cell.route, window
				verdict.Target, verdict.Baseline, first = result.target, cell.baseline, false
			}
		}
	}
	verdict.Bad = verdict.Ratio >= badRatio
	step := c.stepCell(until, routes)
	result := step.test()
	verdict.StepRatio, verdict.StepRuns = result.ratio, result.target.Runs
	verdict.Good = !verdict.Bad && result.ratio <= goodRatio
	return verdict
}

// comparedUntil returns the time up to which runs are compared: when at least half of the
// old instances that report had done so.
func (c *Comparer) comparedUntil(now timer.Millis) timer.Millis {
	times := []timer.Millis{}
	for _, i := range c.instances {
		if i.version != c.config.Target && now-i.lastAt() <= FreshFor {
			times = append(times, i.lastAt())
		}
	}
	if len(times) == 0 {
		return now
	}
	slices.Sort(times)
	return min(now, times[len(times)/2]+reportSpread)
}
