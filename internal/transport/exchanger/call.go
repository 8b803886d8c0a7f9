package exchanger

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Result says how far a call got.
type Result int

// Results of a call.
const (
	// Answered means that the response is whole.
	Answered Result = iota
	// NotSent means that no byte of the request was written.
	NotSent
	// ConnectionRefused is NotSent because nobody listens at the address.
	ConnectionRefused
	// ConnectionBroken means that the connection ended before the answer began.
	ConnectionBroken
	// Incomplete means that the answer ended early or is no HTTP.
	Incomplete
	// TimedOut means that the deadline passed after a byte was written.
	TimedOut
	// Aborted means that Abort was called after a byte was written.
	Aborted
)

// Call is one request to a destination.
type Call struct {
	Request  *fasthttp.Request
	Response *fasthttp.Response
	Deadline time.Time
	// MaxReuseIdle bounds how long a connection may have been idle to carry the
	// request. The other end may have dropped an idle one without notice, and a
	// request that may not be repeated is lost with it.
	MaxReuseIdle timer.Millis
	// MatchResponse reports whether an answer is to this request. Others are read and
	// dropped. Nil accepts the first.
	MatchResponse func(*fasthttp.ResponseHeader) bool

	// Reused says that the call went out on a kept connection.
	Reused bool

	mu      sync.Mutex
	conn    *connection
	aborted bool
}

// Abort ends the call by closing its connection. It does not block.
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

// attach ties a connection to the call and reports whether it may go on.
func (c *Call) attach(conn *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return false
	}
	c.conn = conn
	return true
}

// detach frees the connection and reports whether it was aborted before.
func (c *Call) detach() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = nil
	return c.aborted
}
