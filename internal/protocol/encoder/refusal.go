package encoder

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// defaultRetryAfter is the retry hint of a temporary refusal without its own.
const defaultRetryAfter = 200 * timer.Millis(1)

// Refusal is a response that does not come from a backend server.
type Refusal struct {
	Outcome      Outcome           `json:"outcome"`
	Reason       classifier.Reason `json:"reason"`
	RetryAfterMs timer.Millis      `json:"retry_after_ms,omitempty"`
}

// WriteResponse replaces a response with the refusal, as headers and a JSON body.
func (r Refusal) WriteResponse(response *fasthttp.Response) {
	response.Reset()
	response.SetStatusCode(r.Status())
	header := &response.Header
	header.Set(HeaderOutcome, string(r.Outcome))
	header.Set(HeaderReason, string(r.Reason))
	if r.RetryAfterMs == 0 && r.temporary() {
		r.RetryAfterMs = defaultRetryAfter
	}
	if r.Outcome == NotRun && r.RetryAfterMs > 0 {
		header.Set(HeaderRetryAfterMs, strconv.FormatInt(int64(r.RetryAfterMs), 10))
		header.Set(HeaderRetryAfter, strconv.FormatInt(int64((r.RetryAfterMs+timer.Second-1)/timer.Second), 10))
	}
	header.SetContentType("application/json")
	body, _ := json.Marshal(r) // The struct holds only strings and numbers.
	response.SetBody(append(body, '\n'))
}

// Decode reads a refusal from a response's headers; found is false for a
// response of a backend server.
func (r *Refusal) Decode(header *fasthttp.ResponseHeader) (found bool) {
	outcome := Outcome(header.Peek(HeaderOutcome))
	if outcome != NotRun && outcome != Unknown {
		return false
	}
	r.Outcome = outcome
	r.Reason = classifier.Reason(header.Peek(HeaderReason))
	wait, err := strconv.ParseInt(string(header.Peek(HeaderRetryAfterMs)), 10, 64)
	if err == nil && wait > 0 {
		r.RetryAfterMs = timer.Millis(wait)
	}
	return true
}

// temporary reports whether the same request may be accepted shortly after.
func (r Refusal) temporary() bool {
	status := r.Status()
	return r.Outcome == NotRun && (status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests)
}

// Status returns the HTTP status of the refusal.
func (r Refusal) Status() int {
	switch r.Reason {
	case classifier.BadRequest, classifier.KeyRequired:
		return fasthttp.StatusBadRequest
	case classifier.TooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case classifier.HeaderTooLarge:
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case classifier.NoService:
		return fasthttp.StatusNotFound
	case classifier.TooDeep:
		return fasthttp.StatusLoopDetected
	case classifier.KeyMismatch:
		return fasthttp.StatusUnprocessableEntity
	case classifier.KeyInProgress, classifier.KeyAlreadyRun, classifier.OwnerLost:
		return fasthttp.StatusConflict
	case classifier.UnknownKey:
		return fasthttp.StatusUnauthorized
	case classifier.TooManyRequests, classifier.OverQuota:
		return fasthttp.StatusTooManyRequests
	}
	if r.Outcome == Unknown {
		if r.Reason == classifier.Deadline {
			return fasthttp.StatusGatewayTimeout
		}
		return fasthttp.StatusBadGateway
	}
	return fasthttp.StatusServiceUnavailable
}
