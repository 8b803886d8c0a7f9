package receiver

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/retrier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/selector"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/forwarder"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// maxPending is the size of an exchange's event buffer. A request has fewer
// attempts and queries, so that sending an event never blocks.
const maxPending = 32

// result is how a request ended at ingress. The response is set for a complete
// answer and belongs to the receiver.
type result struct {
	refusal  encoder.Refusal
	response *fasthttp.Response
}

// sentAttempt is one attempt of an exchange.
type sentAttempt struct {
	id     identifier.AttemptID
	member tracker.Member
}

// completion is the end of an attempt or of a query.
type completion struct {
	attempt  retrier.Attempt
	event    retrier.Event
	response *fasthttp.Response
}

// exchange runs one request: it performs the actions of its retrier.
type exchange struct {
	ingress   *Ingress
	request   *request
	x         *exchanger.Exchange
	retrier   *retrier.Retrier
	events    chan completion
	attempts  []sentAttempt
	tried     []identifier.InstanceID
	wakeTimer *time.Timer
	// answers holds the complete answers by attempt.
	answers map[retrier.Attempt]*fasthttp.Response
}

// run sends the attempts of a request and returns its result.
func (i *Ingress) run(x *exchanger.Exchange, r *request) result {
	stall, hedge := r.fleet.delays()
	e := &exchange{
		ingress: i, request: r, x: x, events: make(chan completion, maxPending),
		retrier: retrier.New(retrier.Config{
			Deadline: r.deadline, Idempotent: r.idempotent, Keyed: r.keyed,
			MaxAttempts: maxAttempts, StallTimeout: stall, HedgeDelay: hedge,
		}, retrier.Budgets{
			Retries: lockedBudget{r.fleet, r.fleet.retries},
			Hedges:  lockedBudget{r.fleet, r.fleet.hedges},
			Queries: lockedBudget{r.fleet, r.fleet.queries},
		}),
		wakeTimer: time.NewTimer(time.Hour),
	}
	defer e.wakeTimer.Stop()
	return e.loop()
}

func (e *exchange) loop() result {
	queue := []retrier.Event{retrier.Begin{}}
	for {
		for len(queue) > 0 {
			event := queue[0]
			queue = queue[1:]
			for _, action := range e.retrier.Step(e.now(), event) {
				if finish, done := action.(retrier.Finish); done {
					return e.finish(finish)
				}
				if next := e.perform(action); next != nil {
					queue = append(queue, next)
				}
			}
		}
		select {
		case end := <-e.events:
			if end.response != nil {
				e.storeAnswer(end)
			}
			queue = append(queue, end.event)
		case <-e.wakeTimer.C:
			queue = append(queue, retrier.Timer{})
		}
	}
}

func (e *exchange) now() timer.Millis { return e.ingress.config.Clock.Now() }

func (e *exchange) storeAnswer(end completion) {
	if e.answers == nil {
		e.answers = map[retrier.Attempt]*fasthttp.Response{}
	}
	e.answers[end.attempt] = end.response
}

func (e *exchange) finish(finish retrier.Finish) result {
	switch finish.Outcome {
	case retrier.OutcomeComplete:
		return result{response: e.answers[finish.Attempt]}
	case retrier.OutcomeNotRun:
		return result{refusal: encoder.Refusal{
			Outcome: encoder.NotRun, Reason: finish.Reason, RetryAfterMs: finish.RetryAfter,
		}}
	case retrier.OutcomeUnknown:
	}
	return result{refusal: encoder.Refusal{Outcome: encoder.Unknown, Reason: finish.Reason}}
}

// perform executes an action. It returns an event that follows immediately, if
// any.
func (e *exchange) perform(action retrier.Action) retrier.Event {
	switch a := action.(type) {
	case retrier.Send:
		return e.send(a)
	case retrier.Query:
		go e.query(a.Attempt, e.attempts[a.Attempt-1])
	case retrier.CancelAttempt:
		// The daemon may have stopped responding on this and its other connections.
		e.ingress.config.Peers.Forwarder(e.attempts[a.Attempt-1].member.Peer).CloseIdle()
	case retrier.Wake:
		e.wakeTimer.Reset((a.At - e.now()).Duration())
	}
	return nil
}

func (e *exchange) send(action retrier.Send) retrier.Event {
	i, r := e.ingress, e.request
	now := e.now()
	if !e.x.Memory().Grow(e.x.Request.HeaderCost()) {
		// Before an instance is picked, since a picked one counts the attempt.
		e.attempts = append(e.attempts, sentAttempt{})
		return retrier.NotRun{Attempt: action.Attempt, Reason: classifier.Overloaded}
	}
	member, wantLoad, found := r.fleet.pick(now, e.tried)
	id := identifier.AttemptID{Origin: i.config.Incarnation, Sequence: i.sequence.Add(1)}
	e.attempts = append(e.attempts, sentAttempt{id, member})
	if !found {
		return retrier.NoInstance{Attempt: action.Attempt}
	}
	e.tried = append(e.tried, member.Instance)
	remaining := r.deadline - now
	request := &exchanger.Request{}
	e.x.Request.CopyTo(request)
	encoder.Attempt{
		ID: id, Remaining: remaining, Version: r.version, Depth: r.depth, WantLoad: wantLoad,
	}.Encode(&request.Header)
	e.x.Memory().Hold()
	go e.attempt(action.Attempt, sentAttempt{id, member}, request, remaining)
	return nil
}

// attempt sends one attempt and reports its end. It owns the request and the
// response until then, even if the exchange has ended in the meantime.
func (e *exchange) attempt(number retrier.Attempt, s sentAttempt, request *exchanger.Request, remaining timer.Millis) {
	defer e.x.Memory().Release()
	i, fleet := e.ingress, e.request.fleet
	response := &fasthttp.Response{}
	started := time.Now()
	status := i.config.Peers.Forwarder(s.member.Peer).Send(
		&exchanger.Call{Request: request, Response: response, Memory: e.x.Memory()}, remaining)
	latency := time.Since(started)
	event, outcome := e.classify(number, s, status, response)
	now := i.config.Clock.Now()
	fleet.recordAttemptEnd(now, s.member.Instance, latency, outcome)
	if status == forwarder.ConnectionRefused {
		i.config.Membership.Step(now, tracker.Refused{Instance: s.member.Instance})
	}
	if refused, isRefusal := event.(retrier.NotRun); isRefusal && refusesAllRequests(refused.Reason) {
		fleet.eject(now, s.member.Instance)
	}
	if load := response.Header.Peek(encoder.HeaderLoad); len(load) > 0 && status == forwarder.Answered {
		if parsed, err := encoder.ParseLoad(load); err == nil {
			fleet.recordLoad(now, s.member.Instance, parsed)
		}
	}
	if outcome != selector.Complete {
		response = nil
	}
	e.events <- completion{attempt: number, event: event, response: response}
}

// refusesAllRequests reports whether a refusal means that the instance currently
// accepts no requests at all, unlike an overloaded one.
func refusesAllRequests(reason classifier.Reason) bool {
	switch reason {
	case classifier.ConnectionBroken, classifier.Draining, classifier.DomainOut, classifier.Isolated, classifier.Unavailable:
		return true
	}
	return false
}

// classify determines the result of an attempt. An answer counts only if it names
// the attempt, so that a late answer to another attempt on a reused connection
// is not mistaken for it.
func (e *exchange) classify(number retrier.Attempt, s sentAttempt, status forwarder.Result, response *fasthttp.Response) (retrier.Event, selector.Result) {
	switch status {
	case forwarder.Answered:
		return e.classifyAnswer(number, s, response)
	case forwarder.NotSent, forwarder.ConnectionRefused:
		return retrier.NotRun{Attempt: number, Reason: classifier.ConnectionBroken}, selector.NotRun
	case forwarder.Incomplete:
		return retrier.Answered{Attempt: number}, selector.Unknown
	case forwarder.TimedOut, forwarder.ConnectionBroken:
	}
	return retrier.Unknown{Attempt: number}, selector.Unknown
}

func (e *exchange) classifyAnswer(number retrier.Attempt, s sentAttempt, response *fasthttp.Response) (retrier.Event, selector.Result) {
	header := &response.Header
	if string(header.Peek(encoder.HeaderAttempt)) != s.id.String() {
		e.ingress.config.Logger.Error("received an answer to another attempt", "instance", s.member.Instance, "attempt", s.id.String())
		e.ingress.config.Peers.Forwarder(s.member.Peer).CloseIdle()
		return retrier.Unknown{Attempt: number}, selector.Unknown
	}
	var refusal encoder.Refusal
	if !refusal.Decode(header) {
		return retrier.Answered{Attempt: number, Complete: true}, selector.Complete
	}
	if refusal.Outcome == encoder.NotRun {
		return retrier.NotRun{
			Attempt: number, Reason: refusal.Reason, RetryAfter: refusal.RetryAfterMs,
		}, selector.NotRun
	}
	return retrier.Unknown{Attempt: number}, selector.Unknown
}

func (e *exchange) query(number retrier.Attempt, s sentAttempt) {
	state := e.ingress.config.Peers.Fence(s.member, s.id)
	select {
	case e.events <- completion{event: retrier.FenceResult{Attempt: number, State: state}}:
	default:
		// The exchange has ended or has newer results.
	}
}

// answer writes the result of a request to the caller.
func (i *Ingress) answer(x *exchanger.Exchange, r *request, res result) {
	if res.response == nil {
		i.refuse(x, r.service.Name, res.refusal)
		return
	}
	res.response.Header.CopyTo(&x.Response.Header)
	x.Response.SkipBody = res.response.SkipBody
	x.Response.SetBodyRaw(res.response.Body())
	header := &x.Response.Header
	header.Del(encoder.HeaderAttempt)
	header.Del(encoder.HeaderLoad)
	header.ResetConnectionClose()
	i.metrics.count(r.service.Name, encoder.Complete)
}
