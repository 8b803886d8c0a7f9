package exchanger

import (
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Handler responds to requests. Handle returns when Response is complete; each
// call runs in its own goroutine.
type Handler interface {
	Handle(x *Exchange)
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(x *Exchange)

// Handle calls the function.
func (f HandlerFunc) Handle(x *Exchange) { f(x) }

// Exchange is one request on a connection and its response.
type Exchange struct {
	Request  fasthttp.Request
	Response fasthttp.Response
	// ReceivedAt is the time at which the whole request had been read.
	ReceivedAt timer.Millis
	// Close closes the connection after the response.
	Close bool

	conn *serverConn
	turn chan struct{} // Closed when all earlier exchanges have their response.

	mu           sync.Mutex
	disconnected bool
	onDisconnect []func()
	done         bool // Guarded by the connection's lock.
}

// AwaitTurn waits until all earlier requests of the connection have their
// response. If one of these responses closes the connection, the caller sends the
// later requests again, so a request that is not idempotent must not start earlier.
// AwaitTurn returns false if the caller has disconnected.
func (x *Exchange) AwaitTurn() bool {
	<-x.turn
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.disconnected
}

// giveTurn unblocks AwaitTurn. The connection's lock must be held.
func (x *Exchange) giveTurn() {
	select {
	case <-x.turn:
	default:
		close(x.turn)
	}
}

// OnDisconnect registers a function that is called once when the caller
// disconnects, or immediately if it already has. The function must not block.
func (x *Exchange) OnDisconnect(f func()) {
	x.mu.Lock()
	disconnected := x.disconnected
	if !disconnected {
		x.onDisconnect = append(x.onDisconnect, f)
	}
	x.mu.Unlock()
	if disconnected {
		f()
	}
}

// Disconnected reports whether the caller has disconnected.
func (x *Exchange) Disconnected() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.disconnected
}

// markDisconnected records that the caller has disconnected and returns the
// registered functions for the connection to call.
func (x *Exchange) markDisconnected() []func() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.disconnected = true
	functions := x.onDisconnect
	x.onDisconnect = nil
	return functions
}

func callAll(functions []func()) {
	for _, f := range functions {
		f()
	}
}
