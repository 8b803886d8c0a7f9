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
	Request  Request
	Response fasthttp.Response
	// ReceivedAt is the time at which the whole request had been read.
	ReceivedAt timer.Millis
	// Close closes the connection after the response.
	Close bool

	conn   *serverConn
	memory *Reservation
	turn   chan struct{} // Closed when all earlier exchanges have their response.

	mu           sync.Mutex
	disconnected bool
	onDisconnect []func()
	// The fields below are guarded by the connection's lock.
	done bool
	body *Body
	// settled is closed when the response was written or cannot be written any more.
	// It is nil if nobody waits for that.
	settled  chan struct{}
	writeErr error
}

// errDisconnected is the error of a response whose caller has disconnected.
var errDisconnected = Error.New("the caller has disconnected")

// Memory returns the memory held for the exchange. It is freed after the response.
func (x *Exchange) Memory() *Reservation { return x.memory }

// Deliver sends Response with a body that is passed on as it arrives, in the turn of
// the exchange, and returns after the end of the body. After an error the caller's
// connection is reset, so that the response does not look complete.
func (x *Exchange) Deliver(body *Body) error {
	defer body.Close()
	settled := make(chan struct{})
	x.conn.mu.Lock()
	x.body, x.settled = body, settled
	if !x.conn.isPending(x) {
		x.settle(errDisconnected)
	}
	x.conn.mu.Unlock()
	x.conn.finish(x)
	<-settled
	return x.writeErr
}

// drop ends an exchange that gets no response. The connection's lock must be held.
func (x *Exchange) drop() {
	x.settle(errDisconnected)
	if x.done {
		x.memory.Close() // Otherwise its handler still uses the bodies.
	}
}

// settle ends Deliver. The connection's lock must be held.
func (x *Exchange) settle(err error) {
	if x.settled != nil {
		x.writeErr = err
		close(x.settled)
		x.settled = nil
	}
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
