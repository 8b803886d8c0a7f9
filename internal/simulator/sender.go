package simulator

import (
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/state/retrier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/selector"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// sender is a daemon that receives callers' requests and places their attempts.
type sender struct {
	simulation *simulation
	selector   selector.Policy
	slowdowns  map[identifier.InstanceID]int32
}

func (sim *simulation) addSender() {
	s := &sender{simulation: sim, selector: sim.policies.NewSelector(sim.policyRand), slowdowns: map[identifier.InstanceID]int32{}}
	var instances []selector.Instance
	for _, in := range sim.instances {
		instances = append(instances, selector.Instance{ID: in.id, Slots: identifier.Slots(sim.load.Slots)})
	}
	s.selector.Step(0, selector.InstancesChanged{Instances: instances})
	sim.senders = append(sim.senders, s)
}

// request is one request of a caller; a repeat after a refusal is another one.
type request struct {
	sender         *sender
	caller         *caller
	arrived        timer.Millis
	retrier        *retrier.Retrier
	triedInstances []identifier.InstanceID
	ended          bool
}

// maxAttempts is the limit on the routes of both deployments.
const maxAttempts = 2

func (s *sender) beginRequest(c *caller) {
	r := &request{sender: s, caller: c, arrived: s.simulation.now}
	r.retrier = retrier.New(retrier.Config{
		Deadline: r.deadline(), Idempotent: s.simulation.load.Idempotent, MaxAttempts: maxAttempts,
		FreeRefusals: s.simulation.policies.FreeRefusals,
	}, retrier.Budgets{Retries: unlimitedBudget{}})
	r.step(retrier.Begin{})
}

// unlimitedBudget is a retry budget without a limit. An attempt that is refused before
// its start takes nothing from a budget.
type unlimitedBudget struct{}

// Take allows every retry.
func (unlimitedBudget) Take(timer.Millis) bool { return true }

func (r *request) deadline() timer.Millis { return r.arrived + r.sender.simulation.load.Deadline }

func (r *request) step(event retrier.Event) {
	sim := r.sender.simulation
	if r.ended {
		return
	}
	for _, action := range r.retrier.Step(sim.now, event) {
		switch act := action.(type) {
		case retrier.Send:
			r.send(act.Attempt)
		case retrier.Wake:
			sim.schedule(act.At, func() { r.step(retrier.Timer{}) })
		case retrier.Finish:
			r.finish(act)
		case retrier.CancelAttempt, retrier.Query: // Attempts of the model always run to their end.
		}
	}
}

// send places an attempt. NoInstance is scheduled as an event of its own, since the
// retrier's actions are valid only until its next step.
func (r *request) send(number retrier.Attempt) {
	s, sim := r.sender, r.sender.simulation
	id, found := s.selector.Pick(sim.now, selector.Exclusions{Tried: r.triedInstances})
	if !found {
		sim.scheduleAfter(0, func() { r.step(retrier.NoInstance{Attempt: number}) })
		return
	}
	sim.attemptCount++
	a := &attempt{
		request: r, number: number, id: identifier.AttemptID{Origin: 1, Sequence: sim.attemptCount}, instance: id,
		assumedSlowdown: s.slowdowns[id], sentAt: sim.now,
	}
	r.triedInstances = append(r.triedInstances, id)
	s.selector.Step(sim.now, selector.AttemptSent{Instance: id})
	sim.scheduleAfter(sim.load.Delay, func() { sim.instanceByID[id].arrive(a) })
}

// finish counts the outcome of a request, or schedules the caller's repeat.
func (r *request) finish(f retrier.Finish) {
	sim, c := r.sender.simulation, r.caller
	r.ended = true
	if f.Outcome == retrier.OutcomeNotRun && c.retriesLeft > 0 {
		c.retriesLeft--
		sim.scheduleAfter(max(f.RetryAfter, 1), func() { r.sender.beginRequest(c) })
		return
	}
	sim.openRequests--
	switch {
	case f.Outcome == retrier.OutcomeComplete:
		inTarget := sim.now-r.arrived <= sim.load.Target
		sim.report.countServed(c.arrived, inTarget)
		if inTarget && sim.load.Accounts.burst(c.arrived) {
			sim.report.Accounts[c.account-1].InTarget++
		}
	case f.Outcome == retrier.OutcomeNotRun:
		sim.report.Refused++
	default:
		sim.report.Failed++
	}
}

// attempt is one attempt of a request.
type attempt struct {
	request  *request
	number   retrier.Attempt
	id       identifier.AttemptID
	instance identifier.InstanceID
	// assumedSlowdown is the instance's last reported slowdown at the placement.
	assumedSlowdown int32
	sentAt          timer.Millis
}

func (a *attempt) remaining() timer.Millis {
	return max(1, a.request.deadline()-a.request.sender.simulation.now)
}

func (a *attempt) remainingToTarget() timer.Millis {
	sim := a.request.sender.simulation
	return max(0, a.request.arrived+sim.load.Target-sim.now)
}

func (a *attempt) answered() {
	a.returnResult(retrier.Answered{Attempt: a.number, Complete: true}, selector.Complete)
}

func (a *attempt) refused(retryAfter timer.Millis) {
	a.returnResult(retrier.NotRun{Attempt: a.number, RetryAfter: retryAfter}, selector.NotRun)
}

func (a *attempt) lost() { a.returnResult(retrier.Unknown{Attempt: a.number}, selector.Unknown) }

// returnResult passes the result of an attempt to its sender after Load.Delay.
func (a *attempt) returnResult(event retrier.Event, result selector.Result) {
	s := a.request.sender
	sim := s.simulation
	sim.scheduleAfter(sim.load.Delay, func() {
		s.selector.Step(sim.now, selector.AttemptEnded{
			Instance: a.instance, Latency: time.Duration(sim.now-a.sentAt) * time.Millisecond, Result: result,
		})
		a.request.step(event)
	})
}
