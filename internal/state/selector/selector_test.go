package selector_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/selector"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestSelector(t *testing.T) { tester.RunSpecs(t, "selector") }

type instanceMap[V any] = map[identifier.InstanceID]V

func newRand() *rand.Rand { return rand.New(rand.NewPCG(20261204, 1)) }

// members returns instances i0, i1, ... in n/perDomain failure domains d0, d1, ...
func members(n, perDomain int) (list []selector.Instance) {
	for i := range n {
		list = append(list, selector.Instance{
			ID:     identifier.InstanceID(fmt.Sprintf("i%d", i)),
			Domain: identifier.FailureDomain(fmt.Sprintf("d%d", i/perDomain)),
			Slots:  20,
		})
	}
	return list
}

// newReported returns a policy whose instances reported the given loads at time 0.
func newReported(config selector.Config, loads ...selector.Load) *selector.PowerOfChoices {
	p := selector.NewPowerOfChoices(config, newRand())
	list := members(len(loads), 1)
	p.Step(0, selector.InstancesChanged{Instances: list})
	for i, load := range loads {
		p.Step(0, selector.LoadReported{Instance: list[i].ID, Load: load})
	}
	return p
}

// count picks n times without sending and counts the picks of each instance.
func count(p selector.Policy, now timer.Millis, n int, tried ...identifier.InstanceID) instanceMap[int] {
	counts := instanceMap[int]{}
	for range n {
		if picked, found := p.Pick(now, selector.Exclusions{Tried: tried}); found {
			counts[picked]++
		}
	}
	return counts
}

func load(inFlight int32, latency time.Duration) selector.Load {
	return selector.Load{InFlight: inFlight, Limit: 20, MeanLatency: latency}
}

const slow, fast = 40 * time.Millisecond, 10 * time.Millisecond

var (
	cold     = selector.Load{Limit: 2, Cold: true, MeanLatency: fast}
	full     = selector.Load{InFlight: 20, Limit: 20, MeanLatency: fast}
	reusable = selector.Config{Choices: 4, MaxUses: 1 << 30, WarmUpEvery: -1, Domain: "d0"}
)

var _ = Describe("power of choices", func() {
	cases := []struct {
		guards string
		loads  []selector.Load
		want   identifier.InstanceID
	}{
		{"a hot instance preferred for its latency", []selector.Load{load(3, slow), load(9, fast), load(3, slow)}, "i0"},
		{"a slow instance preferred for its few requests", []selector.Load{load(2, fast), load(0, slow), load(3, slow)}, "i0"},
		{"a local instance that is not preferred while it is not hot", []selector.Load{load(2, fast+1), load(2, fast)}, "i0"},
		{"a local instance preferred while it is hot", []selector.Load{load(9, fast), load(2, fast)}, "i1"},
		{"a local instance preferred while it is slow", []selector.Load{load(2, slow), load(2, fast)}, "i1"},
		{"a cold instance picked while another exists", []selector.Load{cold, load(19, slow)}, "i1"},
		{"a full instance picked while another exists", []selector.Load{full, load(19, slow)}, "i1"},
		{"a cold instance preferred to one at its limit", []selector.Load{cold, full}, "i1"},
	}
	for _, c := range cases {
		It("guards against "+c.guards, func() {
			Expect(count(newReported(reusable, c.loads...), 0, 50)).To(Equal(instanceMap[int]{c.want: 50}))
		})
	}
	It("guards against ignoring own attempts since the latest report", func() {
		p := newReported(reusable, load(5, fast), load(5, fast))
		for range 3 {
			p.Step(0, selector.AttemptSent{Instance: "i0"})
		}
		Expect(count(p, 0, 20)).To(Equal(instanceMap[int]{"i1": 20}))
		for range 3 {
			p.Step(0, selector.AttemptEnded{Instance: "i0", Result: selector.NotRun})
		}
		Expect(count(p, 0, 20)).To(Equal(instanceMap[int]{"i0": 20}))
	})
	It("guards against an old report that replaces a newer one", func() {
		p := newReported(reusable, load(2, fast), load(5, fast))
		p.Step(500, selector.LoadReported{Instance: "i0", Load: selector.Load{InFlight: 9, ReceivedAt: 500}})
		p.Step(500, selector.LoadReported{Instance: "i0", Load: selector.Load{InFlight: 1, ReceivedAt: 400}})
		Expect(count(p, 500, 20)).To(Equal(instanceMap[int]{"i1": 20}))
	})
	It("guards against results that are used after expiry or too often", func() {
		config := reusable
		config.Domain = ""
		expired := newReported(config, load(5, fast), load(2, fast))
		config.MaxUses = 4
		p := newReported(config, load(5, fast), load(2, fast))
		Expect(count(p, 999, 4)).To(Equal(instanceMap[int]{"i1": 4}))
		Expect(count(p, 999, 100)).To(HaveLen(2))
		Expect(count(expired, 999, 100)).To(HaveLen(1))
		Expect(count(expired, 1000, 100)).To(HaveLen(2))
	})
	It("guards against a fallback that ignores own attempts", func() {
		p := newReported(reusable, load(0, fast), load(0, fast), load(0, fast), load(0, fast))
		p.Step(5000, selector.AttemptSent{Instance: "i2"})
		Expect(count(p, 5000, 400)["i2"]).To(BeNumerically("<", 50))
	})
	It("guards against a cold instance that never warms up, or gets more than one attempt", func() {
		config := reusable
		config.WarmUpEvery = 16
		p := newReported(config, load(5, fast), cold)
		Expect(count(p, 0, 160)["i1"]).To(Equal(10))
		p.Step(0, selector.AttemptSent{Instance: "i1"})
		Expect(count(p, 0, 160)["i1"]).To(BeZero())
	})
})

var _ = Describe("probing", func() {
	probes := func(n int, pick bool) instanceMap[int] {
		p := selector.NewPowerOfChoices(selector.Config{Domain: "d3"}, newRand())
		p.Step(0, selector.InstancesChanged{Instances: members(n, 20)})
		count(p, 0, 1)
		counts := instanceMap[int]{}
		for now := timer.Millis(0); now < 8*timer.Second; now += 7 {
			if pick {
				count(p, now, 100)
			}
			for _, target := range p.ProbeTargets(now) {
				counts[target]++
			}
		}
		return counts
	}
	It("guards against probes that grow with requests or instances, or omit an instance of a small service", func() {
		busy := probes(1200, true)
		Expect(probes(1200, false)).To(HaveLen(32))
		Expect(probes(4, true)).To(HaveLen(4))
		Expect(busy).To(HaveLen(32))
		local := 0
		for _, i := range members(1200, 20)[60:80] {
			local += min(busy[i.ID], 1)
		}
		Expect(local).To(BeNumerically("~", 16, 1))
		for _, n := range busy {
			Expect(n).To(Equal(5)) // 20 a second for 8 s over 32 targets.
		}
	})
	It("guards against probing an idle service, and a burst after a pause", func() {
		p := newReported(selector.Config{}, cold, cold, cold, cold, cold, cold)
		Expect(p.ProbeTargets(0)).To(BeEmpty())
		count(p, 0, 1)
		Expect(p.ProbeTargets(10 * timer.Second)).To(HaveLen(1))
		Expect(p.ProbeTargets(11 * timer.Second)).To(BeEmpty())
	})
})

var _ = Describe("filter", func() {
	It("guards against trials of ejected instances that never happen, are too frequent or coincide", func() {
		f := selector.NewFilter(selector.NewRandom(newRand()))
		f.Step(0, selector.InstancesChanged{Instances: members(5, 1)})
		f.Step(0, selector.InstanceEjected{Instance: "i1"})
		f.Step(0, selector.InstanceEjected{Instance: "i2"})
		var trials []timer.Millis
		for now := timer.Millis(0); now < 120*timer.Second; now += 100 {
			Expect(count(f, now, 3, "i0")["i2"]).To(BeZero())
			picks := count(f, now, 5)
			for range picks["i1"] + picks["i2"] {
				trials = append(trials, now/100)
			}
		}
		Expect(trials).To(Equal([]timer.Millis{5, 6, 15, 16, 35, 36, 75, 76, 155, 156, 315, 316, 615, 616, 915, 916}))
		f.Step(0, selector.AttemptEnded{Instance: "i2", Result: selector.Complete})
		Expect(count(f, 120*timer.Second, 100)["i2"]).To(BeNumerically(">", 10))
	})
})

func drawLoad(t *rapid.T, now timer.Millis) selector.Load {
	return selector.Load{
		InFlight:    rapid.Int32Range(0, 6).Draw(t, "in flight"),
		Queued:      rapid.Int32Range(0, 1).Draw(t, "queued"),
		Limit:       rapid.Int32Range(0, 6).Draw(t, "limit"),
		Cold:        rapid.IntRange(0, 3).Draw(t, "cold") == 0,
		MeanLatency: time.Duration(rapid.IntRange(0, 4).Draw(t, "latency")) * time.Millisecond,
		ReceivedAt:  now + rapid.SampledFrom([]timer.Millis{0, -30, -2000, 50}).Draw(t, "offset"),
	}
}

// Guards against picks of tried, removed or newly ejected instances, and
// against "none" while an untried instance exists, for lost, repeated and
// reordered events and clock jumps.
func TestPickHonoursExclusions(t *testing.T) {
	for _, c := range []struct {
		name   string
		create func(*rand.Rand) selector.Policy
	}{
		{"power of choices", func(rng *rand.Rand) selector.Policy {
			return selector.NewPowerOfChoices(selector.Config{Domain: "d0"}, rng)
		}},
		{"random", func(rng *rand.Rand) selector.Policy { return selector.NewRandom(rng) }},
		{"round robin", func(rng *rand.Rand) selector.Policy { return selector.NewRoundRobin(rng) }},
		{"least reported", func(rng *rand.Rand) selector.Policy { return selector.NewLeastReported(rng) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			tester.Check(t, func(t *rapid.T) { checkExclusions(t, selector.NewFilter(c.create(newRand()))) })
		})
	}
}

// ejectionState says whether and when an instance was ejected.
type ejectionState struct {
	ejected bool
	at      timer.Millis
}

func checkExclusions(t *rapid.T, f *selector.Filter) {
	all, known := members(40, 10), instanceMap[ejectionState]{}
	var now, elapsed timer.Millis
	for range rapid.IntRange(1, 80).Draw(t, "steps") {
		span := rapid.SampledFrom([]timer.Millis{0, 1, 60, 700, 9000, -100}).Draw(t, "span")
		now, elapsed = now+span, elapsed+max(span, 0)
		id := all[rapid.IntRange(0, rapid.SampledFrom([]int{4, 39}).Draw(t, "bound")).Draw(t, "instance")].ID
		old, member := known[id]
		switch rapid.IntRange(0, 6).Draw(t, "event") {
		case 0:
			first := rapid.IntRange(0, 3).Draw(t, "first")
			current := all[first:rapid.IntRange(first, 40).Draw(t, "end")]
			f.Step(now, selector.InstancesChanged{Instances: current})
			before := known
			known = instanceMap[ejectionState]{}
			for _, i := range current {
				known[i.ID] = before[i.ID]
			}
		case 1:
			f.Step(now, selector.LoadReported{Instance: id, Load: drawLoad(t, now)})
		case 2:
			f.Step(now, selector.AttemptSent{Instance: id})
		case 3:
			f.Step(now, selector.AttemptEnded{Instance: id, Result: selector.NotRun})
		case 4:
			f.Step(now, selector.InstanceEjected{Instance: id})
			if member && !old.ejected {
				known[id] = ejectionState{true, elapsed}
			}
		case 5:
			f.Step(now, selector.InstanceUsable{Instance: id})
			if member {
				known[id] = ejectionState{}
			}
		}
		checkPicks(t, f, now, elapsed, maps.Clone(known))
	}
}

// checkPicks picks instances for the successive attempts of one request.
func checkPicks(t *rapid.T, f *selector.Filter, now, elapsed timer.Millis, untried instanceMap[ejectionState]) {
	var tried []identifier.InstanceID
	for range rapid.SampledFrom([]int{1, 3, 41}).Draw(t, "attempts") {
		picked, found := f.Pick(now, selector.Exclusions{Tried: tried})
		s, allowed := untried[picked]
		usable := false
		for _, other := range untried {
			usable = usable || !other.ejected
		}
		if found != (len(untried) > 0) || found && !allowed || s.ejected && usable && (len(tried) > 0 || elapsed-s.at < 500) {
			t.Fatalf("picked %q (found %v) at %d ms with %v tried and %v untried", picked, found, elapsed, tried, untried)
		}
		delete(untried, picked)
		tried = append(tried, picked)
	}
}

// Guards against a ranking other than the hot/cold rule: the lowest latency among
// the instances at or below the 0.84 quantile of requests in flight.
func TestHotColdRule(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		loads := make([]selector.Load, rapid.IntRange(1, 32).Draw(t, "instances"))
		for i := range loads {
			loads[i] = drawLoad(t, 0)
		}
		picked, _ := newReported(selector.Config{Choices: 32, WarmUpEvery: -1}, loads...).Pick(50, selector.Exclusions{})

		inFlight := func(l selector.Load) int32 { return l.InFlight + l.Queued }
		fresh := slices.DeleteFunc(slices.Clone(loads), func(l selector.Load) bool { return l.ReceivedAt <= -950 })
		if 2*len(fresh) < len(loads) {
			return
		}
		slices.SortFunc(fresh, func(a, b selector.Load) int { return cmp.Compare(inFlight(a), inFlight(b)) })
		threshold := inFlight(fresh[(len(fresh)-1)*84/100])
		key := func(l selector.Load) []int64 {
			if inFlight(l) > threshold {
				return []int64{1, int64(inFlight(l)), 0}
			}
			return []int64{0, int64(l.MeanLatency), int64(inFlight(l))}
		}
		good := slices.DeleteFunc(fresh, func(l selector.Load) bool { return l.Cold || l.Limit > 0 && inFlight(l) >= l.Limit })
		if len(good) == 0 {
			return
		}
		best := slices.MinFunc(good, func(a, b selector.Load) int { return slices.Compare(key(a), key(b)) })
		got := loads[slices.IndexFunc(members(32, 1), func(i selector.Instance) bool { return i.ID == picked })]
		if !slices.Contains(good, got) || slices.Compare(key(got), key(best)) != 0 {
			t.Fatalf("picked %+v, best is %+v, threshold %d", got, best, threshold)
		}
	})
}
