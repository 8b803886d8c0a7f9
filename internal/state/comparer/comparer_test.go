package comparer_test

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/comparer"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func report(node string, version identifier.ServiceVersion, sequence, runs, failed uint64) comparer.Report {
	counts := comparer.RouteCounts{Route: "cart", Runs: runs, Failed: failed}
	counts.Times[8] = uint32(runs - failed)
	return comparer.Report{
		Node: identifier.InstanceID(node), Incarnation: 1, Sequence: sequence, Service: "shop", Version: version,
		Target: "v2", Phase: "running", Slots: 8, Routes: []comparer.RouteCounts{counts},
	}
}

// Guards against invalid reports from the network that are taken in.
func TestCheck(t *testing.T) {
	cases := []struct {
		name   string
		change func(*comparer.Report)
		valid  bool
	}{
		{"a report", func(*comparer.Report) {}, true},
		{"no node", func(r *comparer.Report) { r.Node = "" }, false},
		{"long version", func(r *comparer.Report) { r.Version = identifier.ServiceVersion(strings.Repeat("v", 129)) }, false},
		{"unknown phase", func(r *comparer.Report) { r.Phase = "canary" }, false},
		{"negative slots", func(r *comparer.Report) { r.Slots = -1 }, false},
		{"negative running", func(r *comparer.Report) { r.Running = -1 }, false},
		{"negative idle time", func(r *comparer.Report) { r.IdleForMs = -1 }, false},
		{"more failed than run", func(r *comparer.Report) { r.Routes[0].Failed = 101 }, false},
		{"more good than run", func(r *comparer.Report) { r.Routes[0].Times[3] = 1 }, false},
		{"counts that overflow", func(r *comparer.Report) { r.Routes[0].Runs, r.Routes[0].Failed = 5, math.MaxUint64 }, false},
		{"too many routes", func(r *comparer.Report) { r.Routes = make([]comparer.RouteCounts, 10) }, false},
		{"a route twice", func(r *comparer.Report) { r.Routes = append(r.Routes, r.Routes[0]) }, false},
		{"a long route", func(r *comparer.Report) { r.Routes[0].Route = strings.Repeat("r", 129) }, false},
	}
	for _, c := range cases {
		r := report("a", "v1", 1, 100, 0)
		if c.change(&r); (r.Check() == nil) != c.valid {
			t.Errorf("%s: %v", c.name, r.Check())
		}
	}
}

// Guards against a report that does not fit a datagram, that differs after decoding, or
// that loses runs when its routes are put together.
func TestEncode(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		c := comparer.NewCollector()
		routes := rapid.IntRange(1, 30).Draw(t, "routes")
		for range rapid.IntRange(0, 400).Draw(t, "runs") {
			n := rapid.IntRange(0, routes-1).Draw(t, "route")
			c.Record(fmt.Sprintf("shop.example/%d/%s", n, strings.Repeat("x", 4*n)), comparer.Run{
				Failed: rapid.Bool().Draw(t, "failed"), Cold: rapid.Bool().Draw(t, "cold"),
				Duration: timer.Millis(rapid.Int64Range(-1, 1<<20).Draw(t, "duration")), SlowdownPercent: rapid.Int32Range(-1, 800).Draw(t, "slowdown"),
			})
		}
		r := report("instance-0017", "v2", math.MaxUint64, 0, 0)
		r.Incarnation, r.Routes = math.MaxUint64, c.Routes()
		encoded, err := r.Encode()
		if err != nil || len(encoded) > comparer.MaxEncoded {
			t.Fatalf("%d bytes, %v", len(encoded), err)
		}
		var decoded comparer.Report
		if err := json.Unmarshal(encoded, &decoded); err != nil || decoded.Check() != nil {
			t.Fatalf("%v, %v", err, decoded.Check())
		}
		if before, after := runs(r), runs(decoded); before != after {
			t.Fatalf("%d of %d runs", after, before)
		}
		if again, err := decoded.Encode(); err != nil || string(again) != string(encoded) {
			t.Fatalf("%s encoded again as %s", encoded, again)
		}
	})
}

func runs(r comparer.Report) uint64 {
	sum := uint64(0)
	for _, counts := range r.Routes {
		sum += counts.Runs
	}
	return sum
}

// Guards against a histogram from the network that crashes the decoder.
func TestHistogram(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		var h comparer.Histogram
		if text := rapid.SliceOfN(rapid.SampledFrom([]byte("AB/+z09!")), 0, 60).Draw(t, "text"); h.UnmarshalText(text) == nil {
			again, err := h.MarshalText()
			var other comparer.Histogram
			if err != nil || other.UnmarshalText(again) != nil || other != h {
				t.Fatalf("%v decoded as %v", h, other)
			}
		}
	})
}

// Guards against rarely used routes that are counted by name in place of the most used, and
// against counts that decrease, which would look like a restart.
func TestCollector(t *testing.T) {
	c := comparer.NewCollector()
	for n := range 20 {
		c.Record(fmt.Sprint("rare", n), comparer.Run{})
	}
	last := map[string]uint64{}
	for n := range 2000 {
		c.Record(fmt.Sprint("used", n%8), comparer.Run{Duration: 10})
		for _, counts := range c.Routes() {
			if counts.Runs < last[counts.Route] {
				t.Fatalf("route %s has %d runs after %d", counts.Route, counts.Runs, last[counts.Route])
			}
			last[counts.Route] = counts.Runs
		}
	}
	if routes := c.Routes(); len(routes) != 9 || !strings.HasPrefix(routes[0].Route, "used") || routes[8].Runs > 100 {
		t.Errorf("%v", routes)
	}
}

// Guards against a verdict that depends on repeated, late or reordered reports.
func TestRepeatedReports(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		clean, noisy := comparer.New(comparer.Config{Service: "shop", Target: "v2"}), comparer.New(comparer.Config{Service: "shop", Target: "v2"})
		var sent []comparer.Report
		counts := map[string][2]uint64{}
		for n := range uint64(20) {
			now := timer.Millis(n) * 500
			for node, version := range map[string]identifier.ServiceVersion{"a": "v1", "b": "v1", "c": "v2", "d": "v2"} {
				total := counts[node]
				failed := uint64(rapid.IntRange(0, 5).Draw(t, "failed"))
				counts[node] = [2]uint64{total[0] + failed + uint64(rapid.IntRange(0, 20).Draw(t, "good")), total[1] + failed}
				r := report(node, version, n+1, counts[node][0], counts[node][1])
				clean.Observe(now, r)
				noisy.Observe(now, r)
				sent = append(sent, r)
				noisy.Observe(now, rapid.SampledFrom(sent).Draw(t, "late"))
			}
			if a, b := clean.Verdict(now), noisy.Verdict(now); !reflect.DeepEqual(a, b) {
				t.Fatalf("%+v and %+v", a, b)
			}
		}
	})
}

// Guards against verdicts from runs that prove nothing, and against a bad version that is
// hidden by them.
func TestVerdict(t *testing.T) {
	type counts [2]uint64 // Runs and failures of an instance by its second report.
	cases := []struct {
		name      string
		old       counts
		targets   []counts
		restarted bool
		bad, good bool
	}{
		{"no run", counts{100, 1}, []counts{{0, 0}}, false, false, false},
		{"few good runs", counts{100, 1}, []counts{{5, 0}}, false, false, false},
		{"many good runs", counts{100, 1}, []counts{{100, 1}}, false, false, true},
		{"40 % failures", counts{100, 1}, []counts{{50, 20}}, false, true, false},
		{"40 % failures of both versions", counts{100, 40}, []counts{{50, 20}}, false, false, false},
		{"one faulty of four instances", counts{300, 3}, []counts{{50, 25}, {50, 1}, {50, 0}, {50, 0}}, false, false, true},
		{"two faulty of four instances", counts{300, 3}, []counts{{50, 25}, {50, 25}, {50, 0}, {50, 0}}, false, true, false},
		{"failures before and after a restart", counts{100, 1}, []counts{{50, 20}}, true, true, false},
	}
	for _, c := range cases {
		v := comparer.New(comparer.Config{Service: "shop", Target: "v2"})
		v.Observe(0, report("old", "v1", 1, 0, 0))
		for n := range c.targets {
			v.Observe(0, report(fmt.Sprint("new", n), "v2", 1, 0, 0))
		}
		v.BeginStep()
		v.Observe(500, report("old", "v1", 2, c.old[0], c.old[1]))
		for n, target := range c.targets {
			r := report(fmt.Sprint("new", n), "v2", 2, target[0], target[1])
			if c.restarted { // Half of the runs are those of another incarnation.
				half := report(fmt.Sprint("new", n), "v2", 2, target[0]/2, target[1]/2)
				v.Observe(500, half)
				r = report(fmt.Sprint("new", n), "v2", 1, target[0]/2, target[1]/2)
				r.Incarnation++
			}
			v.Observe(500, r)
		}
		if got := v.Verdict(600); got.Bad != c.bad || got.Good != c.good {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}
