package receiver

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/retrier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/selector"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
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
	ctx       *fasthttp.RequestCtx
	retrier   *retrier.Retrier
	events    chan completion
	attempts  []sentAttempt
	tried     []identifier.InstanceID
	wakeTimer *time.Timer
	// answers holds the complete answers by attempt.
	answers map[retrier.Attempt]*fasthttp.Response
}

// run sends the attempts of a request and returns its result.
func (i *Ingress) run(ctx *fasthttp.RequestCtx, r *request) result {
	stall, hedge := r.fleet.delays()
	x := &exchange{
		ingress: i, request: r, ctx: ctx, events: make(chan completion, maxPending),
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
	defer x.wakeTimer.Stop()
	return x.loop()
}

func (x *exchange) loop() result {
	queue := []retrier.Event{retrier.Begin{}}
	for {
		for len(queue) > 0 {
			event := queue[0]
			queue = queue[1:]
			for _, action := range x.retrier.Step(x.now(), event) {
				if finish, done := action.(retrier.Finish); done {
					return x.finish(finish)
				}
				if next := x.perform(action); next != nil {
					queue = append(queue, next)
				}
			}
		}
		select {
		case e := <-x.events:
			if e.response != nil {
				x.storeAnswer(e)
			}
			queue = append(queue, e.event)
		case <-x.wakeTimer.C:
			queue = append(queue, retrier.Timer{})
		}
	}
}

func (x *exchange) now() timer.Millis { return x.ingress.config.Clock.Now() }

func (x *exchange) storeAnswer(e completion) {
	if x.answers == nil {
		x.answers = map[retrier.Attempt]*fasthttp.Response{}
	}
	x.answers[e.attempt] = e.response
}

func (x *exchange) finish(finish retrier.Finish) result {
	switch finish.Outcome {
	case retrier.OutcomeComplete:
		return result{response: x.answers[finish.Attempt]}
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
func (x *exchange) perform(action retrier.Action) retrier.Event {
	switch a := action.(type) {
	case retrier.Send:
		return x.send(a)
	case retrier.Query:
		go x.query(a.Attempt, x.attempts[a.Attempt-1])
	case retrier.CancelAttempt:
		// The daemon may have stopped responding on this and its other connections.
		x.ingress.config.Peers.Forwarder(x.attempts[a.Attempt-1].member.Peer).CloseIdle()
	case retrier.Wake:
		x.wakeTimer.Reset((a.At - x.now()).Duration())
	}
	return nil
}

func (x *exchange) send(action retrier.Send) retrier.Event {
	i, r := x.ingress, x.request
	now := x.now()
	member, wantLoad, found := r.fleet.pick(now, x.tried)
	id := identifier.AttemptID{Origin: i.config.Incarnation, Sequence: i.sequence.Add(1)}
	x.attempts = append(x.attempts, sentAttempt{id, member})
	if !found {
		return retrier.NoInstance{Attempt: action.Attempt}
	}
	x.tried = append(x.tried, member.Instance)
	remaining := r.deadline - now
	request := fasthttp.AcquireRequest()
	x.ctx.Request.CopyTo(request)
	request.Header.Del(fasthttp.HeaderConnection)
	encoder.Attempt{
		ID: id, Remaining: remaining, Version: r.version, Depth: r.depth, WantLoad: wantLoad,
	}.Encode(&request.Header)
	go x.attempt(action.Attempt, sentAttempt{id, member}, request, remaining)
	return nil
}

// attempt sends one attempt and reports its end. It owns the request and the
// response until then, even if the exchange has ended in the meantime.
func (x *exchange) attempt(number retrier.Attempt, s sentAttempt, request *fasthttp.Request, remaining timer.Millis) {
	i, fleet := x.ingress, x.request.fleet
	response := fasthttp.AcquireResponse()
	started := time.Now()
	status := i.config.Peers.Forwarder(s.member.Peer).Send(request, response, remaining)
	latency := time.Since(started)
	fasthttp.ReleaseRequest(request)
	event, outcome := x.classify(number, s, status, response)
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
		fasthttp.ReleaseResponse(response)
		response = nil
	}
	x.events <- completion{attempt: number, event: event, response: response}
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
func (x *exchange) classify(number retrier.Attempt, s sentAttempt, status forwarder.Result, response *fasthttp.Response) (retrier.Event, selector.Result) {
	switch status {
	case forwarder.Answered:
		return x.classifyAnswer(number, s, response)
	case forwarder.NotSent, forwarder.ConnectionRefused:
		return retrier.NotRun{Attempt: number, Reason: classifier.ConnectionBroken}, selector.NotRun
	case forwarder.Incomplete:
		return retrier.Answered{Attempt: number}, selector.Unknown
	case forwarder.TimedOut, forwarder.ConnectionBroken:
	}
	return retrier.Unknown{Attempt: number}, selector.Unknown
}

func (x *exchange) classifyAnswer(number retrier.Attempt, s sentAttempt, response *fasthttp.Response) (retrier.Event, selector.Result) {
	header := &response.Header
	if string(header.Peek(encoder.HeaderAttempt)) != s.id.String() {
		x.ingress.config.Logger.Error("received an answer to another attempt", "instance", s.member.Instance, "attempt", s.id.String())
		x.ingress.config.Peers.Forwarder(s.member.Peer).CloseIdle()
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

func (x *exchange) query(number retrier.Attempt, s sentAttempt) {
	state := x.ingress.config.Peers.Fence(s.member, s.id)
	select {
	case x.events <- completion{event: retrier.FenceResult{Attempt: number, State: state}}:
	default:
		// The exchange has ended or has newer results.
	}
}

// answer writes the result of a request to the caller.
func (i *Ingress) answer(ctx *fasthttp.RequestCtx, r *request, res result) {
	if res.response == nil {
		i.refuse(ctx, r.service.Name, res.refusal)
		return
	}
	res.response.CopyTo(&ctx.Response)
	fasthttp.ReleaseResponse(res.response)
	header := &ctx.Response.Header
	header.Del(encoder.HeaderAttempt)
	header.Del(encoder.HeaderLoad)
	header.ResetConnectionClose()
	i.metrics.count(r.service.Name, encoder.Complete)
}
