package dispatcher

import (
	"bytes"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/estimator"
	"github.com/magnoliaknot/magnoliaknot/internal/state/orderer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// forward runs a started attempt on the backend server.
func (a *Admission) forward(r *Run, d decision, record admissionEnd) (encoder.Refusal, bool) {
	if a.slowed(r.Attempt.Urgency.Slowdown) {
		a.finish(r, d, admitter.Shed, 0)
		record.reason, record.load = classifier.Slowed, a.Load()
		a.observer.admissionEnded(record)
		return encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.Slowed}, false
	}
	started, before := a.config.Clock.Now(), a.Load()
	call, result := a.send(r, d)
	latency := a.config.Clock.Now() - started
	end := a.classifyResult(r, result)
	if result == exchanger.Streaming {
		end = deliverBody(r, call.Body, end)
	}
	if end.result == admitter.Crashed && !a.unreachable() {
		end.result = admitter.Failed
		a.checkRestarted()
	}
	if end.answered && end.result == admitter.OK {
		a.observeRun(r, before, latency)
	}
	if end.refusal.Outcome != encoder.NotRun && result != exchanger.Aborted {
		a.recordRun(r, before, end.result != admitter.OK, latency)
	}
	a.finish(r, d, end.result, latency)
	record.started, record.result, record.reason = true, end.result, end.refusal.Reason
	record.ran, record.reused, record.streamed = latency, call.Reused, result == exchanger.Streaming
	if end.answered {
		record.status = r.Response.StatusCode()
	}
	a.observer.admissionEnded(record)
	return end.refusal, end.answered
}

// observeRun updates the estimates for later runs and the concurrency limit.
func (a *Admission) observeRun(r *Run, before registrar.Load, took timer.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now, slots := a.config.Clock.Now(), int(a.backend.Slots)
	a.estimator.Observe(now, estimator.Run{
		Route: r.route, Running: int(before.Running), Slots: slots, Duration: took, SlowdownPercent: before.SlowdownPercent,
	})
	if limit := a.estimator.Limit(now, slots); limit != a.limit {
		a.config.Logger.Info("concurrency limit changed because of the effect of runs on each other", "limit", limit, "before", a.limit, "slots", slots)
		a.applyLimits(now)
	}
}

// send sends an attempt once. A reused connection that broke may have delivered
// the request, so a retry is left to the sender's budget.
func (a *Admission) send(r *Run, d decision) (*exchanger.Call, exchanger.Result) {
	id := bytes.Clone(a.config.Dialect.RequestID(&r.Request.Header))
	remaining := d.remaining - (a.config.Clock.Now() - d.at)
	deadline := time.Now().Add(remaining.Duration())
	reuse := nonIdempotentReuse
	if r.Attempt.Urgency.Idempotent {
		reuse = backendIdleTimeout
	}
	call := &exchanger.Call{
		Request: r.Request, Response: r.Response, Deadline: deadline, MaxReuseIdle: reuse,
		BodyLimit: a.config.Bodies.Total, BufferLimit: a.config.Bodies.bufferLimit(r.largeBody),
		Stream: r.Deliver != nil, Memory: r.Memory,
	}
	call.Prepare = func() bool { return a.mayStart(r, d) }
	call.MatchResponse = func(header *fasthttp.ResponseHeader) bool {
		return a.config.Dialect.MatchesRequest(header, id, call.Reused)
	}
	if !r.attach(call) {
		return call, exchanger.NotSent
	}
	return call, a.pool.Do(call)
}

// maxStartDelay bounds the time from the decision to start an attempt to its start,
// apart from a check of the load and the wait for a connection. After a longer one the
// process was paused, and the decision may no longer hold.
const maxStartDelay = 250 * timer.Millis(1)

// mayStart is the last check before an attempt is written to the backend server. A
// decision made before a pause of the process is not carried out.
func (a *Admission) mayStart(r *Run, d decision) bool {
	delay := timer.Resync(a.config.Clock) - d.at
	if delay >= d.remaining || delay > maxStartDelay+backendConnectTimeout+a.config.LoadCheckTimeout {
		a.config.Logger.Warn("start of an attempt given up after a delay", "attempt", r.Attempt.ID.String(), "delay_ms", delay, "remaining_ms", d.remaining)
		return false
	}
	a.mu.Lock()
	backend := a.backend.ID
	r.backendRun = a.notices.run
	a.rollout.lastStart = a.config.Clock.Now()
	a.mu.Unlock()
	a.config.Dialect.SetTarget(&r.Request.Header, backend, d.remaining-delay)
	return true
}

// deliverBody passes on a response as its body arrives. It returns how the run ended,
// which is known only at the end of the body.
func deliverBody(r *Run, body *exchanger.Body, end runEnd) runEnd {
	if !end.answered {
		body.Close()
		return end
	}
	_ = r.Deliver(body) // The body's result says why it failed.
	switch body.Result() {
	case exchanger.TimedOut:
		end.result, end.refusal.Reason = admitter.TimedOut, classifier.Deadline
	case exchanger.Aborted:
		end.result, end.refusal.Reason = admitter.TimedOut, classifier.CallerGone
	case exchanger.Incomplete:
		end.result, end.refusal.Reason = admitter.Failed, classifier.IncompleteAnswer
	case exchanger.Answered, exchanger.Streaming, exchanger.NotSent, exchanger.Expired, exchanger.ConnectionRefused, exchanger.ConnectionBroken, exchanger.NoRoom:
	}
	return end
}

// runEnd is the result of a started attempt.
type runEnd struct {
	result   admitter.Result
	answered bool
	refusal  encoder.Refusal
}

func notRun(result admitter.Result, reason classifier.Reason) runEnd {
	return runEnd{result: result, refusal: encoder.Refusal{Outcome: encoder.NotRun, Reason: reason}}
}

func unknown(result admitter.Result, reason classifier.Reason) runEnd {
	return runEnd{result: result, refusal: encoder.Refusal{Outcome: encoder.Unknown, Reason: reason}}
}

func (a *Admission) classifyResult(r *Run, result exchanger.Result) runEnd {
	switch result {
	case exchanger.Answered, exchanger.Streaming:
		return a.classifyAnswer(r)
	case exchanger.NoRoom:
		return notRun(admitter.Shed, classifier.Overloaded)
	case exchanger.NotSent:
		return notRun(admitter.TimedOut, classifier.ConnectionBroken)
	case exchanger.Expired:
		return notRun(admitter.TimedOut, classifier.Deadline)
	case exchanger.ConnectionRefused:
		a.setDown("connection refused")
		return notRun(admitter.ConnectionRefused, classifier.Unavailable)
	case exchanger.TimedOut, exchanger.Aborted:
		return unknown(admitter.TimedOut, classifier.Deadline)
	case exchanger.ConnectionBroken:
		return unknown(admitter.Crashed, classifier.ConnectionBroken)
	case exchanger.Incomplete:
	}
	return unknown(admitter.Failed, classifier.IncompleteAnswer)
}

func (a *Admission) classifyAnswer(r *Run) runEnd {
	a.recordLoad(&r.Response.Header)
	switch a.config.Dialect.Classify(r.Response) {
	case Declined:
		a.applyNotice(r.backendRun, &r.Response.Header)
		return notRun(admitter.Shed, classifier.Shed)
	case Misdirected:
		a.setMisdirected(r.backendRun)
		return notRun(admitter.Shed, classifier.Unavailable)
	case Untrusted:
		return unknown(admitter.Failed, classifier.IncompleteAnswer)
	case Genuine:
		a.applyNotice(r.backendRun, &r.Response.Header)
	}
	removeHopHeaders(&r.Response.Header, a.config.Dialect.EndToEnd())
	encoder.RemoveOwnHeaders(&r.Response.Header)
	end := runEnd{result: admitter.OK, answered: true}
	if r.Response.StatusCode() >= fasthttp.StatusInternalServerError {
		end.result = admitter.Failed
	}
	return end
}

// recordLoad records the load that came with an answer.
func (a *Admission) recordLoad(header *fasthttp.ResponseHeader) {
	load, found := a.config.Dialect.Load(header)
	if !found {
		return
	}
	a.mu.Lock()
	a.load, a.loadAt = load, a.config.Clock.Now()
	a.mu.Unlock()
}

// setMisdirected handles the answer of another backend server to an attempt for a run. It
// tells nothing of a run that was announced since.
func (a *Admission) setMisdirected(run orderer.Run) {
	a.mu.Lock()
	current := run == a.notices.run
	a.mu.Unlock()
	if current {
		a.setDown("another backend server answered")
	}
}

// setDown makes admission refuse attempts until the next announcement or good
// health answer of the backend server.
func (a *Admission) setDown(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.order.Gone()
	if a.down {
		return
	}
	a.down = true
	a.coldStart.reset()
	a.config.Logger.Warn("backend server cannot be used", "backend", a.backend.ID, "reason", reason)
	a.config.OnChange()
}

func (a *Admission) finish(r *Run, d decision, result admitter.Result, latency timer.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Clock.Now()
	a.quarantine(now, quarantiner.Complete{
		Fingerprint: r.fingerprint, Solo: d.solo, Good: result == admitter.OK || result == admitter.Failed,
	})
	a.step(now, admitter.Complete{Attempt: r.Attempt.ID, Result: result, Latency: latency})
	a.config.OnChange()
}
