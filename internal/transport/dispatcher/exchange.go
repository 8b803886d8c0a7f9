package dispatcher

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/estimator"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/retrier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/state/selector"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// maxPending bounds the results of one request that wait to be read. Attempts of
// a request are fewer, so that a result never blocks its sender.
const maxPending = 32

// request is what ingress knows of a caller's request.
type request struct {
	route    *router.Route
	service  identifier.ServiceName
	fleet    *fleet
	version  identifier.Version
	deadline timer.Millis
	// end collects what the log line of the request says.
	end *requestEnd
}

// attempt is one attempt of an exchange.
type attempt struct {
	number   retrier.Attempt
	id       identifier.AttemptID
	member   registrar.Member
	sentAt   timer.Millis
	loadAge  timer.Millis
	call     *exchanger.Call // Nil for the own instance.
	run      *Run            // Nil for others.
	response *fasthttp.Response
	// reason says for the log why no whole answer came.
	reason classifier.Reason
}

// ended is the end of an attempt.
type ended struct {
	event    retrier.Event
	attempt  retrier.Attempt
	response *fasthttp.Response
	// fault says that the answer reports a fault and another attempt may be made.
	fault bool
}

// exchange runs one request: it performs the actions of its retrier.
type exchange struct {
	ingress  *Ingress
	x        *exchanger.Exchange
	request  *request
	machine  *retrier.Retrier
	events   chan ended
	attempts []*attempt
	tried    []identifier.InstanceID
	wake     *time.Timer
	answers  map[retrier.Attempt]*fasthttp.Response
	// fault is a whole answer that reports a fault of the backend server. It is
	// passed on if no other attempt does better.
	fault *fasthttp.Response
}

func (i *Ingress) exchange(x *exchanger.Exchange, r *request) *exchange {
	return &exchange{
		ingress: i, x: x, request: r, events: make(chan ended, maxPending),
		machine: retrier.New(retrier.Config{
			Deadline: r.deadline, Idempotent: r.route.Idempotent,
			MaxAttempts: r.route.MaxAttempts, FreeRefusals: freeRefusals,
		}, retrier.Budgets{Retries: taker{r.fleet}, Hedges: taker{r.fleet}}),
		wake:    time.NewTimer(time.Hour),
		answers: map[retrier.Attempt]*fasthttp.Response{},
	}
}

// run returns false, and why, if the caller's response holds no answer.
func (e *exchange) run() (encoder.Refusal, bool) {
	defer e.wake.Stop()
	e.x.OnGone(func() { e.events <- ended{event: retrier.CallerGone{}} })
	event := retrier.Event(retrier.Begin{})
	for {
		for event != nil {
			next, finish := e.step(event)
			if finish != nil {
				return e.finish(*finish)
			}
			event = next
		}
		select {
		case end := <-e.events:
			if _, refused := end.event.(retrier.NotRun); refused {
				e.request.end.refused++
			}
			if end.response != nil && end.fault {
				e.fault = end.response
			} else if end.response != nil {
				e.answers[end.attempt] = end.response
			}
			event = end.event
		case <-e.wake.C:
			event = retrier.Timer{}
		}
	}
}

// step passes an event to the retrier. It returns an event that follows at once,
// or the end.
func (e *exchange) step(event retrier.Event) (next retrier.Event, finish *retrier.Finish) {
	for _, action := range e.machine.Step(e.now(), event) {
		switch a := action.(type) {
		case retrier.Send:
			if !e.send(a.Attempt) {
				next = retrier.NoInstance{Attempt: a.Attempt}
			}
		case retrier.CancelAttempt:
			e.cancel(e.attempts[a.Attempt-1])
		case retrier.Wake:
			e.wake.Reset((a.At - e.now()).Duration())
		case retrier.Finish:
			finish = &a
		case retrier.Query: // The retrier has no budget for queries.
		}
	}
	return next, finish
}

func (e *exchange) now() timer.Millis { return e.ingress.config.Clock.Now() }

func (e *exchange) finish(finish retrier.Finish) (encoder.Refusal, bool) {
	e.request.end.attempts += len(e.attempts)
	switch finish.Outcome {
	case retrier.OutcomeComplete:
		e.request.end.instance = string(e.attempts[finish.Attempt-1].member.Node)
		e.answers[finish.Attempt].CopyTo(&e.x.Response)
		return encoder.Refusal{}, true
	case retrier.OutcomeNotRun:
		return encoder.Refusal{Outcome: encoder.NotRun, Reason: finish.Reason, RetryAfterMs: finish.RetryAfter}, false
	case retrier.OutcomeUnknown:
		if e.fault != nil {
			e.fault.CopyTo(&e.x.Response)
			return encoder.Refusal{}, true
		}
	}
	return encoder.Refusal{Outcome: encoder.Unknown, Reason: finish.Reason}, false
}

func (e *exchange) cancel(a *attempt) {
	switch {
	case a.call != nil:
		a.call.Abort()
	case a.run != nil:
		e.ingress.config.Admission.Cancel(a.run)
	}
}

// send starts an attempt and reports false if no instance is left.
func (e *exchange) send(number retrier.Attempt) bool {
	now := e.now()
	member, loadAt, found := e.request.fleet.pick(now, e.tried)
	a := &attempt{number: number, member: member}
	e.attempts = append(e.attempts, a)
	if !found {
		return false
	}
	a.sentAt = now
	a.loadAge = now - loadAt
	e.tried = append(e.tried, member.Node)
	i, route := e.ingress, e.request.route
	a.id = identifier.AttemptID{Origin: i.config.Incarnation, Sequence: i.sequence.Add(1)}
	remaining := e.request.deadline - now
	details := encoder.Attempt{
		ID: a.id, Target: member.Node, Remaining: remaining, Version: e.request.version,
		Urgency: encoder.Urgency{
			Priority: route.Priority, MaxWait: estimator.MaxWait(route.TargetLatency, remaining), Idempotent: route.Idempotent, Slowdown: member.Load.SlowdownPercent,
			TargetLeft: max(0, e.x.ReceivedAt+route.TargetLatency-now),
		},
	}
	request := &fasthttp.Request{}
	e.x.Request.CopyTo(request)
	request.Header.SetNoDefaultContentType(true)
	a.response = &fasthttp.Response{}
	if member.Node == i.config.Self {
		a.run = NewRun(details, request, a.response)
		go e.local(a)
		return true
	}
	details.Encode(&request.Header)
	a.call = &exchanger.Call{
		Request: request, Response: a.response, ReuseWithin: peerIdleTimeout,
		Deadline: time.Now().Add((remaining + answerSlack).Duration()),
	}
	go e.remote(a)
	return true
}

const (
	// answerSlack lets the answer to an attempt that ended at its deadline
	// arrive, so that its connection can be kept.
	answerSlack = 50 * timer.Millis(1)
)

// local runs an attempt on the own instance.
func (e *exchange) local(a *attempt) {
	started := time.Now()
	refusal, answered := e.ingress.config.Admission.Execute(a.run)
	if answered {
		e.ended(a, retrier.Answered{Attempt: a.number, Complete: true}, time.Since(started), selector.Complete)
		return
	}
	e.refused(a, refusal, time.Since(started))
}

// remote sends an attempt to another daemon.
func (e *exchange) remote(a *attempt) {
	started := time.Now()
	result := e.ingress.config.Peers.Pool(a.member.Peer).Do(a.call)
	latency := time.Since(started)
	switch result {
	case exchanger.Answered:
		e.answered(a, latency)
	case exchanger.Refused, exchanger.NotSent:
		e.request.fleet.eject(e.now(), a.member.Node)
		e.ended(a, retrier.NotRun{Attempt: a.number, Reason: classifier.ConnectionBroken}, latency, selector.NotRun)
	case exchanger.Broken, exchanger.Incomplete, exchanger.TimedOut, exchanger.Aborted:
		a.reason = reasonOf(result)
		if result == exchanger.Broken {
			e.request.fleet.eject(e.now(), a.member.Node)
		}
		e.ended(a, retrier.Unknown{Attempt: a.number}, latency, selector.Unknown)
	}
}

// reasonOf names the end of a call that may have run.
func reasonOf(result exchanger.Result) classifier.Reason {
	switch result {
	case exchanger.Incomplete:
		return classifier.IncompleteAnswer
	case exchanger.TimedOut:
		return classifier.Deadline
	case exchanger.Aborted:
		return classifier.Canceled
	case exchanger.Answered, exchanger.NotSent, exchanger.Refused, exchanger.Broken:
	}
	return classifier.ConnectionBroken
}

// answered handles a whole answer of another daemon.
func (e *exchange) answered(a *attempt, latency time.Duration) {
	header := &a.response.Header
	if load, err := decodeLoad(header); err == nil {
		e.request.fleet.report(e.now(), a.member.Node, load)
	}
	header.Del(encoder.HeaderLoad)
	var refusal encoder.Refusal
	if refusal.Decode(header) {
		e.refused(a, refusal, latency)
		return
	}
	e.ended(a, retrier.Answered{Attempt: a.number, Complete: true}, latency, selector.Complete)
}

func (e *exchange) refused(a *attempt, refusal encoder.Refusal, latency time.Duration) {
	a.reason = refusal.Reason
	if refusal.Outcome != encoder.NotRun {
		e.ended(a, retrier.Unknown{Attempt: a.number}, latency, selector.Unknown)
		return
	}
	switch refusal.Reason {
	case classifier.SenderBehind:
		e.ingress.config.OnNewerConfiguration(a.member)
	case classifier.DomainOut, classifier.Unavailable, classifier.Draining:
		e.request.fleet.eject(e.now(), a.member.Node)
	}
	e.ended(a, retrier.NotRun{
		Attempt: a.number, ReachedBackend: refusal.Reason == classifier.Shed,
		Reason: refusal.Reason, RetryAfter: refusal.RetryAfterMs,
	}, latency, selector.NotRun)
}

// observe records the end of an attempt.
func (e *exchange) observe(a *attempt, event retrier.Event) {
	end := attemptEnd{
		request: e.request.end.request, attempt: a.id.String(), number: int(a.number), instance: string(a.member.Node),
		load: a.member.Load, loadAge: a.loadAge, elapsed: e.now() - a.sentAt, result: resultAnswered,
	}
	switch ev := event.(type) {
	case retrier.NotRun:
		end.result, end.reason = resultNotRun, string(ev.Reason)
	case retrier.Unknown:
		end.result, end.reason = resultUnknown, string(a.reason)
	}
	e.ingress.observer.attempted(end)
}

func (e *exchange) ended(a *attempt, event retrier.Event, latency time.Duration, result selector.Result) {
	e.request.fleet.ended(e.now(), a.member.Node, latency, result)
	e.observe(a, event)
	end := ended{event: event, attempt: a.number}
	if result == selector.Complete {
		end.response = a.response
		if e.request.route.Idempotent && a.response.StatusCode() >= fasthttp.StatusInternalServerError {
			end.fault = true
			end.event = retrier.Answered{Attempt: a.number, Complete: false}
		}
	}
	e.events <- end
}
