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

// maxPendingResults is the capacity of a request's result channel. A request has
// fewer attempts, so sending a result never blocks.
const maxPendingResults = 32

// request is a caller's request after its route was found.
type request struct {
	route *router.Route
	// account is the client account of the request; nil if there is none.
	account *router.Account
	// nested says that a backend server calls on behalf of another request.
	nested   bool
	service  identifier.ServiceName
	fleet    *fleet
	version  identifier.Version
	deadline timer.Millis
	// end collects the fields of the request's log line.
	end *requestEnd
}

// attempt is one attempt of an exchange.
type attempt struct {
	number retrier.Attempt
	id     identifier.AttemptID
	member registrar.Member
	// version is the target version of a roll-out that the attempt is for.
	version identifier.ServiceVersion
	sentAt  timer.Millis
	// startedAt is when an attempt on the own instance started.
	startedAt time.Time
	loadAge   timer.Millis
	call      *exchanger.Call // Nil for the own instance.
	run       *Run            // Nil for other instances.
	response  *fasthttp.Response
	// body is set if the response's body is passed on as it arrives.
	body *exchanger.Body
	// latency is the time to the response, or to its head if it has a body.
	latency time.Duration
	// reason is the logged reason why no complete answer came.
	reason classifier.Reason
}

// attemptResult is the end of an attempt.
type attemptResult struct {
	event   retrier.Event
	attempt *attempt // Nil if the event concerns no attempt.
	// fault says that the answer reports a fault and another attempt may be made.
	fault bool
}

// exchange runs one request: it performs the actions of its retrier.
type exchange struct {
	ingress   *Ingress
	x         *exchanger.Exchange
	request   *request
	retrier   *retrier.Retrier
	events    chan attemptResult
	attempts  []*attempt
	tried     []identifier.InstanceID
	wakeTimer *time.Timer
	// over is closed when the request has ended, so that no body is wanted any more.
	over chan struct{}
	// fault is a complete answer that reports a fault of the backend server. It is
	// passed on if no other attempt gets a better one.
	fault *fasthttp.Response
}

func (i *Ingress) exchange(x *exchanger.Exchange, r *request) *exchange {
	return &exchange{
		ingress: i, x: x, request: r, events: make(chan attemptResult, maxPendingResults),
		retrier: retrier.New(retrier.Config{
			Deadline: r.deadline, Idempotent: r.route.Idempotent,
			MaxAttempts: r.route.MaxAttempts, FreeRefusals: freeRefusals,
		}, retrier.Budgets{Retries: lockedBudget{r.fleet}, Hedges: lockedBudget{r.fleet}}),
		wakeTimer: time.NewTimer(time.Hour),
		over:      make(chan struct{}),
	}
}

// run performs the request. It returns false and a refusal if the caller's
// response holds no answer.
func (e *exchange) run() (encoder.Refusal, bool) {
	defer e.wakeTimer.Stop()
	defer close(e.over)
	e.x.OnDisconnect(func() { e.events <- attemptResult{event: retrier.CallerGone{}} })
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
			if end.fault {
				e.fault = end.attempt.response
			}
			event = end.event
		case <-e.wakeTimer.C:
			event = retrier.Timer{}
		}
	}
}

// step passes an event to the retrier. It returns the event to handle next, or
// the end of the request.
func (e *exchange) step(event retrier.Event) (next retrier.Event, finish *retrier.Finish) {
	for _, action := range e.retrier.Step(e.now(), event) {
		switch a := action.(type) {
		case retrier.Send:
			if !e.send(a.Attempt) {
				next = retrier.NoInstance{Attempt: a.Attempt}
			}
		case retrier.CancelAttempt:
			e.cancel(e.attempts[a.Attempt-1])
		case retrier.Wake:
			e.wakeTimer.Reset((a.At - e.now()).Duration())
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
		a := e.attempts[finish.Attempt-1]
		e.request.end.instance = string(a.member.Node)
		moveResponse(&e.x.Response, a.response)
		if a.body != nil {
			e.deliver(a)
		}
		return encoder.Refusal{}, true
	case retrier.OutcomeNotRun:
		return encoder.Refusal{Outcome: encoder.NotRun, Reason: finish.Reason, RetryAfterMs: finish.RetryAfter}, false
	case retrier.OutcomeUnknown:
		if e.fault != nil {
			moveResponse(&e.x.Response, e.fault)
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
	if !e.x.Memory().Grow(e.x.Request.HeaderCost()) {
		// Before an instance is picked, since a picked one counts the attempt.
		e.attempts = append(e.attempts, &attempt{number: number})
		e.events <- attemptResult{event: retrier.NotRun{Attempt: number, Reason: classifier.Overloaded, RetryAfter: NoRoomRetryAfter}}
		return true
	}
	picked, found := e.request.fleet.pick(now, e.tried)
	member := picked.member
	a := &attempt{number: number, member: member, version: picked.version}
	e.attempts = append(e.attempts, a)
	if !found {
		return false
	}
	a.sentAt = now
	a.loadAge = now - picked.loadAt
	e.tried = append(e.tried, member.Node)
	i, route := e.ingress, e.request.route
	a.id = identifier.AttemptID{Origin: identifier.Incarnation(i.incarnation.Load()), Sequence: i.sequence.Add(1)}
	remaining := e.request.deadline - now
	details := encoder.Attempt{
		ID: a.id, Target: member.Node, TargetVersion: picked.version, Remaining: remaining, Version: e.request.version,
		Urgency: encoder.Urgency{
			Priority: e.request.account.Rank(route), MaxWait: estimator.MaxWait(route.TargetLatency, remaining), Idempotent: route.Idempotent, Slowdown: member.Load.SlowdownPercent,
			TargetRemaining: max(0, e.x.ReceivedAt+route.TargetLatency-now),
			Account:         accountHash(e.request.account), Nested: e.request.nested,
		},
	}
	request := &exchanger.Request{}
	e.x.Request.CopyTo(request)
	a.response = &fasthttp.Response{}
	e.x.Memory().Hold()
	if member.Node == i.config.Self {
		a.run = NewRun(details, request, a.response)
		a.run.Memory = e.x.Memory()
		a.run.Deliver = func(body *exchanger.Body) error { return e.offer(a, body) }
		go e.local(a)
		return true
	}
	details.Encode(&request.Header)
	id := details.ID.String()
	a.call = &exchanger.Call{
		Request: request, Response: a.response, MaxReuseIdle: peerIdleTimeout,
		Deadline:  time.Now().Add((remaining + answerSlack).Duration()),
		BodyLimit: i.config.Bodies.Total, BufferLimit: i.config.Bodies.bufferLimit(route.LargeBody),
		Stream: true, Memory: e.x.Memory(),
		Prepare: func() bool { return e.mayWrite(a, details, request) },
	}
	a.call.MatchResponse = func(header *fasthttp.ResponseHeader) bool { return matchesAttempt(header, id, a.call.Reused) }
	go e.remote(a)
	return true
}

// matchesAttempt reports whether a response is to an attempt. Daemons of earlier versions do
// not name the attempt, nor does one that could not read it and closes the connection; other
// refusals without it count on new connections only.
func matchesAttempt(header *fasthttp.ResponseHeader, id string, reused bool) bool {
	if echo := header.Peek(encoder.HeaderAttempt); len(echo) > 0 {
		return string(echo) == id
	}
	var refusal encoder.Refusal
	return !reused || header.ConnectionClose() || !refusal.Decode(header)
}

// mayWrite is the last check before an attempt is written to another daemon. The time
// left is that of this moment, since the connection may have taken a while or the
// process may have been paused.
func (e *exchange) mayWrite(a *attempt, details encoder.Attempt, request *exchanger.Request) bool {
	now := timer.Resync(e.ingress.config.Clock)
	if now >= e.request.deadline {
		return false
	}
	if now > a.sentAt {
		details.Remaining = e.request.deadline - now
		details.Encode(&request.Header)
	}
	return true
}

const (
	// answerSlack lets the answer to an attempt that ended at its deadline
	// arrive, so that its connection can be kept.
	answerSlack = 50 * timer.Millis(1)
	// NoRoomRetryAfter is told to callers whose request finds no memory: about the time that
	// most requests hold theirs.
	NoRoomRetryAfter = 200 * timer.Millis(1)
)

// local runs an attempt on the own instance.
func (e *exchange) local(a *attempt) {
	defer e.x.Memory().Release()
	a.startedAt = time.Now()
	refusal, answered := e.ingress.config.Admission.Execute(a.run)
	switch {
	case a.body != nil:
		e.endBody(a)
	case answered:
		e.endAttempt(a, retrier.Answered{Attempt: a.number, Complete: true}, time.Since(a.startedAt), selector.Complete)
	default:
		e.handleRefusal(a, refusal, time.Since(a.startedAt))
	}
}

// remote sends an attempt to another daemon.
func (e *exchange) remote(a *attempt) {
	defer e.x.Memory().Release()
	started := time.Now()
	result := e.ingress.config.Peers.Pool(a.member.Peer).Do(a.call)
	latency := time.Since(started)
	switch result {
	case exchanger.Answered:
		e.handleAnswer(a, latency)
	case exchanger.Streaming:
		a.body = a.call.Body
		e.handleAnswer(a, latency)
		if a.body == nil {
			return
		}
		<-e.over
		a.body.Close()
		e.endBody(a)
	case exchanger.Expired:
		e.endAttempt(a, retrier.NotRun{Attempt: a.number, Reason: classifier.Deadline}, latency, selector.NotRun)
	case exchanger.NoRoom:
		e.endAttempt(a, retrier.NotRun{Attempt: a.number, Reason: classifier.Overloaded, RetryAfter: NoRoomRetryAfter}, latency, selector.NotRun)
	case exchanger.ConnectionRefused, exchanger.NotSent:
		e.request.fleet.eject(e.now(), a.member.Node)
		e.endAttempt(a, retrier.NotRun{Attempt: a.number, Reason: classifier.ConnectionBroken}, latency, selector.NotRun)
	case exchanger.ConnectionBroken, exchanger.Incomplete, exchanger.TimedOut, exchanger.Aborted:
		a.reason = reasonOf(result)
		if result == exchanger.ConnectionBroken {
			e.request.fleet.eject(e.now(), a.member.Node)
		}
		e.endAttempt(a, retrier.Unknown{Attempt: a.number}, latency, selector.Unknown)
	}
}

// reasonOf returns the reason for a call that got no complete answer and may have
// run.
func reasonOf(result exchanger.Result) classifier.Reason {
	switch result {
	case exchanger.Incomplete:
		return classifier.IncompleteAnswer
	case exchanger.TimedOut:
		return classifier.Deadline
	case exchanger.Aborted:
		return classifier.Canceled
	case exchanger.Answered, exchanger.Streaming, exchanger.NotSent, exchanger.Expired, exchanger.ConnectionRefused, exchanger.ConnectionBroken, exchanger.NoRoom:
	}
	return classifier.ConnectionBroken
}

// handleAnswer handles a complete answer of another daemon.
func (e *exchange) handleAnswer(a *attempt, latency time.Duration) {
	header := &a.response.Header
	if load, err := decodeLoad(header); err == nil {
		e.request.fleet.recordLoad(e.now(), a.member.Node, load)
	}
	header.Del(encoder.HeaderLoad)
	header.Del(encoder.HeaderAttempt)
	var refusal encoder.Refusal
	if refusal.Decode(header) {
		if a.body != nil {
			a.body.Close()
			a.body = nil
		}
		e.handleRefusal(a, refusal, latency)
		return
	}
	if a.body != nil {
		e.announceBody(a, latency)
		return
	}
	e.endAttempt(a, retrier.Answered{Attempt: a.number, Complete: true}, latency, selector.Complete)
}

func (e *exchange) handleRefusal(a *attempt, refusal encoder.Refusal, latency time.Duration) {
	a.reason = refusal.Reason
	if refusal.Outcome != encoder.NotRun {
		e.endAttempt(a, retrier.Unknown{Attempt: a.number}, latency, selector.Unknown)
		return
	}
	switch refusal.Reason {
	case classifier.SenderBehind:
		e.ingress.config.OnNewerConfiguration(a.member)
	case classifier.VersionNotInService:
		e.ingress.config.OnNewerConfiguration(a.member)
		e.request.fleet.eject(e.now(), a.member.Node)
	case classifier.DomainOut, classifier.Unavailable, classifier.Draining:
		e.request.fleet.eject(e.now(), a.member.Node)
	}
	e.endAttempt(a, retrier.NotRun{
		Attempt: a.number, ReachedBackend: refusal.Reason == classifier.Shed,
		Reason: refusal.Reason, RetryAfter: refusal.RetryAfterMs,
	}, latency, selector.NotRun)
}

// recordVersion records how an attempt for the target version of a roll-out ended. The
// daemon stops sending to a version that it sees failing, without asking others.
func (e *exchange) recordVersion(a *attempt, result selector.Result) {
	if a.version == "" || result == selector.NotRun || a.reason == classifier.Canceled {
		return
	}
	failed := result == selector.Unknown || a.response.StatusCode() >= fasthttp.StatusInternalServerError
	if e.request.fleet.recordVersion(a.version, failed) {
		e.ingress.config.Logger.Warn("no more requests are sent to a failing version", "service", e.request.service, "version", a.version)
	}
}

// recordAttempt records the end of an attempt.
func (e *exchange) recordAttempt(a *attempt, event retrier.Event) {
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
	e.ingress.observer.attemptEnded(end)
}

func (e *exchange) endAttempt(a *attempt, event retrier.Event, latency time.Duration, result selector.Result) {
	e.recordVersion(a, result)
	e.request.fleet.recordAttemptEnd(e.now(), a.member.Node, latency, result)
	e.recordAttempt(a, event)
	end := attemptResult{event: event, attempt: a}
	if result == selector.Complete && e.request.route.Idempotent && a.response.StatusCode() >= fasthttp.StatusInternalServerError {
		end.fault = true
		end.event = retrier.Answered{Attempt: a.number, Complete: false}
	}
	e.events <- end
}
