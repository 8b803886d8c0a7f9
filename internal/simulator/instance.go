package simulator

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/estimator"
	"github.com/magnoliaknot/magnoliaknot/internal/state/selector"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	tick = 50 * timer.Millis(1)
	// usual is the time of work on a VM of its own, in percent.
	usual = 100
	route = "request"
)

// instance is a backend server with its admission.
type instance struct {
	world     *world
	id        identifier.InstanceID
	admitter  *admitter.Admitter
	estimator *estimator.Estimator
	noise     *rand.Rand
	born      identifier.Incarnation
	slow      bool
	coldUntil timer.Millis
	waiting   map[identifier.AttemptID]*attempt
	running   int
	limit     int
	// starts are the times of the latest starts of a cold start.
	starts []timer.Millis
}

func (w *world) addInstance(number int, noise *rand.Rand) {
	in := &instance{
		world: w, id: identifier.InstanceID(fmt.Sprintf("i-%d", number)), admitter: admitter.New(), estimator: estimator.New(),
		noise: rand.New(rand.NewPCG(noise.Uint64(), noise.Uint64())), waiting: map[identifier.AttemptID]*attempt{}, born: 1,
	}
	w.instances = append(w.instances, in)
	w.byID[in.id] = in
	in.configure()
	w.at(0, in.changeSpeed)
	w.at(0, in.tick)
}

func (in *instance) configure() {
	l := in.world.load
	in.step(admitter.Announce{Incarnation: in.born, Slots: identifier.Slots(l.Slots), State: admitter.Ready})
	in.setLimit()
	in.step(admitter.Contact{SoleMember: true})
	in.step(admitter.DomainState{RampShare: 1})
}

func (in *instance) setLimit() {
	slots := in.world.load.Slots
	in.limit = slots
	if in.world.policies.LimitAtKnee {
		in.limit = in.estimator.Limit(in.world.now, slots)
	}
	in.step(admitter.Limits{
		Version: 1, MaxInFlight: in.limit, MaxQueue: estimator.QueuePerSlot * slots, ColdLimit: slots + 1, RampCompletions: 1,
		MaxTimeout: timer.Minute,
	})
}

// restart loses what runs and makes the instance cold.
func (in *instance) restart() {
	in.born++
	in.running = 0
	in.coldUntil = in.world.now + in.world.load.ColdFor
	in.admitter = admitter.New()
	in.configure()
	lost := slices.SortedFunc(maps.Values(in.waiting), func(x, y *attempt) int { return cmp.Compare(x.id.Sequence, y.id.Sequence) })
	clear(in.waiting)
	for _, a := range lost {
		a.lost()
	}
	in.setPace()
}

func (in *instance) cold() bool { return in.world.now < in.coldUntil }

func (in *instance) setPace() {
	pace := admitter.StartRateLimit{}
	if in.cold() {
		pace.PerSecond = max(1, int(in.world.load.ColdPerSecond*estimator.ColdRateMargin))
	}
	in.step(pace)
}

func (in *instance) tick() {
	in.step(admitter.Tick{})
	in.setPace()
	in.tell()
	in.world.after(tick, in.tick)
}

// changeSpeed begins or ends a spell in which other work slows the VM down.
func (in *instance) changeSpeed() {
	l := in.world.load
	in.slow = in.noise.Float64() < l.SlowShare
	in.tell()
	in.world.after(l.SlowFor, in.changeSpeed)
}

func (in *instance) slowdown() int32 {
	if in.slow {
		return int32(usual * in.world.load.SlowFactor)
	}
	return usual
}

// arrive takes an attempt.
func (in *instance) arrive(a *attempt) {
	expected := in.estimator.Expected(route, in.slowdown())
	if in.world.policies.RefuseTooSlow && estimator.MissesDeadline(expected, a.remaining()) {
		a.refused(estimator.TooSlowRetryAfter)
		return
	}
	wait := estimator.MaxWait(in.world.load.Target, a.remaining())
	if in.world.policies.BoundWait {
		wait = estimator.MaxWaitForTarget(wait, a.targetLeft(), expected)
	}
	in.waiting[a.id] = a
	in.step(admitter.Arrive{Attempt: a.id, Remaining: a.remaining(), MaxWait: wait})
}

func (in *instance) step(event admitter.Event) {
	for _, action := range in.admitter.Step(in.world.now, event, nil) {
		switch act := action.(type) {
		case admitter.Start:
			in.start(in.waiting[act.Attempt])
		case admitter.Refuse:
			a := in.waiting[act.Attempt]
			delete(in.waiting, act.Attempt)
			a.refused(act.RetryAfter)
		case admitter.BackendCrash, admitter.PauseDetected, admitter.Drained: // The model has neither crashes nor pauses.
		}
	}
}

// start runs an attempt at the speed of this moment.
func (in *instance) start(a *attempt) {
	w, slowdown := in.world, in.slowdown()
	if w.policies.LoadCheck && estimator.Slowed(a.assumed, slowdown) {
		delete(in.waiting, a.id)
		in.after(0, func() { in.complete(a, admitter.Shed, 0) })
		a.refused(0)
		return
	}
	in.running++
	w.report.Runs++
	took := float64(a.request.caller.work) * float64(slowdown) / usual
	if float64(in.running) > w.load.KneeShare*float64(w.load.Slots) {
		took *= w.load.KneeFactor
	}
	if in.cold() {
		took *= w.load.ColdFactor
		in.countCold()
	}
	running := in.running
	in.tell()
	in.after(timer.Millis(took), func() { in.end(a, running, slowdown, timer.Millis(took)) })
}

// countCold counts the starts in the last second of a cold start.
func (in *instance) countCold() {
	now := in.world.now
	in.starts = append(in.starts, now)
	for now-in.starts[0] >= timer.Second {
		in.starts = in.starts[1:]
	}
	in.world.report.MaxColdStarts = max(in.world.report.MaxColdStarts, len(in.starts))
}

// after plans something for this run of the instance.
func (in *instance) after(wait timer.Millis, do func()) {
	born := in.born
	in.world.after(wait, func() {
		if in.born == born {
			do()
		}
	})
}

func (in *instance) end(a *attempt, running int, slowdown int32, took timer.Millis) {
	in.running--
	delete(in.waiting, a.id)
	in.estimator.Observe(in.world.now, estimator.Run{
		Route: route, Running: running, Slots: in.world.load.Slots, Duration: took, SlowdownPercent: slowdown,
	})
	if in.world.policies.LimitAtKnee && in.estimator.Limit(in.world.now, in.world.load.Slots) != in.limit {
		in.setLimit()
	}
	in.complete(a, admitter.OK, took)
	a.answered()
}

func (in *instance) complete(a *attempt, result admitter.Result, took timer.Millis) {
	in.step(admitter.Complete{Attempt: a.id, Result: result, Latency: took})
	in.tell()
}

// tell reports the load to all senders.
func (in *instance) tell() {
	state := in.admitter.Load()
	load := selector.Load{
		InFlight: int32(state.InFlight), Queued: int32(state.Queued), Limit: int32(state.Limit),
		SlowdownPercent: in.slowdown(), Cold: in.cold(),
	}
	in.world.after(in.world.load.Delay, func() {
		for _, s := range in.world.senders {
			load.ReceivedAt = in.world.now
			s.policy.Step(in.world.now, selector.LoadReported{Instance: in.id, Load: load})
			s.slowdowns[in.id] = load.SlowdownPercent
		}
	})
}
