package dispatcher

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/retrier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/selector"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
)

// BodyLimits bound the bodies of responses, in bytes.
type BodyLimits struct {
	// Buffer is the size up to which a response is read as a whole before it is passed
	// on, so that the request can be sent again if it is truncated. Larger ones are
	// passed on as they arrive.
	Buffer int64
	// Total is the size above which a response is cut.
	Total int64
}

// largeBodyDivisor reduces the buffered size for routes whose responses are usually
// large: buffering them at each hop would delay most of them.
const largeBodyDivisor = 4

func (l BodyLimits) bufferLimit(largeBody bool) int64 {
	if largeBody {
		return l.Buffer / largeBodyDivisor
	}
	return l.Buffer
}

// moveResponse moves a response without copying its body. Its source must not be used
// any more.
func moveResponse(to, from *fasthttp.Response) {
	from.Header.CopyTo(&to.Header)
	to.SkipBody = from.SkipBody
	to.SetBodyRaw(from.Body())
}

// offer hands a response of the own instance to the request and waits until its body
// was passed on or is not wanted.
func (e *exchange) offer(a *attempt, body *exchanger.Body) error {
	a.body = body
	e.announceBody(a, time.Since(a.startedAt))
	<-e.over
	body.Close()
	return nil
}

// announceBody tells the request that the body of a response begins to arrive. No
// other attempt is made after its first byte was passed on.
func (e *exchange) announceBody(a *attempt, latency time.Duration) {
	a.latency = latency
	e.events <- attemptResult{event: retrier.Answered{Attempt: a.number, Complete: true}, attempt: a}
}

// endBody records the end of an attempt whose body was passed on or closed.
func (e *exchange) endBody(a *attempt) {
	result := selector.Complete
	event := retrier.Event(retrier.Answered{Attempt: a.number, Complete: true})
	if end := a.body.Result(); end != exchanger.Answered {
		a.reason = reasonOf(end)
		event = retrier.Unknown{Attempt: a.number}
		result = selector.Unknown
		if end == exchanger.Aborted {
			result = selector.Complete // The caller left; the instance is not at fault.
		}
	}
	e.request.fleet.recordAttemptEnd(e.now(), a.member.Node, a.latency, result)
	e.recordAttempt(a, event)
}

// deliver passes on the body of an attempt's response and records how that ended.
func (e *exchange) deliver(a *attempt) {
	end := e.request.end
	end.streamed = true
	e.x.OnDisconnect(func() { e.cancel(a) })
	if err := e.x.Deliver(a.body); err == nil {
		return
	}
	end.outcome, end.reason = encoder.Unknown, reasonOf(a.body.Result())
	if a.body.Result() == exchanger.Aborted || a.body.Result() == exchanger.Answered {
		end.reason = classifier.CallerGone
	}
}
