package simulator

import (
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/state/retrier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/selector"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// sender is a daemon that takes callers' requests.
type sender struct {
	world     *world
	policy    selector.Policy
	slowdowns map[identifier.InstanceID]int32
}

func (w *world) addSender() {
	s := &sender{world: w, policy: w.policies.NewSelector(w.choices), slowdowns: map[identifier.InstanceID]int32{}}
	var instances []selector.Instance
	for _, in := range w.instances {
		instances = append(instances, selector.Instance{ID: in.id, Slots: identifier.Slots(w.load.Slots)})
	}
	s.policy.Step(0, selector.InstancesChanged{Instances: instances})
	w.senders = append(w.senders, s)
}

// request is one arrival of a caller.
type request struct {
	sender  *sender
	caller  *caller
	arrived timer.Millis
	machine *retrier.Retrier
	tried   []identifier.InstanceID
	ended   bool
}

// maxAttempts is what both deployments' routes allow.
const maxAttempts = 2

func (s *sender) begin(c *caller) {
	r := &request{sender: s, caller: c, arrived: s.world.now}
	r.machine = retrier.New(retrier.Config{
		Deadline: r.deadline(), Idempotent: s.world.load.Idempotent, MaxAttempts: maxAttempts,
		FreeRefusals: s.world.policies.FreeRefusals,
	}, retrier.Budgets{Retries: always{}})
	r.step(retrier.Begin{})
}

// always is a budget without a bound; a refusal before a start costs none.
type always struct{}

// Take allows every repeat.
func (always) Take(timer.Millis) bool { return true }

func (r *request) deadline() timer.Millis { return r.arrived + r.sender.world.load.Deadline }

func (r *request) step(event retrier.Event) {
	w := r.sender.world
	if r.ended {
		return
	}
	for _, action := range r.machine.Step(w.now, event) {
		switch act := action.(type) {
		case retrier.Send:
			r.send(act.Attempt)
		case retrier.Wake:
			w.at(act.At, func() { r.step(retrier.Timer{}) })
		case retrier.Finish:
			r.finish(act)
		case retrier.CancelAttempt, retrier.Query: // The model's attempts run to their end.
		}
	}
}

// send places an attempt. The result of a placement that found none follows in its
// own step, since the retrier's actions are valid until the next.
func (r *request) send(number retrier.Attempt) {
	s, w := r.sender, r.sender.world
	id, found := s.policy.Pick(w.now, selector.Exclusions{Tried: r.tried})
	if !found {
		w.after(0, func() { r.step(retrier.NoInstance{Attempt: number}) })
		return
	}
	w.sequence++
	a := &attempt{
		request: r, number: number, id: identifier.AttemptID{Origin: 1, Sequence: w.sequence}, instance: id,
		assumed: s.slowdowns[id], sentAt: w.now,
	}
	r.tried = append(r.tried, id)
	s.policy.Step(w.now, selector.AttemptSent{Instance: id})
	w.after(w.load.Delay, func() { w.byID[id].arrive(a) })
}

// finish counts the end of a request, or lets its caller come back.
func (r *request) finish(f retrier.Finish) {
	w, c := r.sender.world, r.caller
	r.ended = true
	if f.Outcome == retrier.OutcomeNotRun && c.left > 0 {
		c.left--
		w.after(max(f.RetryAfter, 1), func() { r.sender.begin(c) })
		return
	}
	w.open--
	switch {
	case f.Outcome == retrier.OutcomeComplete:
		w.report.served(c.arrived, w.now-r.arrived <= w.load.Target)
	case f.Outcome == retrier.OutcomeNotRun:
		w.report.Refused++
	default:
		w.report.Failed++
	}
}

// attempt is one attempt of a request.
type attempt struct {
	request  *request
	number   retrier.Attempt
	id       identifier.AttemptID
	instance identifier.InstanceID
	// assumed is the slowdown that its placement went by.
	assumed int32
	sentAt  timer.Millis
}

func (a *attempt) remaining() timer.Millis {
	return max(1, a.request.deadline()-a.request.sender.world.now)
}

func (a *attempt) targetLeft() timer.Millis {
	w := a.request.sender.world
	return max(0, a.request.arrived+w.load.Target-w.now)
}

func (a *attempt) answered() {
	a.back(retrier.Answered{Attempt: a.number, Complete: true}, selector.Complete)
}

func (a *attempt) refused(retryAfter timer.Millis) {
	a.back(retrier.NotRun{Attempt: a.number, RetryAfter: retryAfter}, selector.NotRun)
}

func (a *attempt) lost() { a.back(retrier.Unknown{Attempt: a.number}, selector.Unknown) }

// back takes the end of an attempt to its sender.
func (a *attempt) back(event retrier.Event, result selector.Result) {
	s := a.request.sender
	w := s.world
	w.after(w.load.Delay, func() {
		s.policy.Step(w.now, selector.AttemptEnded{
			Instance: a.instance, Latency: time.Duration(w.now-a.sentAt) * time.Millisecond, Result: result,
		})
		a.request.step(event)
	})
}
