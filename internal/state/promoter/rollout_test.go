package promoter_test

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/magnoliaknot/magnoliaknot/internal/state/promoter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const usualFailures = 0.01

// failing returns a fault that fails 40 % of the runs for which a condition holds.
func failing(holds func(f *fixture, route int) bool) fault {
	return func(f *fixture, route int) (failed, slow float64) {
		if holds(f, route) {
			return 0.4, 0
		}
		return usualFailures, 0
	}
}

func always(*fixture, int) bool { return true }

// outcome counts roll-outs that ended in a phase, and those outside their bounds.
type outcome struct{ completed, rolledBack, unfinished, late, overexposed atomic.Int64 }

// play runs seeds in parallel and counts how they ended.
func play(seeds int, fixtureOf func(seed uint64) *fixture) *outcome {
	o, wait, next := &outcome{}, sync.WaitGroup{}, atomic.Int64{}
	for range 4 {
		wait.Go(func() {
			for seed := next.Add(1); seed <= int64(seeds); seed = next.Add(1) {
				o.count(fixtureOf(uint64(seed)).run(duration))
			}
		})
	}
	wait.Wait()
	return o
}

func (o *outcome) count(f *fixture) {
	switch f.status.Phase {
	case router.RolloutCompleted:
		o.completed.Add(1)
	case router.RolloutRolledBack:
		o.rolledBack.Add(1)
	default:
		o.unfinished.Add(1)
	}
	if f.bad50At > 0 && f.lastExposedAt > f.bad50At+5*timer.Second {
		o.late.Add(1)
	}
	if float64(f.exposed) > 0.1*float64(f.requests)+50 {
		o.overexposed.Add(1)
	}
}

// Guards against a bad version that is completed, gets requests later than 5 s after its
// 50th bad answer, or gets more than a tenth of the requests and 50.
func TestBadVersions(t *testing.T) {
	cases := []struct {
		name      string
		fault     fault
		perSecond float64
		badDay    bool
	}{
		{"40 % failures, little traffic", failing(always), 60, false},
		{"40 % failures", failing(always), 400, false},
		{"8 times slower in 45 % of the runs, little traffic", slow, 60, false},
		{"8 times slower in 45 % of the runs", slow, 400, false},
		{"bad 3 s after the order", failing(func(f *fixture, _ int) bool { return f.now >= 3000 }), 60, false},
		{"bad in the second step, little traffic", failing(func(f *fixture, _ int) bool { return f.now >= 7500 }), 60, false},
		{"bad in the second step", failing(func(f *fixture, _ int) bool { return f.now >= 7500 }), 400, false},
		{"bad under load, little traffic", failing(underLoad), 60, false},
		{"bad under load", failing(underLoad), 400, false},
		{"bad on one route", failing(oneRoute), 400, false},
		{"bad day, 40 % failures, little traffic", failing(always), 60, true},
		{"bad day, 40 % failures", failing(always), 400, true},
		{"bad day, 8 times slower in 45 % of the runs", slow, 400, true},
		{"bad day, bad under load, little traffic", failing(underLoad), 60, true},
		{"bad day, bad under load", failing(underLoad), 400, true},
		{"bad day, bad on one route", failing(oneRoute), 400, true},
		// The route has 10 requests a second, so 50 bad answers are not reached in time.
		{"bad on one route, little traffic", failing(oneRoute), 60, false},
		{"bad day, bad on one route, little traffic", failing(oneRoute), 60, true},
	}
	const seeds = 100
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := play(seeds, func(seed uint64) *fixture {
				f := newFixture(seed, 8, 1, c.perSecond)
				f.fault = c.fault
				if c.badDay {
					f.withBadDay()
				}
				return f
			})
			t.Logf("%d of %d rolled back, %d completed, %d late, %d overexposed",
				o.rolledBack.Load(), seeds, o.completed.Load(), o.late.Load(), o.overexposed.Load())
			if max(seeds-o.rolledBack.Load(), o.late.Load(), o.overexposed.Load()) > 0 {
				t.Error("not every version was rolled back in time")
			}
		})
	}
}

// Guards against a version that is completed, so that its old instances stop, though it
// fails once it gets all requests.
func TestBadWhileDraining(t *testing.T) {
	for _, perSecond := range []float64{60, 400} {
		o := play(100, func(seed uint64) *fixture {
			f := newFixture(seed, 8, 1, perSecond)
			f.fault = failing(func(f *fixture, _ int) bool { return f.control.Rollouts[0].Phase == router.RolloutDraining })
			return f
		})
		if o.completed.Load() > 0 {
			t.Errorf("%.0f/s: %d of 100 completed, %d rolled back", perSecond, o.completed.Load(), o.rolledBack.Load())
		}
	}
}

func slow(*fixture, int) (failed, slow float64) { return usualFailures, 0.45 }

func underLoad(f *fixture, _ int) bool { return f.control.Rollouts[0].Percent >= 25 }

// oneRoute is true for a route with a sixth of the requests.
func oneRoute(_ *fixture, route int) bool { return route == 1 }

// Guards against a good version that is rolled back or not completed in time. The log
// names the rate of false alarms.
func TestGoodVersions(t *testing.T) {
	cases := []struct {
		name      string
		instances int
		perSecond float64
		badDay    bool
		seeds     int
	}{
		{"a usual day", 8, 200, false, 1000},
		{"a usual day with little traffic", 8, 60, false, 300},
		{"a bad day", 8, 200, true, 1000},
		{"a bad day with little traffic", 8, 60, true, 300},
		{"a bad day with four instances of each version", 4, 100, true, 300},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := play(c.seeds, func(seed uint64) *fixture {
				f := newFixture(seed, c.instances, 1, c.perSecond)
				if c.badDay {
					f.withBadDay()
				}
				return f
			})
			t.Logf("false alarms %d of %d, %d unfinished, %d completed", o.rolledBack.Load(), c.seeds, o.unfinished.Load(), o.completed.Load())
			if o.completed.Load() < int64(c.seeds) {
				t.Error("not every version was completed in time")
			}
		})
	}
}

// Guards against a version that is completed though too few of its runs are known to judge
// it, and against a roll-out that then stays unfinished.
func TestTooLittleTraffic(t *testing.T) {
	for _, perSecond := range []float64{0, 1} {
		o := play(20, func(seed uint64) *fixture { return newFixture(seed, 8, 1, perSecond) })
		if o.rolledBack.Load() != 20 {
			t.Errorf("%.0f/s: %d of 20 rolled back, %d completed", perSecond, o.rolledBack.Load(), o.completed.Load())
		}
	}
}

// Guards against two deciding daemons that undo each other's steps, and against one whose
// reports are lost that completes a version which the other one knows to be bad.
func TestTwoPromoters(t *testing.T) {
	for seed := range uint64(50) {
		for _, fault := range []fault{nil, failing(always)} {
			f := newFixture(seed, 8, 2, 200)
			f.fault, f.lossOf = fault, 0.3
			f.run(duration)
			want := router.RolloutCompleted
			if fault != nil {
				want = router.RolloutRolledBack
			}
			if f.status.Phase != want {
				t.Errorf("seed %d: %s", seed, f.status.Phase)
			}
			for n, record := range f.records[1:] {
				before := f.records[n]
				if before.Phase.Final() || record.Phase == before.Phase && record.Percent <= before.Percent || record.StartedAt != before.StartedAt {
					t.Errorf("seed %d: %v written after %v", seed, record, before)
				}
			}
		}
	}
}

// Guards against a daemon that continues after a pause with evidence from before it.
func TestPauseInStep(t *testing.T) {
	for _, pause := range []timer.Millis{2 * timer.Second, 30 * timer.Second} {
		f := newFixture(1, 8, 1, 200).run(6500)
		rollout, _ := f.rollout()
		p, now := f.promoters[0], f.now+pause
		for range 4 {
			actions := p.Step(now, promoter.Observed{Rollout: rollout, Position: f.control.Position(), Wall: wallStart + now})
			actions = append(slices.Clone(actions), p.Step(now+50, promoter.ControlRead{Control: f.control})...)
			if write, found := find[promoter.Write](actions); found && write.Progress.Phase != router.RolloutRolledBack {
				t.Errorf("%v without a report after a pause of %d ms", write, pause)
			}
			now += 250
		}
	}
}

// Guards against a roll-out that decides without the store, and one that is not resumed
// after it: the store is away from before the first step until after the deadline.
func TestStoreAway(t *testing.T) {
	for _, c := range []struct {
		fault fault
		want  router.RolloutPhase
	}{{nil, router.RolloutCompleted}, {failing(always), router.RolloutRolledBack}} {
		f := newFixture(1, 8, 1, 200).run(3 * timer.Second)
		f.fault, f.away = c.fault, true
		records := len(f.records)
		f.run(20 * timer.Second)
		if len(f.records) != records || f.status.Phase.Final() {
			t.Errorf("%s while the store was away", f.status.Phase)
		}
		if c.fault != nil && (f.badAnswers >= 50 && f.lastExposedAt > f.bad50At+5*timer.Second || f.lastExposedAt > 15*timer.Second) {
			t.Errorf("requests until %d ms, 50 bad answers at %d ms", f.lastExposedAt, f.bad50At)
		}
		f.away = false
		if f.run(30 * timer.Second); f.status.Phase != c.want {
			t.Errorf("%s after the store was back, want %s", f.status.Phase, c.want)
		}
	}
}

// Guards against a roll-out that starts anew, or a rejected version that is brought in
// again, after the store has lost the progress and the status.
func TestStoreLosesProgress(t *testing.T) {
	for _, at := range []timer.Millis{1 * timer.Second, 5 * timer.Second, 9 * timer.Second, 14 * timer.Second} {
		f := newFixture(1, 8, 1, 200).run(at)
		known := f.records[len(f.records)-1]
		f.control = router.Control{Era: 1}
		f.status, f.records = router.RolloutProgress{}, nil
		f.run(at + timer.Second)
		if len(f.records) == 0 || f.records[0].StartedAt != known.StartedAt || f.records[0].Percent < known.Percent {
			t.Errorf("lost at %d ms: %v written after %v", at, f.records, known)
		}
		if f.run(18 * timer.Second); f.status.Phase != router.RolloutCompleted {
			t.Errorf("lost at %d ms: %s", at, f.status.Phase)
		}
	}
}

// Guards against orders that are mixed up: one that replaces another, that is withdrawn
// and written again early and late, that is repeated, and the order of a rejected version.
func TestOrders(t *testing.T) {
	f := newFixture(1, 8, 1, 200).run(5 * timer.Second)
	order := f.order
	f.order = router.RolloutOrder{}
	f.run(6 * timer.Second)
	f.order = order // Written again by a restored store.
	if f.run(duration); f.status.Phase != router.RolloutCompleted {
		t.Errorf("%s after an order was absent for 1 s", f.status.Phase)
	}
	records := len(f.records)
	f.order.Duration++
	if f.run(f.now + 5*timer.Second); len(f.records) != records {
		t.Errorf("%v after a repeated order", f.records[records:])
	}

	f = newFixture(1, 8, 1, 200).run(5 * timer.Second)
	f.order = router.RolloutOrder{}
	f.run(9 * timer.Second)
	if f.order = order; f.status.Phase != router.RolloutRolledBack {
		t.Errorf("%s after an order was withdrawn", f.status.Phase)
	}
	if f.run(duration); f.status.Phase != router.RolloutRolledBack {
		t.Errorf("%s after a withdrawn order was repeated", f.status.Phase)
	}

	f = newFixture(1, 8, 1, 200).run(5 * timer.Second)
	f.order.Target = "v3"
	f.run(7 * timer.Second)
	if last := f.records[len(f.records)-1]; last.Target != "v3" || len(last.Rejected) != 1 || last.Rejected[0] != newVersion {
		t.Errorf("%v after another order", last)
	}
	exposed := f.exposed
	f.order.Target = newVersion
	if f.run(10 * timer.Second); f.status.Target != newVersion || f.status.Phase != router.RolloutRolledBack || f.exposed != exposed {
		t.Errorf("%v after the order of a rejected version", f.status)
	}
}
