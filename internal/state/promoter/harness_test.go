package promoter_test

import (
	"math"
	"math/rand/v2"

	"github.com/magnoliaknot/magnoliaknot/internal/state/comparer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/exposer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/promoter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	oldVersion, newVersion = identifier.ServiceVersion("v1"), identifier.ServiceVersion("v2")
	tick                   = 50 * timer.Millis(1)
	duration               = 15 * timer.Second
	wallStart              = 1_900_000_000_000 * timer.Millis(1)
	coldTime               = 3 * timer.Second
	routes                 = 12
)

// backend is an instance. It is down until upAt.
type backend struct {
	report    comparer.Report
	collector *comparer.Collector
	running   int32
	startedAt timer.Millis
	upAt      timer.Millis
	sick      bool
	slowdown  int32
}

// fault returns the probability of a failure and that of an answer that takes 8 times as
// long, for a run of the target.
type fault func(f *fixture, route int) (failed, slow float64)

// fixture is a service with its old and new instances, senders and a control store. Time
// is passed by run.
type fixture struct {
	random    *rand.Rand
	now       timer.Millis
	order     router.RolloutOrder
	control   router.Control
	away      bool
	records   []router.RolloutProgress
	status    router.RolloutProgress
	statusAt  timer.Millis
	backends  []*backend
	exposers  []*exposer.Exposer
	promoters []*promoter.Promoter
	deferred  []deferred
	perSecond float64
	fault     fault
	badDay    bool
	outages   []timer.Millis
	// lossOf is the share of reports that are lost.
	lossOf float64

	requests, exposed, badAnswers int
	bad50At, lastExposedAt        timer.Millis
}

type deferred struct {
	at  timer.Millis
	run func()
}

func newFixture(seed uint64, instances, promoters int, perSecond float64) *fixture {
	f := &fixture{random: rand.New(rand.NewPCG(seed, 1)), perSecond: perSecond, lossOf: 0.05}
	f.order = router.RolloutOrder{Service: "shop", Target: newVersion, Duration: duration}
	for i := range 2 * instances {
		b := &backend{collector: comparer.NewCollector(), slowdown: 100, upAt: -coldTime}
		b.report = comparer.Report{Node: identifier.InstanceID('a' + rune(i)), Incarnation: 1, Service: "shop", Version: oldVersion, Slots: 8}
		if i >= instances {
			b.report.Version, b.upAt = newVersion, 1000+timer.Millis(f.random.IntN(1000))
		}
		f.backends = append(f.backends, b)
	}
	for range 2 * instances {
		f.exposers = append(f.exposers, exposer.New())
	}
	for range promoters {
		f.promoters = append(f.promoters, promoter.New(promoter.Config{Service: "shop", ExposureShare: 0.1}))
	}
	return f
}

// withBadDay adds faults that hit both versions and one faulty instance of each.
func (f *fixture) withBadDay() *fixture {
	f.badDay = true
	f.outages = []timer.Millis{timer.Millis(f.random.IntN(13000)), timer.Millis(f.random.IntN(13000))}
	half := len(f.backends) / 2
	f.backends[0].sick, f.backends[half].sick = true, true
	lost := timer.Millis(2500 + f.random.IntN(9000))
	f.later(lost, func() { // The power loss.
		for _, b := range []*backend{f.backends[1], f.backends[half+1]} {
			b.upAt, b.running, b.collector = lost+2000, 0, comparer.NewCollector()
			b.report.Incarnation++
			b.report.Sequence = 0
		}
	})
	return f
}

func (f *fixture) later(delay timer.Millis, run func()) {
	f.deferred = append(f.deferred, deferred{f.now + delay, run})
}

// rollout is the state in the snapshot of every daemon.
func (f *fixture) rollout() (router.Rollout, bool) {
	snapshot := router.Snapshot{Control: f.control}
	if f.order.Target != "" {
		snapshot.Orders = []router.RolloutOrder{f.order}
	}
	return snapshot.Rollout("shop")
}

func (f *fixture) run(until timer.Millis) *fixture {
	for ; f.now < until; f.now += tick {
		waiting := f.deferred
		f.deferred = nil
		for _, d := range waiting {
			if d.at > f.now {
				f.deferred = append(f.deferred, d)
				continue
			}
			d.run()
		}
		if f.badDay && f.now%500 == 0 {
			for _, b := range f.backends {
				b.slowdown = []int32{700, 100, 100, 100}[f.random.IntN(4)]
			}
		}
		rollout, found := f.rollout()
		for _, p := range f.promoters {
			if found && f.now%250 == 0 {
				f.step(p, promoter.Observed{Rollout: rollout, Position: f.control.Position(), Wall: wallStart + f.now})
			}
		}
		for arrivals := f.perSecond * float64(tick) / 1000; f.random.Float64() < arrivals; arrivals-- {
			f.request(rollout)
		}
	}
	return f
}

// request sends one request to an instance that is up and admits it.
func (f *fixture) request(rollout router.Rollout) {
	sender := f.exposers[f.random.IntN(len(f.exposers))]
	version, marked := oldVersion, false
	if rollout.Phase == router.RolloutRunning && sender.Take(rollout.Percent) {
		version, marked = newVersion, true
	}
	if rollout.Phase == router.RolloutDraining || rollout.Phase == router.RolloutCompleted {
		version = newVersion
	}
	f.requests++
	for _, version := range []identifier.ServiceVersion{version, oldVersion} {
		for _, n := range f.random.Perm(len(f.backends)) {
			b := f.backends[n]
			if b.report.Version == version && b.upAt <= f.now && !b.report.Halted && rollout.Admits(version, marked) {
				f.start(b, sender, marked)
				return
			}
		}
	}
}

// start runs a request on an instance. Routes are used in proportion to 1/n.
func (f *fixture) start(b *backend, sender *exposer.Exposer, marked bool) {
	route := int(math.Pow(routes, f.random.Float64())) - 1
	target, failShare, slowShare := b.report.Version == newVersion, 0.01, 0.0
	if target {
		f.exposed, f.lastExposedAt = f.exposed+1, f.now
		if f.fault != nil {
			failShare, slowShare = f.fault(f, route)
		}
	}
	if b.sick {
		failShare = max(failShare, 0.45)
	}
	for _, at := range f.outages { // A called service fails.
		if f.now >= at && f.now < at+timer.Second {
			failShare = max(failShare, 0.3)
		}
	}
	run := comparer.Run{Failed: f.random.Float64() < failShare, SlowdownPercent: b.slowdown, Cold: f.now < b.upAt+coldTime}
	usual := float64(10*(1+route)) * math.Exp(0.4*f.random.NormFloat64())
	slow := f.random.Float64() < slowShare
	if slow {
		usual *= 8
	}
	if run.Cold {
		usual *= 2
	}
	run.Duration = timer.Millis(usual * float64(b.slowdown) / 100)
	b.startedAt = f.now
	b.running++
	incarnation := b.report.Incarnation
	f.later(run.Duration, func() {
		if marked {
			sender.Observe(run.Failed)
		}
		if target && (run.Failed || slow) {
			if f.badAnswers++; f.badAnswers == 50 {
				f.bad50At = f.now
			}
		}
		if b.report.Incarnation == incarnation {
			b.running--
			b.collector.Record(string(rune('A'+route)), run)
		}
	})
}

// step passes an event to a promoter and carries out its actions.
func (f *fixture) step(p *promoter.Promoter, event promoter.Event) {
	for _, action := range append([]promoter.Action(nil), p.Step(f.now+1, event)...) {
		answer := func(e promoter.Event) {
			f.later(timer.Millis(20+f.random.IntN(200)), func() { f.step(p, e) })
		}
		switch a := action.(type) {
		case promoter.Ask:
			f.ask(p, a)
		case promoter.ReadControl:
			if f.away {
				answer(promoter.ReadFailed{})
				continue
			}
			answer(promoter.ControlRead{Control: f.control})
		case promoter.Write:
			answer(f.write(a))
		case promoter.Publish:
			if f.away {
				answer(promoter.PublishFailed{})
				continue
			}
			if f.status.Target != a.Progress.Target || f.status.Phase != a.Progress.Phase {
				f.status, f.statusAt = a.Progress, f.now
			}
			answer(promoter.Published{})
		case promoter.Log:
		}
	}
}

// write appends a record if none was written since.
func (f *fixture) write(a promoter.Write) promoter.Event {
	if f.away {
		return promoter.WriteFailed{}
	}
	if a.Since != f.control.Position() {
		return promoter.Conflicted{}
	}
	f.control.Offset++
	f.control.Rollouts = []router.RolloutProgress{a.Progress}
	f.records = append(f.records, a.Progress)
	if f.random.IntN(10) == 0 {
		return promoter.WriteFailed{} // The answer is lost.
	}
	return promoter.Written{Position: f.control.Position()}
}

// ask collects reports. Some are lost, all are late, some are repeated.
func (f *fixture) ask(p *promoter.Promoter, a promoter.Ask) {
	rollout, _ := f.rollout()
	for _, b := range f.backends {
		if f.random.Float64() < f.lossOf || b.upAt > f.now {
			continue
		}
		b.report.Halted = b.report.Halted || a.Halt && b.report.Version == newVersion
		b.report.Sequence++
		report := b.report
		report.Target, report.Phase, report.Accepting = rollout.Target, rollout.Phase, !b.report.Halted
		report.Cold, report.Running, report.IdleForMs = f.now < b.upAt+coldTime, b.running, f.now-b.startedAt
		report.Routes = b.collector.Routes()
		f.later(timer.Millis(f.random.IntN(100)), func() { f.step(p, promoter.Counted{Report: report}) })
		if f.random.IntN(20) == 0 {
			f.later(timer.Millis(f.random.IntN(2000)), func() { f.step(p, promoter.Counted{Report: report}) })
		}
	}
}
