package adapter

import (
	"net/http"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
)

// Error is the class of errors of this package.
var Error = errs.Class("adapter")

// responseWriter collects a response. Its memory is counted before it is taken.
type responseWriter struct {
	exchange *exchanger.Exchange
	header   http.Header
	status   int
	// reserved is the size of the body that is counted.
	reserved int64
	failed   bool
}

var _ http.ResponseWriter = (*responseWriter)(nil)

// Header returns the header of the response.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader sets the status.
func (w *responseWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// minGrowth is the least memory that is reserved for a body at a time.
const minGrowth = 4 << 10

// Write appends to the body. It fails if there is no memory left.
func (w *responseWriter) Write(data []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	response := &w.exchange.Response
	size := int64(len(response.Body()) + len(data))
	if size > w.reserved && !w.failed {
		grown := max(2*size, minGrowth) // The buffer may be larger than the body.
		w.failed = !w.exchange.Memory().Grow(grown)
		w.reserved = grown
	}
	if w.failed {
		return 0, Error.New("no memory is left for the response")
	}
	response.AppendBody(data)
	return len(data), nil
}

// finish completes the response after the handler has returned.
func (w *responseWriter) finish() {
	response := &w.exchange.Response
	if w.failed {
		response.Reset()
		response.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
	response.SetStatusCode(w.status)
	for name, values := range w.header {
		for _, value := range values {
			response.Header.Add(name, value)
		}
	}
}
