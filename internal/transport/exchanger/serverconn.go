package exchanger

import (
	"bufio"
	"container/list"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// maxPipelined bounds the requests of a connection that are read before the
	// first of them has its response. Further bytes stay in the socket buffer.
	maxPipelined = 16
	// writeTimeout closes a connection whose caller does not read the response.
	writeTimeout = 5 * timer.Second
	// lingerTimeout bounds the wait for the caller to close after the last response.
	// Closing with unread bytes resets the connection and may lose the response; a
	// request sent meanwhile must not be held for longer than a round trip or two.
	lingerTimeout = 150 * timer.Millis(1)
	// maxDrained bounds the bytes that are read after the last request.
	maxDrained  = 4 << 20
	writeBuffer = 4 << 10
)

var (
	closedTurn   = func() chan struct{} { c := make(chan struct{}); close(c); return c }()
	continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")
	writers      = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}
)

// serverConn is a caller's connection. One goroutine reads it. Responses are
// written in the order of the requests, by the goroutine that completes the oldest
// pending one.
type serverConn struct {
	server   *Server
	conn     net.Conn
	reader   *input
	limits   Limits
	openedAt time.Time
	// memory holds the cost of the connection.
	memory *Reservation
	// place is the position among the waiting connections since waitingSince; nil if it is
	// not one. The server's lock guards them.
	place        *list.Element
	waitingSince time.Time

	mu      sync.Mutex
	pending []*Exchange
	writing bool
	reading bool // A request has begun to arrive.
	arrived bool // The head of that request has arrived.
	closed  bool // No further request is accepted.
	notFull *sync.Cond
}

func newServerConn(server *Server, conn net.Conn, memory *Reservation) *serverConn {
	limits := server.config.Limits()
	c := &serverConn{
		server: server, conn: conn, limits: limits, openedAt: time.Now(), memory: memory,
		reader: newInput(conn, limits.HeaderBytes, memory),
	}
	c.notFull = sync.NewCond(&c.mu)
	return c
}

// wait makes the connection the last of the waiting ones. The server's lock must be held.
func (c *serverConn) wait() { c.place, c.waitingSince = c.server.waiting.PushBack(c), time.Now() }

// run reads requests until the connection ends.
func (c *serverConn) run() {
	defer c.terminate()
	for {
		if !c.awaitRequest() {
			if !c.isClosed() {
				return // The caller closed it, or the idle timeout passed.
			}
			break
		}
		x := &Exchange{conn: c, turn: closedTurn, memory: c.server.config.Memory.NewReservation()}
		problem, ok := c.read(x)
		c.reader.reduce()
		if !ok {
			if problem != nil {
				c.reject(x, *problem)
			}
			x.memory.Close()
			return
		}
		x.ReceivedAt = c.server.config.Clock.Now()
		last := x.Request.Header.ConnectionClose() || !x.Request.Header.IsHTTP11() || c.aged()
		x.Close = last
		if !c.enqueue(x) {
			x.memory.Close()
			break // It arrived after the last response was started and is discarded.
		}
		go c.handle(x)
		if last {
			break
		}
	}
	c.drain()
}

// aged reports whether the connection is to be closed after the next response.
func (c *serverConn) aged() bool {
	return c.limits.ConnectionAge > 0 && time.Since(c.openedAt) > c.limits.ConnectionAge.Duration()
}

// awaitRequest waits for the first byte of a request. The idle timeout does not
// apply while a request is in flight.
func (c *serverConn) awaitRequest() bool {
	for {
		c.setReadTimeout(c.limits.IdleTimeout)
		err := c.reader.await()
		if err == nil {
			return c.beginRequest()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.isIdle() {
			return false
		}
	}
}

// beginRequest marks the connection as reading a request, so that it is not closed
// as idle. It returns false if the connection accepts no further request.
func (c *serverConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	return !c.closed
}

// isClosed reports whether the connection accepts no further request: its last
// response was written or is being written, or a write failed.
func (c *serverConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *serverConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0 || c.closed
}

// sendContinue writes the 100 Continue response unless earlier responses are
// pending. It returns false if the write failed.
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

func (c *serverConn) enqueue(x *Exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) >= maxPipelined && !c.closed {
		c.notFull.Wait()
	}
	if c.closed {
		return false
	}
	if len(c.pending) > 0 {
		x.turn = make(chan struct{})
	}
	c.pending = append(c.pending, x)
	c.reading, c.arrived = false, false
	return true
}

func (c *serverConn) handle(x *Exchange) {
	c.server.config.Handler.Handle(x)
	c.finish(x)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isPending(x) {
		x.memory.Close() // Its response was written or will never be.
	}
}

func (c *serverConn) reject(x *Exchange, problem Problem) {
	c.endHead()
	c.server.config.Reject(x, problem)
	x.Close = true
	if c.enqueue(x) {
		c.finish(x)
		c.drain()
	}
}

// finish marks an exchange as done and writes all responses that are ready, in
// order.
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
		// Requests read after it are already running and get their response before
		// the connection closes.
		last := head.Close || c.server.closing.Load() && len(c.pending) == 1 && !c.reading
		c.closed = last
		c.mu.Unlock()
		err := c.write(head, last)
		head.memory.Close()
		c.mu.Lock()
		c.pending = slices.Delete(c.pending, 0, 1) // Clears the place, which would keep the exchange in memory.
		c.closed = c.closed || err != nil
		head.settle(err)
		if len(c.pending) > 0 && !c.closed {
			c.pending[0].giveTurn()
		}
		c.notFull.Signal()
	}
	c.writing = false
	if len(c.pending) == 0 && !c.arrived && !c.closed {
		c.server.beginWait(c)
	}
	if c.closed {
		c.disconnectPending()
	}
}

// write sends a response. If it is the last one, write also closes the connection's
// sending side.
func (c *serverConn) write(x *Exchange, last bool) error {
	if last {
		x.Response.SetConnectionClose()
	}
	x.Response.Header.SetNoDefaultContentType(true)
	x.Response.SkipBody = x.Response.SkipBody || x.Request.Header.IsHead()
	var err error
	if x.body != nil {
		err = c.writeStream(x)
	} else {
		err = c.writeBuffered(x)
	}
	if err != nil {
		_ = c.conn.Close() // This also ends the reading goroutine.
		return err
	}
	if !last {
		return nil
	}
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // Signals the end to the caller; a failed connection ends anyway.
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout.Duration()))
	return nil
}

func (c *serverConn) writeBuffered(x *Exchange) error {
	c.setWriteTimeout()
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(c.conn)
	err := x.Response.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	return err
}

// isPending reports whether an exchange may still get its response. The connection's
// lock must be held.
func (c *serverConn) isPending(x *Exchange) bool { return slices.Contains(c.pending, x) }

// disconnectPending marks the requests after the last response as disconnected,
// since they get no response. The connection's lock must be held.
func (c *serverConn) disconnectPending() {
	for _, x := range c.pending {
		// giveTurn comes last, so that AwaitTurn sees the disconnect.
		go callAll(x.markDisconnected())
		x.giveTurn()
		x.drop()
	}
	c.pending = nil
	c.notFull.Broadcast()
}

// drain discards input after the last request until the caller closes.
func (c *serverConn) drain() {
	for drained := 0; drained < maxDrained; drained += c.reader.Buffered() {
		c.reader.discard(c.reader.Buffered())
		closed := c.isClosed()
		if !closed {
			c.setReadTimeout(c.limits.IdleTimeout)
		}
		err := c.reader.await()
		if err != nil && (closed || !errors.Is(err, os.ErrDeadlineExceeded) || c.isIdle()) {
			return
		}
	}
}

// terminate closes the connection and marks the requests in flight as disconnected.
func (c *serverConn) terminate() {
	c.mu.Lock()
	c.closed = true
	pending := c.pending
	if !c.writing {
		c.pending = nil
	}
	c.notFull.Broadcast()
	var functions []func()
	for i, x := range pending {
		functions = append(functions, x.markDisconnected()...)
		x.giveTurn()
		if !c.writing || i > 0 {
			x.drop() // The first one is settled after its write.
		}
	}
	c.mu.Unlock()
	_ = c.conn.Close() // Nothing is read or written after this.
	callAll(functions)
	c.server.remove(c)
	c.memory.Close()
}

// evict closes the connection in favour of another one. No request is in flight on it.
func (c *serverConn) evict() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.conn.Close() // This also ends the reading goroutine.
}

// refuse answers a connection that was not added with a refusal of the request that it
// brings, which is not read.
func (c *serverConn) refuse(problem Problem) {
	defer c.server.endRefusal()
	defer c.conn.Close()
	x := &Exchange{conn: c, turn: closedTurn, memory: c.memory}
	c.server.config.Reject(x, problem)
	if c.write(x, true) == nil {
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
		c.drain()
	}
}

// closeIdle closes the connection and returns true if no request is pending.
func (c *serverConn) closeIdle() bool {
	c.mu.Lock()
	// A request that has arrived but was not read yet is served first.
	idle := len(c.pending) == 0 && !c.reading && !c.hasInput()
	if idle {
		c.closed = true
	}
	c.mu.Unlock()
	if idle {
		_ = c.conn.Close() // This also ends the reading goroutine.
	}
	return idle
}

// hasInput reports whether unread bytes or the end of the stream have arrived.
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
