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
	tickInterval = 50 * timer.Millis(1)
	// normalSlowdownPercent is the slowdown of a VM that no other work slows down.
	normalSlowdownPercent = 100
	route                 = "request"
)

// instance models a backend server and the admitter and estimator of its daemon.
type instance struct {
	simulation  *simulation
	id          identifier.InstanceID
	admitter    *admitter.Admitter
	estimator   *estimator.Estimator
	noiseRand   *rand.Rand
	incarnation identifier.Incarnation
	slowed      bool
	coldUntil   timer.Millis
	attempts    map[identifier.AttemptID]*attempt
	running     int
	limit       int
	// recentColdStarts are the times at which attempts started in the last second
	// while the instance was cold.
	recentColdStarts []timer.Millis
}

func (sim *simulation) addInstance(number int, noise *rand.Rand) {
	in := &instance{
		simulation: sim, id: identifier.InstanceID(fmt.Sprintf("i-%d", number)), admitter: admitter.New(), estimator: estimator.New(),
		noiseRand: rand.New(rand.NewPCG(noise.Uint64(), noise.Uint64())), attempts: map[identifier.AttemptID]*attempt{}, incarnation: 1,
	}
	sim.instances = append(sim.instances, in)
	sim.instanceByID[in.id] = in
	in.configureAdmitter()
	sim.schedule(0, in.changeSlowdown)
	sim.schedule(0, in.tick)
}

func (in *instance) configureAdmitter() {
	l := in.simulation.load
	in.step(admitter.Announce{Incarnation: in.incarnation, Slots: identifier.Slots(l.Slots), State: admitter.Ready})
	in.setLimit()
	in.step(admitter.Contact{SoleMember: true})
	in.step(admitter.DomainState{RampShare: 1})
}

func (in *instance) setLimit() {
	slots := in.simulation.load.Slots
	in.limit = slots
	if in.simulation.policies.LimitAtKnee {
		in.limit = in.estimator.Limit(in.simulation.now, slots)
	}
	in.step(admitter.Limits{
		Version: 1, MaxInFlight: in.limit, MaxQueue: estimator.QueuePerSlot * slots, ColdLimit: slots + 1, RampCompletions: 1,
		MaxTimeout: timer.Minute,
	})
}

// restart loses all attempts at the instance and makes it cold.
func (in *instance) restart() {
	in.incarnation++
	in.running = 0
	in.coldUntil = in.simulation.now + in.simulation.load.ColdFor
	in.admitter = admitter.New()
	in.configureAdmitter()
	lost := slices.SortedFunc(maps.Values(in.attempts), func(x, y *attempt) int { return cmp.Compare(x.id.Sequence, y.id.Sequence) })
	clear(in.attempts)
	for _, a := range lost {
		a.lost()
	}
	in.setStartRate()
}

func (in *instance) cold() bool { return in.simulation.now < in.coldUntil }

func (in *instance) setStartRate() {
	rate := admitter.StartRateLimit{}
	if in.cold() {
		rate.PerSecond = max(1, int(in.simulation.load.ColdPerSecond*estimator.ColdRateMargin))
	}
	in.step(rate)
}

func (in *instance) tick() {
	in.step(admitter.Tick{})
	in.setStartRate()
	in.reportLoad()
	in.simulation.scheduleAfter(tickInterval, in.tick)
}

// changeSlowdown decides at random whether other work slows the VM down during the
// next Load.SlowFor.
func (in *instance) changeSlowdown() {
	l := in.simulation.load
	in.slowed = in.noiseRand.Float64() < l.SlowShare
	in.reportLoad()
	in.simulation.scheduleAfter(l.SlowFor, in.changeSlowdown)
}

func (in *instance) slowdown() int32 {
	if in.slowed {
		return int32(normalSlowdownPercent * in.simulation.load.SlowFactor)
	}
	return normalSlowdownPercent
}

// arrive passes an attempt to the admitter, or refuses it.
func (in *instance) arrive(a *attempt) {
	expected := in.estimator.Expected(route, in.slowdown())
	if in.simulation.policies.RefuseTooSlow && estimator.MissesDeadline(expected, a.remaining()) {
		a.refused(estimator.TooSlowRetryAfter)
		return
	}
	wait := estimator.MaxWait(in.simulation.load.Target, a.remaining())
	if in.simulation.policies.BoundWait {
		wait = estimator.MaxWaitForTarget(wait, a.remainingToTarget(), expected)
	}
	in.attempts[a.id] = a
	arrive := admitter.Arrive{Attempt: a.id, Remaining: a.remaining(), MaxWait: wait}
	if in.simulation.policies.FairQueue {
		arrive.Account = a.request.caller.account
	}
	in.step(arrive)
}

func (in *instance) step(event admitter.Event) {
	for _, action := range in.admitter.Step(in.simulation.now, event, nil) {
		switch act := action.(type) {
		case admitter.Start:
			in.start(in.attempts[act.Attempt])
		case admitter.Refuse:
			a := in.attempts[act.Attempt]
			delete(in.attempts, act.Attempt)
			a.refused(act.RetryAfter)
		case admitter.BackendCrash, admitter.PauseDetected, admitter.Drained: // The model has no crashes, pauses or drains.
		}
	}
}

// start runs an attempt. Its duration follows from the load and the slowdown at its
// start. With LoadCheck, an attempt is sent back if the VM is much slower than its
// sender assumed.
func (in *instance) start(a *attempt) {
	sim, slowdown := in.simulation, in.slowdown()
	if sim.policies.LoadCheck && estimator.Slowed(a.assumedSlowdown, slowdown) {
		delete(in.attempts, a.id)
		in.scheduleAfter(0, func() { in.complete(a, admitter.Shed, 0) })
		a.refused(0)
		return
	}
	in.running++
	sim.report.Runs++
	duration := float64(a.request.caller.work) * float64(slowdown) / normalSlowdownPercent
	if float64(in.running) > sim.load.KneeShare*float64(sim.load.Slots) {
		duration *= sim.load.KneeFactor
	}
	if in.cold() {
		duration *= sim.load.ColdFactor
		in.countColdStart()
	}
	running := in.running
	in.reportLoad()
	in.scheduleAfter(timer.Millis(duration), func() { in.finish(a, running, slowdown, timer.Millis(duration)) })
}

// countColdStart updates the largest number of starts of a cold instance within one
// second.
func (in *instance) countColdStart() {
	now := in.simulation.now
	in.recentColdStarts = append(in.recentColdStarts, now)
	for now-in.recentColdStarts[0] >= timer.Second {
		in.recentColdStarts = in.recentColdStarts[1:]
	}
	in.simulation.report.MaxColdStarts = max(in.simulation.report.MaxColdStarts, len(in.recentColdStarts))
}

// scheduleAfter runs a function after a delay unless the instance has restarted by
// then.
func (in *instance) scheduleAfter(delay timer.Millis, run func()) {
	incarnation := in.incarnation
	in.simulation.scheduleAfter(delay, func() {
		if in.incarnation == incarnation {
			run()
		}
	})
}

func (in *instance) finish(a *attempt, running int, slowdown int32, duration timer.Millis) {
	in.running--
	delete(in.attempts, a.id)
	in.estimator.Observe(in.simulation.now, estimator.Run{
		Route: route, Running: running, Slots: in.simulation.load.Slots, Duration: duration, SlowdownPercent: slowdown,
	})
	if in.simulation.policies.LimitAtKnee && in.estimator.Limit(in.simulation.now, in.simulation.load.Slots) != in.limit {
		in.setLimit()
	}
	in.complete(a, admitter.OK, duration)
	a.answered()
}

func (in *instance) complete(a *attempt, result admitter.Result, latency timer.Millis) {
	in.step(admitter.Complete{Attempt: a.id, Result: result, Latency: latency})
	in.reportLoad()
}

// reportLoad sends the load to all senders. It arrives after Load.Delay.
func (in *instance) reportLoad() {
	current := in.admitter.Load()
	load := selector.Load{
		InFlight: int32(current.InFlight), Queued: int32(current.Queued), Limit: int32(current.Limit),
		SlowdownPercent: in.slowdown(), Cold: in.cold(),
	}
	in.simulation.scheduleAfter(in.simulation.load.Delay, func() {
		for _, s := range in.simulation.senders {
			load.ReceivedAt = in.simulation.now
			s.selector.Step(in.simulation.now, selector.LoadReported{Instance: in.id, Load: load})
			s.slowdowns[in.id] = load.SlowdownPercent
		}
	})
}
