package exchanger

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Result is the outcome of a call: how far it got.
type Result int

// Results of a call.
const (
	// Answered means that the whole response was read.
	Answered Result = iota
	// Streaming means that the response's head was read and that Call.Body has the body.
	Streaming
	// NotSent means that no byte of the request was written.
	NotSent
	// Expired means that no byte was written because Prepare did not allow it.
	Expired
	// ConnectionRefused means that no byte was written because nothing listens at
	// the address.
	ConnectionRefused
	// ConnectionBroken means that the connection ended before the response began.
	ConnectionBroken
	// Incomplete means that the response ended early, is not valid HTTP or is larger
	// than allowed.
	Incomplete
	// TimedOut means that the deadline passed after a byte was written.
	TimedOut
	// Aborted means that Abort was called after a byte was written.
	Aborted
	// NoRoom means that no byte was written because this process has no memory or no socket
	// left for a connection.
	NoRoom
)

// Call is one request to a destination.
type Call struct {
	Request  *Request
	Response *fasthttp.Response
	Deadline time.Time
	// MaxReuseIdle is the longest idle time after which a connection may be reused
	// for the request. The other end may have dropped an idle connection without
	// notice, and a request that is not idempotent would be lost with it.
	MaxReuseIdle timer.Millis
	// Prepare is called immediately before the request is written, when the wait for a
	// connection is over. It may change the request's headers. If it returns false, the
	// request is not written and the result is Expired. Nil always allows it.
	Prepare func() bool
	// MatchResponse reports whether a response is to this request. Others are read
	// and discarded. Nil accepts the first response. On a connection that was Reused, a
	// response may have been sent before the request.
	MatchResponse func(*fasthttp.ResponseHeader) bool
	// BodyLimit bounds the response's body in bytes. Zero means defaultBodyLimit.
	BodyLimit int64
	// RequireLength makes a response whose end is that of its connection fail.
	RequireLength bool
	// Stream allows the result Streaming for a body of more than BufferLimit bytes, or
	// one that Memory has no room for. Without it, such a body makes the call fail.
	Stream      bool
	BufferLimit int64
	// Memory holds the bytes of the head and of the buffered body of the response. Nil has no
	// bound but BodyLimit.
	Memory *Reservation

	// Body is set if the result is Streaming. It must be read to its end or closed.
	Body *Body
	// Reused reports whether the call was sent on a pooled connection, Unconnected that no
	// connection could be opened.
	Reused, Unconnected bool

	mu      sync.Mutex
	conn    *connection
	aborted bool
}

// defaultBodyLimit is far above the responses of health checks and of queries to
// other daemons.
const defaultBodyLimit = 1 << 20

func (c *Call) bodyLimit() int64 {
	if c.BodyLimit > 0 {
		return c.BodyLimit
	}
	return defaultBodyLimit
}

// Abort ends the call by resetting its connection. It does not block.
func (c *Call) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	if c.conn != nil {
		c.conn.abort()
	}
}

func (c *Call) isAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}

// attach sets the call's connection. It returns false if the call was aborted.
func (c *Call) attach(conn *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return false
	}
	c.conn = conn
	return true
}

// detach clears the call's connection and reports whether the call was aborted.
func (c *Call) detach() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = nil
	return c.aborted
}
