package receiver

import (
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/forwarder"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Handle handles one attempt sent by another daemon or by this one.
func (a *Admission) Handle(x *exchanger.Exchange) {
	var attempt encoder.Attempt
	header := &x.Request.Header
	if err := attempt.Decode(header); err != nil {
		a.config.Logger.Warn("attempt with invalid headers refused", "error", err.Error())
		encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.BadRequest}.WriteResponse(&x.Response)
		return
	}
	attempt = a.awaitVersion(attempt)
	fingerprint := identifier.NewFingerprint(string(header.Method()), string(header.RequestURI()), x.Request.Body...)
	d := a.admit(attempt, fingerprint)
	if !d.start {
		d.refusal.WriteResponse(&x.Response)
		x.Response.Header.Set(encoder.HeaderAttempt, attempt.ID.String())
		return
	}
	a.forward(x, attempt, fingerprint, d)
}

func (a *Admission) forward(x *exchanger.Exchange, attempt encoder.Attempt, fingerprint identifier.Fingerprint, d decision) {
	a.mu.Lock()
	backend := a.backend
	a.mu.Unlock()
	started := time.Now()
	request, response := &x.Request, &x.Response
	encoder.RemoveInternalHeaders(&request.Header)
	request.Header.ResetConnectionClose()
	request.Header.Set(encoder.HeaderAttempt, attempt.ID.String())
	request.Header.Set(encoder.HeaderTimeout, strconv.FormatInt(int64(d.remaining), 10))
	call := &exchanger.Call{Request: request, Response: response, Memory: x.Memory()}
	result := backend.Send(call, d.remaining)
	latency := time.Since(started)
	if result == forwarder.Answered && !isAnswerTo(attempt.ID, call) {
		a.config.Logger.Warn("answer of the backend server is not to the attempt", "attempt", attempt.ID.String(), "status", response.StatusCode())
		backend.CloseIdle()
		result = forwarder.Incomplete
	}
	outcome := admitterResult(result, response.StatusCode())
	if outcome == admitter.Crashed && !a.hasCrashed() {
		outcome = admitter.Failed
	}
	if d.solo {
		a.recordSoloEnd(fingerprint, outcome)
	}
	a.finish(attempt, outcome, latency)
	if refusal, refused := refusalOf(result, &response.Header); refused {
		refusal.WriteResponse(response)
	} else {
		a.markComplete(response, attempt)
	}
	response.Header.Set(encoder.HeaderAttempt, attempt.ID.String())
}

// isAnswerTo reports whether an answer of the backend server is to an attempt, as far as can
// be told. An answer that names an attempt is to that one. On a connection that has carried
// other attempts, a statement that nothing ran counts only if it names the attempt: it may be
// one to an earlier attempt, written once more.
func isAnswerTo(id identifier.AttemptID, call *exchanger.Call) bool {
	header := &call.Response.Header
	if echo := header.Peek(encoder.HeaderAttempt); len(echo) > 0 {
		return string(echo) == id.String()
	}
	_, shed := shedOf(header)
	return !shed || !call.Reused
}

// shedOf returns the statement of a backend server that it did not run an attempt, if any.
func shedOf(header *fasthttp.ResponseHeader) (encoder.Refusal, bool) {
	var shed encoder.Refusal
	found := header.StatusCode() == fasthttp.StatusServiceUnavailable && shed.Decode(header) && shed.Outcome == encoder.NotRun
	return shed, found
}

// hasCrashed reports whether the backend server crashed when it broke a connection:
// it refuses a new one or has a new incarnation. A server that closes a single
// connection has not crashed, and its requests are not suspects.
func (a *Admission) hasCrashed() bool {
	a.mu.Lock()
	address, incarnation := a.announcement.Address, a.announcement.Incarnation
	a.mu.Unlock()
	time.Sleep(crashCheckDelay.Duration())
	conn, err := net.DialTimeout("tcp", string(address), crashCheckTimeout.Duration())
	if err != nil {
		return true
	}
	_ = conn.Close() // Opened only to check that connections are accepted.
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.announcement.Incarnation != incarnation
}

// markComplete marks a backend server's answer as complete and adds the load if
// the sender wants it.
func (a *Admission) markComplete(response *fasthttp.Response, attempt encoder.Attempt) {
	header := &response.Header
	header.ResetConnectionClose()
	header.Del(encoder.HeaderReason)
	header.Set(encoder.HeaderOutcome, string(encoder.Complete))
	if attempt.WantLoad && a.config.MeasuringBudget.TakeLoadField(encoder.MaxLoadHeaderBytes) {
		if load, found := a.Load(); found {
			header.Set(encoder.HeaderLoad, load.String())
		}
	}
}

func (a *Admission) finish(attempt encoder.Attempt, result admitter.Result, latency time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Clock.Now()
	a.fencer.Finished(now, attempt.ID)
	if result == admitter.OK {
		a.latency.observe(latency)
	}
	a.step(now, admitter.Complete{Attempt: attempt.ID, Result: result, Latency: timer.FromDuration(latency)})
}

// recordSoloEnd reports the end of a request that ran alone to the quarantiner.
// A crash is reported by the admitter instead.
func (a *Admission) recordSoloEnd(fingerprint identifier.Fingerprint, result admitter.Result) {
	if result == admitter.Crashed {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quarantine(a.config.Clock.Now(), quarantiner.Complete{
		Fingerprint: fingerprint, Solo: true, Good: result == admitter.OK || result == admitter.Failed,
	})
}

func admitterResult(result forwarder.Result, status int) admitter.Result {
	switch result {
	case forwarder.Answered:
		return resultOfStatus(status)
	case forwarder.NotSent:
		return admitter.Shed
	case forwarder.ConnectionRefused:
		return admitter.ConnectionRefused
	case forwarder.TimedOut:
		return admitter.TimedOut
	case forwarder.ConnectionBroken, forwarder.Incomplete:
	}
	return admitter.Crashed
}

func resultOfStatus(status int) admitter.Result {
	switch {
	case status == fasthttp.StatusServiceUnavailable:
		return admitter.Shed
	case status == fasthttp.StatusGatewayTimeout:
		return admitter.TimedOut
	case status >= fasthttp.StatusInternalServerError:
		return admitter.Failed
	}
	return admitter.OK
}

// refusalOf returns the refusal for a result without a complete answer, if any.
// A request is known not to have run if no byte of it was written, or if the
// backend server reports that it shed it.
func refusalOf(result forwarder.Result, header *fasthttp.ResponseHeader) (encoder.Refusal, bool) {
	switch result {
	case forwarder.Answered:
		if shed, found := shedOf(header); found {
			return encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.Shed, RetryAfterMs: shed.RetryAfterMs}, true
		}
		return encoder.Refusal{}, false
	case forwarder.NotSent, forwarder.ConnectionRefused:
		return encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.ConnectionBroken}, true
	case forwarder.TimedOut:
		return encoder.Refusal{Outcome: encoder.Unknown, Reason: classifier.Deadline}, true
	case forwarder.Incomplete:
		return encoder.Refusal{Outcome: encoder.Unknown, Reason: classifier.IncompleteAnswer}, true
	case forwarder.ConnectionBroken:
	}
	return encoder.Refusal{Outcome: encoder.Unknown, Reason: classifier.ConnectionBroken}, true
}
