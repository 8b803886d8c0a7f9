package exchanger

import (
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Handler answers requests. Handle returns when Response is complete; it runs on
// a goroutine of its own.
type Handler interface {
	Handle(x *Exchange)
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(x *Exchange)

// Handle calls the function.
func (f HandlerFunc) Handle(x *Exchange) { f(x) }

// Exchange is one request on a connection and its answer.
type Exchange struct {
	Request  fasthttp.Request
	Response fasthttp.Response
	// ReceivedAt is when the whole request had been read.
	ReceivedAt timer.Millis
	// Close closes the connection after the answer.
	Close bool

	conn *serverConn
	turn chan struct{} // Closed when the exchange is the first without an answer.

	mu     sync.Mutex
	gone   bool
	onGone []func()
	done   bool // Guarded by the connection's lock.
}

// AwaitTurn waits until every earlier request of the connection was answered. A
// request behind an answer that closes the connection is sent again by the
// caller, so one that may not be repeated must not start before. It returns
// false if the caller has gone.
func (x *Exchange) AwaitTurn() bool {
	<-x.turn
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.gone
}

// giveTurn ends AwaitTurn. The caller holds the connection's lock.
func (x *Exchange) giveTurn() {
	select {
	case <-x.turn:
	default:
		close(x.turn)
	}
}

// OnDisconnect calls a function once when the caller hangs up, at once if it has. The
// function must not block.
func (x *Exchange) OnDisconnect(f func()) {
	x.mu.Lock()
	gone := x.gone
	if !gone {
		x.onGone = append(x.onGone, f)
	}
	x.mu.Unlock()
	if gone {
		f()
	}
}

// Disconnected reports whether the caller has hung up.
func (x *Exchange) Disconnected() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gone
}

// hangUp notes that the caller has gone and returns the functions of OnDisconnect that
// are to be called.
func (x *Exchange) hangUp() []func() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gone = true
	functions := x.onGone
	x.onGone = nil
	return functions
}

func call(functions []func()) {
	for _, f := range functions {
		f()
	}
}
