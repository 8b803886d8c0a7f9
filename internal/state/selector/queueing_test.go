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
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// server is an instance with 4 slots and a first-come, first-served queue.
type server struct {
	free [4]timer.Millis // Times at which the slots are free.
	mean float64
	load selector.Load
}

// attempt holds the sender and the server load to update when it ends.
type attempt struct {
	sender selector.Policy
	load   *selector.Load
	ended  selector.AttemptEnded
}

// simulateQueueing lets 10 senders send requests for two thirds of the capacity
// of 4 servers for one minute. Server i0 is 5 times as slow as the others. It
// returns the share of i0 and the 99th percentile of latency.
func simulateQueueing(create func(*rand.Rand) selector.Policy) (share float64, p99 timer.Millis) {
	rng, list := rand.New(rand.NewPCG(7, 7)), members(4, 4)
	servers := instanceMap[*server]{"i0": {mean: 50}, "i1": {mean: 10}, "i2": {mean: 10}, "i3": {mean: 10}}
	var senders []selector.Policy
	for i := range uint64(10) {
		senders = append(senders, create(rand.New(rand.NewPCG(7, i))))
		senders[i].Step(0, selector.InstancesChanged{Instances: list})
	}
	ending := map[timer.Millis][]attempt{}
	var latencies []timer.Millis
	slow := 0.0
	for now := timer.Millis(0); now < timer.Minute; now++ {
		for _, a := range ending[now] {
			a.sender.Step(now, a.ended)
			a.load.InFlight--
		}
		for _, sender := range senders {
			if p, probes := sender.(*selector.PowerOfChoices); probes {
				for _, id := range p.ProbeTargets(now) {
					servers[id].load.ReceivedAt = now
					p.Step(now, selector.LoadReported{Instance: id, Load: servers[id].load})
				}
			}
		}
		if rng.Float64() > 0.8 {
			continue
		}
		sender := senders[rng.IntN(len(senders))]
		id, _ := sender.Pick(now, selector.Exclusions{})
		sender.Step(now, selector.AttemptSent{Instance: id})
		s := servers[id]
		slot := slices.Index(s.free[:], slices.Min(s.free[:]))
		end := max(now, s.free[slot]) + 1 + timer.Millis(rng.ExpFloat64()*s.mean)
		s.free[slot] = end
		s.load.InFlight++
		s.load.MeanLatency += ((end - now).Duration() - s.load.MeanLatency) / 8
		ending[end] = append(ending[end], attempt{sender, &s.load, selector.AttemptEnded{Instance: id, Latency: (end - now).Duration()}})
		latencies = append(latencies, end-now)
		if id == "i0" {
			slow++
		}
	}
	slices.Sort(latencies)
	return slow / float64(len(latencies)), latencies[len(latencies)*99/100]
}

var _ = Describe("queueing", func() {
	random := func(rng *rand.Rand) selector.Policy { return selector.NewRandom(rng) }
	powerOfChoices := func(rng *rand.Rand) selector.Policy { return selector.NewPowerOfChoices(selector.Config{}, rng) }
	// The struct hides ProbeTargets.
	withoutProbes := func(rng *rand.Rand) selector.Policy { return struct{ selector.Policy }{powerOfChoices(rng)} }
	It("guards against a slow instance that gets as many requests as the others, with and without probes", func() {
		share, baseline := simulateQueueing(random)
		Expect(share).To(BeNumerically("~", 0.25, 0.02))
		for _, create := range []func(*rand.Rand) selector.Policy{powerOfChoices, withoutProbes} {
			share, p99 := simulateQueueing(create)
			AddReportEntry(fmt.Sprintf("share %.3f, p99 %d ms, random %d ms", share, p99, baseline))
			Expect(share).To(BeNumerically("<", 0.05))
			Expect(p99).To(BeNumerically("<", 100))
		}
	})
	It("guards against daemons that all pick the same instance by one report", func() {
		_, few := simulateQueueing(powerOfChoices)
		_, many := simulateQueueing(func(rng *rand.Rand) selector.Policy {
			return selector.NewPowerOfChoices(selector.Config{MaxUses: 1 << 30}, rng)
		})
		Expect(few).To(BeNumerically("<", many))
	})
})

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{4, 32, 1200} {
		for _, mode := range []string{"pool", "two choices", "attempt"} {
			f := selector.NewFilter(selector.NewPowerOfChoices(selector.Config{MaxUses: 1 << 40, Domain: "d0"}, newRand()))
			f.Step(0, selector.InstancesChanged{Instances: members(n, n/4)})
			for i, instance := range members(n, n/4) {
				if mode == "pool" {
					f.Step(0, selector.LoadReported{Instance: instance.ID, Load: load(int32(i%7), time.Duration(i%5)*fast)})
				}
			}
			b.Run(fmt.Sprint(n, " ", mode), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					picked, _ := f.Pick(0, selector.Exclusions{})
					if mode == "attempt" {
						f.Step(0, selector.AttemptSent{Instance: picked})
						f.Step(0, selector.AttemptEnded{Instance: picked, Latency: fast})
					}
				}
			})
		}
	}
}
