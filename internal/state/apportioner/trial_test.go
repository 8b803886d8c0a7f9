package apportioner_test

import (
	"fmt"
	"testing"

	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestTrial(t *testing.T) {
	cases := []struct {
		name string
		run  func(f *fleet, q router.Quota) float64
	}{
		{"steady", func(f *fleet, q router.Quota) float64 { f.run(20 * timer.Second); return f.most(q, 1000) }},
		{"loss10", func(f *fleet, q router.Quota) float64 { f.loss = 0.1; f.run(20 * timer.Second); return f.most(q, 1000) }},
		{"replaced", func(f *fleet, q router.Quota) float64 {
			f.run(10 * timer.Second)
			f.leaders[1].dead = true
			f.run(1300)
			f.name(2, 700)
			f.run(5000)
			return f.most(q, 1000)
		}},
		{"hot", func(f *fleet, q router.Quota) float64 {
			f.run(10 * timer.Second)
			f.demand *= 7.5
			f.run(6500)
			f.demand /= 7.5
			f.run(3000)
			return f.most(q, 1000)
		}},
		{"hot slow net", func(f *fleet, q router.Quota) float64 {
			f.delay = 100
			f.loss = 0.1
			f.run(10 * timer.Second)
			f.demand *= 7.5
			f.run(6500)
			return f.most(q, 1000)
		}},
		{"hot+kill", func(f *fleet, q router.Quota) float64 {
			f.run(10 * timer.Second)
			f.demand *= 7.5
			f.leaders[1].dead = true
			f.run(1300)
			f.name(2, 700)
			f.run(6500)
			return f.most(q, 1000)
		}},
		{"hot, kill after 1s", func(f *fleet, q router.Quota) float64 {
			f.run(10 * timer.Second)
			f.demand *= 7.5
			f.run(1000)
			f.leaders[1].dead = true
			f.run(1300)
			f.name(2, 700)
			f.run(6500)
			return f.most(q, 1000)
		}},
		{"hot+nocoord", func(f *fleet, q router.Quota) float64 {
			f.run(10 * timer.Second)
			f.demand *= 7.5
			f.leaders[1].dead = true
			f.run(8000)
			return f.most(q, 1000)
		}},
		{"half cut, usual", func(f *fleet, q router.Quota) float64 {
			f.run(10 * timer.Second)
			for i, m := range f.members {
				m.cut = i%2 == 0
			}
			f.run(8000)
			return f.most(q, 1000)
		}},
		{"hot+half cut", func(f *fleet, q router.Quota) float64 {
			f.run(10 * timer.Second)
			f.demand *= 7.5
			for i, m := range f.members {
				m.cut = i%2 == 0
			}
			f.run(8000)
			return f.most(q, 1000)
		}},
		{"half cut then hot", func(f *fleet, q router.Quota) float64 {
			f.run(10 * timer.Second)
			for i, m := range f.members {
				m.cut = i%2 == 0
			}
			f.run(5000)
			f.demand *= 7.5
			f.run(8000)
			return f.most(q, 1000)
		}},
		{"hot pause 3s", func(f *fleet, q router.Quota) float64 {
			f.run(10 * timer.Second)
			f.leaders[1].paused = f.now + 3000
			f.run(100)
			f.demand *= 7.5
			f.run(8000)
			return f.most(q, 1000)
		}},
		{"lowered", func(f *fleet, q router.Quota) float64 {
			f.demand = q.PerSecond * .9
			f.run(10 * timer.Second)
			q = router.Quota{PerSecond: max(1, q.PerSecond / 10), Burst: max(1, q.PerSecond / 10)}
			f.setQuota(q)
			at := f.now
			f.run(12000)
			return f.most(q, at+5000)
		}},
	}
	for _, c := range cases {
		for _, busy := range []bool{true, false} {
			for _, skew := range []float64{0.3, 3} {
				line := fmt.Sprintf("%-20s busy=%v skew=%.1f", c.name, busy, skew)
				for _, rate := range []float64{2, 6.8, 25, 100, 381} {
					worst, refused := 0.0, 0.0
					for seed := range uint64(6) {
						q := router.Quota{PerSecond: rate, Burst: rate}
						f := newFleet(seed, q, skew)
						f.busy = busy
						worst = max(worst, c.run(f, q))
						refused += f.refused(11000-7000*0) / 6
					}
					line += fmt.Sprintf("  %.0f: %.2f r%.3f", rate, worst, refused)
				}
				fmt.Println(line)
			}
		}
	}
}
