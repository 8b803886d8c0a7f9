package selector_test

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/selector"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

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
// reordered events and time that jumps.
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

func checkExclusions(t *rapid.T, f *selector.Filter) {
	all := members(40, 10)
	usable, ejected := instanceMap[bool]{}, instanceMap[timer.Millis]{}
	now, elapsed := timer.Millis(0), timer.Millis(0)
	for range rapid.IntRange(1, 80).Draw(t, "steps") {
		span := rapid.SampledFrom([]timer.Millis{0, 1, 60, 700, 9000, -100}).Draw(t, "span")
		now, elapsed = now+span, elapsed+max(span, 0)
		id := all[rapid.IntRange(0, rapid.SampledFrom([]int{4, 39}).Draw(t, "bound")).Draw(t, "instance")].ID
		switch rapid.IntRange(0, 6).Draw(t, "event") {
		case 0:
			first := rapid.IntRange(0, 3).Draw(t, "first")
			current := all[first:rapid.IntRange(first, 40).Draw(t, "end")]
			f.Step(now, selector.InstancesChanged{Instances: current})
			clear(usable)
			kept := instanceMap[timer.Millis]{}
			for _, i := range current {
				if at, out := ejected[i.ID]; out {
					kept[i.ID] = at
				} else {
					usable[i.ID] = true
				}
			}
			ejected = kept
		case 1:
			f.Step(now, selector.LoadReported{Instance: id, Load: drawLoad(t, now)})
		case 2:
			f.Step(now, selector.AttemptSent{Instance: id})
		case 3:
			f.Step(now, selector.AttemptEnded{Instance: id, Result: selector.NotRun})
		case 4:
			f.Step(now, selector.InstanceEjected{Instance: id})
			if usable[id] {
				delete(usable, id)
				ejected[id] = elapsed
			}
		case 5:
			f.Step(now, selector.InstanceUsable{Instance: id})
			if _, out := ejected[id]; out {
				delete(ejected, id)
				usable[id] = true
			}
		}
		checkPicks(t, f, now, elapsed, maps.Clone(usable), maps.Clone(ejected))
	}
}

// checkPicks sends one request to one instance after the other.
func checkPicks(t *rapid.T, f *selector.Filter, now, elapsed timer.Millis, usable instanceMap[bool], ejected instanceMap[timer.Millis]) {
	var tried []identifier.InstanceID
	for range rapid.SampledFrom([]int{1, 3, 41}).Draw(t, "attempts") {
		picked, found := f.Pick(now, selector.Exclusions{Tried: tried})
		at, out := ejected[picked]
		switch {
		case found != (len(usable)+len(ejected) > 0):
			t.Fatalf("found %v with %d usable and %d ejected instances", found, len(usable), len(ejected))
		case found && !out && !usable[picked]:
			t.Fatalf("%s picked with %v tried", picked, tried)
		case out && len(usable) > 0 && (len(tried) > 0 || elapsed-at < 500):
			t.Fatalf("%s picked %d ms after ejection", picked, elapsed-at)
		}
		delete(usable, picked)
		delete(ejected, picked)
		tried = append(tried, picked)
	}
}

// Guards against a ranking other than the hot/cold rule: not the lowest latency
// among those at or below the 0.84 quantile of requests in flight.
func TestHotColdRule(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		loads := make([]selector.Load, rapid.IntRange(1, 32).Draw(t, "instances"))
		for i := range loads {
			loads[i] = drawLoad(t, 0)
		}
		picked, _ := newLoaded(selector.Config{Choices: 32, WarmUpEvery: -1}, loads...).Pick(50, selector.Exclusions{})

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
