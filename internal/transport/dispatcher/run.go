package dispatcher

import (
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/orderer"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Run is one attempt at admission. It owns its request and response until
// Execute returns.
type Run struct {
	Attempt  encoder.Attempt
	Request  *exchanger.Request
	Response *fasthttp.Response
	// Memory holds the bytes of the buffered response.
	Memory *exchanger.Reservation
	// Deliver passes on Response with a body that is read as it arrives. It returns
	// after the body has ended or is no longer wanted. If it is nil, responses are
	// buffered as a whole.
	Deliver func(body *exchanger.Body) error

	fingerprint identifier.Fingerprint
	// route is the name of the route in this daemon's configuration.
	route string
	// largeBody is taken from that route.
	largeBody bool
	decided   chan decision
	// backendRun is the run of the backend server to which the attempt was written.
	backendRun orderer.Run

	mu       sync.Mutex
	call     *exchanger.Call
	canceled bool
}

// NewRun returns an attempt that has not been executed yet.
func NewRun(attempt encoder.Attempt, request *exchanger.Request, response *fasthttp.Response) *Run {
	return &Run{Attempt: attempt, Request: request, Response: response, decided: make(chan decision, 1)}
}

// decision is admission's answer to an attempt.
type decision struct {
	start bool
	// solo says that no other attempt runs at the same time.
	solo bool
	// at is the time of the decision, remaining the time left for the run from then on.
	at        timer.Millis
	remaining timer.Millis
	refusal   encoder.Refusal
}

// attach registers the call to the backend server with the run. It returns false
// if the run was canceled.
func (r *Run) attach(call *exchanger.Call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.canceled {
		return false
	}
	r.call = call
	return true
}

// cancel aborts the call to the backend server and prevents further ones.
func (r *Run) cancel() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.canceled = true
	if r.call != nil {
		r.call.Abort()
	}
}
