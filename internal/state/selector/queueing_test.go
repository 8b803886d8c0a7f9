package selector_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/state/selector"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// server is an instance with 4 slots and a first-come queue.
type server struct {
	free    [4]timer.Millis // Times at which the slots are free.
	mean    float64
	ends    []timer.Millis // Ends of requests in flight and queued.
	latency time.Duration
}

func (s *server) accept(now timer.Millis, rng *rand.Rand) (end timer.Millis) {
	slot := slices.Index(s.free[:], slices.Min(s.free[:]))
	end = max(now, s.free[slot]) + 1 + timer.Millis(rng.ExpFloat64()*s.mean)
	s.free[slot] = end
	s.ends = append(s.ends, end)
	s.latency += ((end - now).Duration() - s.latency) / 8
	return end
}

// queueing lets 10 senders offer 4 servers, of which i0 is 5 times as slow as
// the others, two thirds of their capacity for a minute. It returns the share
// of i0 and the 99th percentile of latency.
func queueing(create func(*rand.Rand) selector.Policy) (share float64, p99 timer.Millis) {
	rng := rand.New(rand.NewPCG(7, 7))
	list := members(4, 4)
	servers := map[identifier.InstanceID]*server{"i0": {mean: 50}, "i1": {mean: 10}, "i2": {mean: 10}, "i3": {mean: 10}}
	type attempt struct {
		sender selector.Policy
		ended  selector.AttemptEnded
	}
	var senders []selector.Policy
	for range 10 {
		senders = append(senders, create(rand.New(rand.NewPCG(7, uint64(len(senders))))))
		senders[len(senders)-1].Step(0, selector.InstancesChanged{Instances: list})
	}
	ending := map[timer.Millis][]attempt{}
	var latencies []timer.Millis
	slowest := 0
	for now := timer.Millis(0); now < timer.Minute; now++ {
		for _, a := range ending[now] {
			a.sender.Step(now, a.ended)
		}
		delete(ending, now)
		for _, s := range servers {
			s.ends = slices.DeleteFunc(s.ends, func(end timer.Millis) bool { return end <= now })
		}
		for _, p := range senders {
			prober, probes := p.(*selector.PowerOfChoices)
			if !probes {
				continue
			}
			for _, id := range prober.ProbeTargets(now) {
				s := servers[id]
				p.Step(now, selector.LoadReported{Instance: id, Load: selector.Load{
					InFlight: int32(len(s.ends)), MeanLatency: s.latency, ReceivedAt: now,
				}})
			}
		}
		if rng.Float64() > 0.8 {
			continue
		}
		p := senders[rng.IntN(len(senders))]
		id, _ := p.Pick(now, selector.Exclusions{})
		p.Step(now, selector.AttemptSent{Instance: id})
		end := servers[id].accept(now, rng)
		ending[end] = append(ending[end], attempt{p, selector.AttemptEnded{Instance: id, Latency: (end - now).Duration()}})
		latencies = append(latencies, end-now)
		if id == "i0" {
			slowest++
		}
	}
	slices.Sort(latencies)
	return float64(slowest) / float64(len(latencies)), latencies[len(latencies)*99/100]
}

// silent hides the probes of a policy.
type silent struct{ selector.Policy }

var _ = Describe("queueing", func() {
	random := func(rng *rand.Rand) selector.Policy { return selector.NewRandom(rng) }
	best := func(rng *rand.Rand) selector.Policy { return selector.NewPowerOfChoices(selector.Config{}, rng) }
	blind := func(rng *rand.Rand) selector.Policy { return silent{best(rng)} }
	It("guards against a slow instance that gets its fair share, with and without probes", func() {
		share, baseline := queueing(random)
		Expect(share).To(BeNumerically("~", 0.25, 0.02))
		for _, create := range []func(*rand.Rand) selector.Policy{best, blind} {
			share, p99 := queueing(create)
			AddReportEntry(fmt.Sprintf("share %.3f, p99 %d ms, random %d ms", share, p99, baseline))
			Expect(share).To(BeNumerically("<", 0.05))
			Expect(p99).To(BeNumerically("<", 100))
		}
	})
	It("guards against daemons that all pick the instance of the same report", func() {
		_, few := queueing(best)
		_, many := queueing(func(rng *rand.Rand) selector.Policy {
			return selector.NewPowerOfChoices(selector.Config{Reuses: 1 << 30}, rng)
		})
		Expect(few).To(BeNumerically("<", many))
	})
})

func BenchmarkPick(b *testing.B) {
	for _, c := range []struct {
		name string
		n    int
	}{{"4", 4}, {"32", 32}, {"1200", 1200}} {
		for _, fresh := range []bool{true, false} {
			name := c.name + "/two choices"
			if fresh {
				name = c.name + "/pool"
			}
			b.Run(name, func(b *testing.B) { benchmarkPick(b, c.n, fresh) })
		}
	}
}

func benchmarkPick(b *testing.B, n int, fresh bool) {
	f := selector.NewFilter(selector.NewPowerOfChoices(selector.Config{Reuses: 1 << 40, Domain: "d0"}, newRand()))
	list := members(n, max(1, n/4))
	f.Step(0, selector.InstancesChanged{Instances: list})
	for i, instance := range list {
		if fresh {
			f.Step(0, selector.LoadReported{Instance: instance.ID, Load: load(int32(i%7), time.Duration(i%5)*fast)})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		f.Pick(0, selector.Exclusions{})
	}
}

func BenchmarkAttempt(b *testing.B) {
	f := selector.NewFilter(selector.NewPowerOfChoices(selector.Config{}, newRand()))
	f.Step(0, selector.InstancesChanged{Instances: members(4, 1)})
	b.ReportAllocs()
	for b.Loop() {
		picked, _ := f.Pick(0, selector.Exclusions{})
		f.Step(0, selector.AttemptSent{Instance: picked})
		f.Step(0, selector.AttemptEnded{Instance: picked, Latency: fast})
	}
}
