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

// maxPending bounds the results of one request that wait to be read. Attempts
// and queries of a request are fewer, so that a result never blocks its sender.
const maxPending = 32

// result is how a request ended at ingress. The response is set for a complete
// answer and belongs to the receiver.
type result struct {
	refusal  encoder.Refusal
	response *fasthttp.Response
}

// sent is one attempt of an exchange.
type sent struct {
	id     identifier.AttemptID
	member tracker.Member
}

// ended is the end of an attempt or of a query.
type ended struct {
	attempt  retrier.Attempt
	event    retrier.Event
	response *fasthttp.Response
}

// exchange runs one request: it performs the actions of its retrier.
type exchange struct {
	ingress *Ingress
	request *request
	ctx     *fasthttp.RequestCtx
	machine *retrier.Retrier
	events  chan ended
	sent    []sent
	tried   []identifier.InstanceID
	wake    *time.Timer
	// answers holds the complete answers by attempt.
	answers map[retrier.Attempt]*fasthttp.Response
}

// run sends a request until it has ended.
func (i *Ingress) run(ctx *fasthttp.RequestCtx, r *request) result {
	stall, hedge := r.route.delays()
	x := &exchange{
		ingress: i, request: r, ctx: ctx, events: make(chan ended, maxPending),
		machine: retrier.New(retrier.Config{
			Deadline: r.deadline, Idempotent: r.idempotent, Keyed: r.keyed,
			MaxAttempts: maxAttempts, StallTimeout: stall, HedgeDelay: hedge,
		}, retrier.Budgets{
			Retries: taker{r.route, r.route.retries},
			Hedges:  taker{r.route, r.route.hedges},
			Queries: taker{r.route, r.route.queries},
		}),
		wake: time.NewTimer(time.Hour),
	}
	defer x.wake.Stop()
	return x.loop()
}

func (x *exchange) loop() result {
	queue := []retrier.Event{retrier.Begin{}}
	for {
		for len(queue) > 0 {
			event := queue[0]
			queue = queue[1:]
			for _, action := range x.machine.Step(x.now(), event) {
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
				x.keep(e)
			}
			queue = append(queue, e.event)
		case <-x.wake.C:
			queue = append(queue, retrier.Timer{})
		}
	}
}

func (x *exchange) now() timer.Millis { return x.ingress.config.Clock.Now() }

func (x *exchange) keep(e ended) {
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

// perform does what an action asks for. It returns an event that follows at
// once, if any.
func (x *exchange) perform(action retrier.Action) retrier.Event {
	switch a := action.(type) {
	case retrier.Send:
		return x.send(a)
	case retrier.Query:
		go x.query(a.Attempt, x.sent[a.Attempt-1])
	case retrier.CancelAttempt:
		// The attempt's connection may have gone silent, and others with it.
		x.ingress.config.Peers.Forwarder(x.sent[a.Attempt-1].member.Peer).CloseIdle()
	case retrier.Wake:
		x.wake.Reset((a.At - x.now()).Duration())
	}
	return nil
}

func (x *exchange) send(action retrier.Send) retrier.Event {
	i, r := x.ingress, x.request
	now := x.now()
	member, wantLoad, found := r.route.pick(now, x.tried)
	id := identifier.AttemptID{Origin: i.config.Incarnation, Sequence: i.sequence.Add(1)}
	x.sent = append(x.sent, sent{id, member})
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
	go x.attempt(action.Attempt, sent{id, member}, request, remaining)
	return nil
}

// attempt sends one attempt and reports its end. It owns the request and the
// response until then, also if the exchange has ended in between.
func (x *exchange) attempt(number retrier.Attempt, s sent, request *fasthttp.Request, remaining timer.Millis) {
	i, route := x.ingress, x.request.route
	response := fasthttp.AcquireResponse()
	started := time.Now()
	status := i.config.Peers.Forwarder(s.member.Peer).Send(request, response, remaining)
	latency := time.Since(started)
	fasthttp.ReleaseRequest(request)
	event, outcome := x.judge(number, s, status, response)
	now := i.config.Clock.Now()
	route.ended(now, s.member.Instance, latency, outcome)
	if status == forwarder.ConnectionRefused {
		i.config.Membership.Step(now, tracker.Refused{Instance: s.member.Instance})
	}
	if refused, isRefusal := event.(retrier.NotRun); isRefusal && takesNothing(refused.Reason) {
		route.eject(now, s.member.Instance)
	}
	if load := response.Header.Peek(encoder.HeaderLoad); len(load) > 0 && status == forwarder.Answered {
		if parsed, err := encoder.ParseLoad(load); err == nil {
			route.report(now, s.member.Instance, parsed)
		}
	}
	if outcome != selector.Complete {
		fasthttp.ReleaseResponse(response)
		response = nil
	}
	x.events <- ended{attempt: number, event: event, response: response}
}

// takesNothing tells whether a refusal means that the instance takes no request
// at all for now, unlike one that is overloaded.
func takesNothing(reason classifier.Reason) bool {
	switch reason {
	case classifier.ConnectionBroken, classifier.Draining, classifier.DomainOut, classifier.Isolated, classifier.Unavailable:
		return true
	}
	return false
}

// judge tells what became of an attempt. An answer counts only if it names the
// attempt, so that a late answer on a reused connection cannot be taken for it.
func (x *exchange) judge(number retrier.Attempt, s sent, status forwarder.Result, response *fasthttp.Response) (retrier.Event, selector.Result) {
	switch status {
	case forwarder.Answered:
		return x.judgeAnswer(number, s, response)
	case forwarder.NotWritten, forwarder.ConnectionRefused:
		return retrier.NotRun{Attempt: number, Reason: classifier.ConnectionBroken}, selector.NotRun
	case forwarder.Incomplete:
		return retrier.Answered{Attempt: number}, selector.Unknown
	case forwarder.TimedOut, forwarder.ConnectionBroken:
	}
	return retrier.Unknown{Attempt: number}, selector.Unknown
}

func (x *exchange) judgeAnswer(number retrier.Attempt, s sent, response *fasthttp.Response) (retrier.Event, selector.Result) {
	header := &response.Header
	if string(header.Peek(encoder.HeaderAttempt)) != s.id.String() {
		x.ingress.config.Logger.Error("answer to another attempt", "instance", s.member.Instance, "attempt", s.id.String())
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

func (x *exchange) query(number retrier.Attempt, s sent) {
	state := x.ingress.config.Peers.Fence(s.member, s.id)
	select {
	case x.events <- ended{event: retrier.FenceResult{Attempt: number, State: state}}:
	default:
		// The exchange has ended or has newer results.
	}
}

// answer writes the end of a request to the caller.
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
