package exchanger

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// maxPipelined bounds the requests of a connection that are read ahead of
	// their answers. Further bytes stay in the socket.
	maxPipelined = 16
	// writeTimeout ends a connection whose caller does not read its answer.
	writeTimeout = 5 * timer.Second
	// lingerTimeout bounds the wait for the caller's end after the last answer.
	// Closing with unread bytes resets a connection and may cost the answer; a
	// request that crossed it must not be held for longer than a round trip or two.
	lingerTimeout = 150 * timer.Millis(1)
	writeBuffer   = 4 << 10
)

var (
	closedTurn   = func() chan struct{} { c := make(chan struct{}); close(c); return c }()
	continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")
	writers      = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}
)

// serverConn is a caller's connection. One goroutine reads it; answers are
// written in the order of the requests by whoever completes the first of them.
type serverConn struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	limits Limits

	mu      sync.Mutex
	pending []*Exchange
	writing bool
	reading bool // A request has begun to arrive.
	closed  bool // No further request is taken.
	space   *sync.Cond
}

func newServerConn(server *Server, conn net.Conn) *serverConn {
	limits := server.config.Limits()
	c := &serverConn{server: server, conn: conn, limits: limits, reader: bufio.NewReaderSize(conn, limits.HeaderBytes)}
	c.space = sync.NewCond(&c.mu)
	return c
}

// run reads requests until the connection ends.
func (c *serverConn) run() {
	defer c.end()
	for {
		if !c.awaitRequest() {
			if !c.isClosed() {
				return // The caller ended it, or it was idle for too long.
			}
			break
		}
		x := &Exchange{conn: c, turn: closedTurn}
		if problem, ok := c.read(x); !ok {
			if problem != nil {
				c.reject(x, *problem)
			}
			return
		}
		x.ReceivedAt = c.server.config.Clock.Now()
		last := x.Request.Header.ConnectionClose() || !x.Request.Header.IsHTTP11()
		x.Close = last
		if !c.push(x) {
			break // It crossed the last answer and counts as unread.
		}
		go c.handle(x)
		if last {
			break
		}
	}
	c.drain()
}

// awaitRequest waits for the first byte of a request. A connection with a request
// in flight is not idle.
func (c *serverConn) awaitRequest() bool {
	for {
		c.setReadTimeout(c.limits.IdleTimeout)
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.begin()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.idle() {
			return false
		}
	}
}

// begin notes that a request arrives, so that the connection is not closed as idle.
func (c *serverConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	return !c.closed
}

// isClosed reports whether the last answer was written or is being written.
func (c *serverConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *serverConn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0 || c.closed
}

// read reads a whole request. The problem is nil if the connection has ended.
func (c *serverConn) read(x *Exchange) (*Problem, bool) {
	c.setReadTimeout(c.limits.HeaderTimeout)
	header := &x.Request.Header
	header.SetNoDefaultContentType(true)
	if err := header.Read(c.reader); err != nil {
		return readProblem(err), false
	}
	if ambiguous(header) {
		return problem(Malformed), false
	}
	if header.ContentLength() > c.limits.BodyBytes {
		return problem(BodyTooLarge), false
	}
	if x.Request.MayContinue() {
		if !c.sendContinue() {
			return nil, false
		}
		header.Del(fasthttp.HeaderExpect)
	}
	if err := x.Request.ContinueReadBody(c.reader, c.limits.BodyBytes, false); err != nil {
		if errors.Is(err, fasthttp.ErrBodyTooLarge) {
			return problem(BodyTooLarge), false
		}
		return readProblem(err), false
	}
	return nil, true
}

func problem(p Problem) *Problem { return &p }

// readProblem tells a request that is wrong from a connection that has ended.
func readProblem(err error) *Problem {
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		return problem(HeaderTooLarge)
	}
	var network net.Error
	if errors.As(err, &network) || isEnd(err) {
		return nil
	}
	return problem(Malformed)
}

// ambiguous reports a request whose end two readers could see at different
// places (RFC 9112, section 6.1).
func ambiguous(header *fasthttp.RequestHeader) bool {
	return header.ContentLength() == -1 && hasRawContentLength(header.RawHeaders())
}

// sendContinue writes the interim answer unless earlier answers are due.
func (c *serverConn) sendContinue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) > 0 {
		return true
	}
	c.setWriteTimeout()
	_, err := c.conn.Write(continueLine)
	return err == nil
}

func (c *serverConn) push(x *Exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) >= maxPipelined && !c.closed {
		c.space.Wait()
	}
	if c.closed {
		return false
	}
	if len(c.pending) > 0 {
		x.turn = make(chan struct{})
	}
	c.pending = append(c.pending, x)
	c.reading = false
	return true
}

func (c *serverConn) handle(x *Exchange) {
	c.server.config.Handler.Handle(x)
	c.finish(x)
}

func (c *serverConn) reject(x *Exchange, problem Problem) {
	c.server.config.Reject(&x.Response, problem)
	x.Close = true
	if c.push(x) {
		c.finish(x)
		c.drain()
	}
}

// finish writes every answer that is due, in order.
func (c *serverConn) finish(x *Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.done = true
	if c.writing {
		return
	}
	c.writing = true
	for len(c.pending) > 0 && c.pending[0].done && !c.closed {
		head := c.pending[0]
		// Requests that were read behind it run already and are answered first.
		last := head.Close || c.server.closing.Load() && len(c.pending) == 1 && !c.reading
		c.closed = last
		c.mu.Unlock()
		written := c.write(head, last)
		c.mu.Lock()
		c.pending = c.pending[1:]
		c.closed = c.closed || !written
		if len(c.pending) > 0 && !c.closed {
			c.pending[0].giveTurn()
		}
		c.space.Signal()
	}
	c.writing = false
	if c.closed {
		c.abandon()
	}
}

// write sends an answer, the last one if so told, and reports whether it could.
func (c *serverConn) write(x *Exchange, last bool) bool {
	if last {
		x.Response.SetConnectionClose()
	}
	x.Response.Header.SetNoDefaultContentType(true)
	c.setWriteTimeout()
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(c.conn)
	err := x.Response.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	if err != nil {
		_ = c.conn.Close() // The reader ends with it.
		return false
	}
	if !last {
		return true
	}
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // The caller sees the end; a failed connection ends anyway.
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout.Duration()))
	return true
}

// abandon tells the requests behind the last answer that nobody waits for them.
// The caller holds the lock.
func (c *serverConn) abandon() {
	for _, x := range c.pending {
		// The turn comes last, so that a handler that waits for it sees the end.
		go call(x.hangUp())
		x.giveTurn()
	}
	c.pending = nil
	c.space.Broadcast()
}

// drain discards what comes after the last request, until the caller's end.
func (c *serverConn) drain() {
	for {
		closed := c.isClosed()
		if !closed {
			c.setReadTimeout(c.limits.IdleTimeout)
		}
		_, err := c.reader.Discard(1)
		if err != nil && (closed || !errors.Is(err, os.ErrDeadlineExceeded) || c.idle()) {
			return
		}
	}
}

// end closes the connection and tells the requests in flight.
func (c *serverConn) end() {
	c.mu.Lock()
	c.closed = true
	pending := c.pending
	if !c.writing {
		c.pending = nil
	}
	c.space.Broadcast()
	var functions []func()
	for _, x := range pending {
		functions = append(functions, x.hangUp()...)
		x.giveTurn()
	}
	c.mu.Unlock()
	_ = c.conn.Close() // Nothing is read or written after this.
	call(functions)
	c.server.remove(c)
}

// closeIdle ends the connection if no request waits for its answer.
func (c *serverConn) closeIdle() bool {
	c.mu.Lock()
	// A request that has arrived and was not read yet is served first.
	idle := len(c.pending) == 0 && !c.reading && !c.hasInput()
	if idle {
		c.closed = true
	}
	c.mu.Unlock()
	if idle {
		_ = c.conn.Close() // The reader ends with it.
	}
	return idle
}

// hasInput reports whether bytes, or the end, have arrived and were not read.
func (c *serverConn) hasInput() bool {
	source, ok := c.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	return err == nil && PeerClosed(raw)
}

func (c *serverConn) setReadTimeout(timeout timer.Millis) {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout.Duration())) // Fails only on a closed connection.
}

func (c *serverConn) setWriteTimeout() {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout.Duration())) // Fails only on a closed connection.
}
