package exchanger

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/validator"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// maxBodyBeforeRead is the largest body that is written before the response is
	// read. A destination may respond to a longer one early and stop reading it.
	maxBodyBeforeRead = 16 << 10
	// maxResponses bounds the responses that are read for one request, including
	// skipped ones to earlier requests.
	maxResponses = 4
	// maxInterim bounds the interim responses (1xx) before a response.
	maxInterim = 8
	// maxDiscarded bounds the body of a response to another request.
	maxDiscarded = 1 << 20
	// maxResponseHead bounds the head of a response, which may repeat a field of the request.
	maxResponseHead = 32 << 10
	// maxWriteReturn is how long the result of a write that has ended may take to arrive.
	maxWriteReturn = 100 * timer.Millis(1)
	// keepAliveMargin is subtracted from the idle timeout that a destination
	// announces in whole seconds.
	keepAliveMargin = timer.Second
)

// connection is a client connection; it carries one request at a time.
type connection struct {
	conn   net.Conn
	raw    syscall.RawConn
	reader *input
	usedAt time.Time
	// openedAt is when the connection was established.
	openedAt time.Time
	// memory holds the cost of the connection.
	memory *Reservation
	// giveBack gives back the socket.
	giveBack func()
	// idleLimit is how long the connection may stay idle according to the
	// destination's Keep-Alive header; 0 if it announced none.
	idleLimit time.Duration
	// noReuse means that the connection must not carry another request.
	noReuse bool
	// written receives the result of writing the current request.
	written chan error
}

func newConnection(conn net.Conn, memory *Reservation, giveBack func()) *connection {
	now := time.Now()
	c := &connection{
		conn: conn, reader: newInput(conn, maxResponseHead, memory), usedAt: now, openedAt: now, memory: memory, giveBack: giveBack,
	}
	if source, ok := conn.(syscall.Conn); ok {
		c.raw, _ = source.SyscallConn() // If nil, idle connections are not checked.
	}
	return c
}

// close closes the connection and frees what it holds. It is called once, when no call uses
// the connection any more.
func (c *connection) close() {
	_ = c.conn.Close() // It may be closed already; nothing is in flight on it.
	c.memory.Close()
	c.giveBack()
}

// stale reports whether an idle connection must not carry another request.
func (c *connection) stale(config PoolConfig) bool {
	idle := time.Since(c.usedAt)
	if idle > config.IdleTimeout.Duration() || c.idleLimit > 0 && idle > c.idleLimit {
		return true
	}
	if config.MaxAge > 0 && time.Since(c.openedAt) > config.MaxAge.Duration() {
		return true
	}
	return c.reader.Buffered() > 0 || PeerClosed(c.raw)
}

// abort resets the connection. After a plain close, the kernel could still deliver the
// request when a network outage ends. What the connection holds is freed by close.
func (c *connection) abort() {
	resetOnClose(c.conn)
	_ = c.conn.Close() // It may be closed already.
}

// do writes a request and reads its response. If the result is Streaming, the rest of
// the body is read by call.Body and settleWrite has to be called after it.
func (c *connection) do(call *Call) Result {
	if call.Prepare != nil && !call.Prepare() {
		return Expired
	}
	_ = c.conn.SetDeadline(call.Deadline) // Fails only on a closed connection, as the write does.
	c.written = make(chan error, 1)
	if call.Request.Body.Len() <= maxBodyBeforeRead {
		if n, err := c.send(call.Request); err != nil {
			return c.fail(err, n == 0, ConnectionBroken)
		}
		c.written <- nil
	} else {
		go func() {
			_, err := c.send(call.Request)
			c.written <- err
		}()
	}
	result := c.receive(call)
	if result != Streaming {
		c.settleWrite()
	}
	return result
}

// settleWrite ends the writing of the request after the response was read.
func (c *connection) settleWrite() {
	select {
	case err := <-c.written:
		c.noReuse = c.noReuse || err != nil
	default:
		// The destination responded before it had read the body. The rest of the
		// body must not be taken for the next request.
		c.noReuse = true
		_ = c.conn.Close()
		<-c.written
	}
}

// requestWritten reports, at the end of the stream, whether the whole request was written.
// A reset while it is being written is reported to the write only; the read after it finds
// a regular end.
func (c *connection) requestWritten() bool {
	timeout := time.NewTimer(maxWriteReturn.Duration())
	defer timeout.Stop()
	select {
	case err := <-c.written:
		c.written <- err // For settleWrite.
		return err == nil
	case <-timeout.C:
		return false
	}
}

// countingWriter counts the bytes written to a connection.
type countingWriter struct {
	net.Conn
	n int
}

// Write writes data and counts the bytes written.
func (w *countingWriter) Write(data []byte) (int, error) {
	n, err := w.Conn.Write(data)
	w.n += n
	return n, err
}

func (c *connection) send(request *Request) (int, error) {
	counting := &countingWriter{Conn: c.conn}
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(counting)
	err := request.write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	return counting.n, err
}

// receive reads the response to the call's request.
func (c *connection) receive(call *Call) Result {
	for range maxResponses {
		if result := c.receiveHead(call); result != Answered {
			return result
		}
		if call.MatchResponse == nil || call.MatchResponse(&call.Response.Header) {
			return c.receiveBody(call)
		}
		// This is a late response to an earlier request; the call's own follows.
		c.noReuse = true
		if result := c.discardBody(call); result != Answered {
			return result
		}
		call.Response.Reset()
	}
	return Incomplete
}

// receiveHead reads the head of a response that is not interim.
func (c *connection) receiveHead(call *Call) Result {
	for range maxInterim {
		if err := c.reader.await(); err != nil {
			return c.fail(err, false, ConnectionBroken)
		}
		interim, err := c.readHead(call)
		if err != nil {
			return c.fail(err, false, Incomplete)
		}
		if !interim {
			return Answered
		}
	}
	c.noReuse = true
	return Incomplete
}

// readHead reads the head of a response after it has checked its bytes, since fasthttp
// accepts heads that other readers understand differently. It reports whether the response
// is an interim one.
func (c *connection) readHead(call *Call) (interim bool, err error) {
	var head validator.ResponseHead
	for {
		end, err := head.Check(c.reader.arrived())
		if err != nil {
			return false, err
		}
		if end > 0 {
			break
		}
		if err := c.reader.more(); err != nil {
			return false, err
		}
	}
	data := c.reader.arrived()[:head.Size()]
	if bytes.Count(data, []byte{'\n'}) > maxResponseLines {
		return false, errTooManyFields
	}
	if cost := responseHeadCost(data); cost > freeResponseHead && !call.Memory.Grow(cost) {
		return false, errNoMemory
	}
	c.reader.discard(len(data))
	err = parseHead(data, call.Response.Header.Read)
	c.reader.reduce()
	return head.Interim(), err
}

// maxResponseLines bounds the fields of a response, which backend servers choose.
const maxResponseLines = 1024

var errTooManyFields = errors.New("response has too many fields")

const (
	// fieldCost is the memory that fasthttp takes for a field beside its bytes.
	fieldCost = 96
	// freeResponseHead is the part of the cost of an exchange that is for the head of its
	// response.
	freeResponseHead = 4 << 10
)

// responseHeadCost returns the memory that the head of a response and its copy for the caller
// take, in bytes.
func responseHeadCost(head []byte) int64 {
	return 2 * int64(len(head)+fieldCost*bytes.Count(head, []byte{'\n'}))
}

// receiveBody reads the body of the call's response: up to call.BufferLimit or to the
// end of the available memory if the call streams, and otherwise as a whole.
func (c *connection) receiveBody(call *Call) Result {
	header := &call.Response.Header
	if hasNoBody(call) {
		call.Response.SkipBody = true
		c.updateReuse(call.Response)
		return Answered
	}
	length := header.ContentLength()
	if length == lengthUntilClose && call.RequireLength {
		c.noReuse = true
		return Incomplete
	}
	reader := newBodyReader(c.reader, length, call.bodyLimit())
	reader.endsBody = c.requestWritten
	if call.Stream && int64(length) > call.BufferLimit && reader.err == nil {
		return c.stream(call, reader, nil)
	}
	limit := call.bodyLimit() + 1
	if call.Stream {
		limit = call.BufferLimit + 1
	}
	buffered, err := reader.readUpTo(limit, call.Memory)
	switch {
	case err == nil && call.Stream, errors.Is(err, errNoMemory) && call.Stream:
		return c.stream(call, reader, buffered)
	case !errors.Is(err, io.EOF):
		return c.fail(err, false, Incomplete)
	}
	if length == lengthUntilClose {
		c.noReuse = true
	}
	call.Response.SetBodyRaw(buffered)
	c.updateReuse(call.Response)
	return Answered
}

// stream leaves the rest of a response's body to call.Body.
func (c *connection) stream(call *Call, reader *bodyReader, buffered []byte) Result {
	if reader.length == lengthUntilClose {
		c.noReuse = true
	}
	call.Body = &Body{Length: max(reader.length, lengthChunked), buffered: buffered, reader: reader}
	return Streaming
}

// discardBody reads and discards the body of a response to another request.
func (c *connection) discardBody(call *Call) Result {
	if hasNoBody(call) {
		return Answered
	}
	reader := newBodyReader(c.reader, call.Response.Header.ContentLength(), maxDiscarded)
	if _, err := io.Copy(io.Discard, reader); err != nil {
		return c.fail(err, false, Incomplete)
	}
	return Answered
}

func hasNoBody(call *Call) bool {
	return call.Request.Header.IsHead() || skipsBody(call.Response.StatusCode())
}

func skipsBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// updateReuse determines from a response whether the connection can be kept.
func (c *connection) updateReuse(response *fasthttp.Response) {
	c.usedAt = time.Now()
	if response.Header.ConnectionClose() || !response.Header.IsHTTP11() || c.reader.Buffered() > 0 {
		c.noReuse = true
	}
	if seconds, found := keepAliveTimeout(response.Header.Peek("Keep-Alive")); found {
		c.idleLimit = time.Duration(seconds)*time.Second - keepAliveMargin.Duration()
		c.noReuse = c.noReuse || c.idleLimit <= 0
	}
}

// keepAliveTimeout parses the idle timeout, in whole seconds, of a Keep-Alive header.
func keepAliveTimeout(value []byte) (int, bool) {
	_, rest, found := bytes.Cut(value, []byte("timeout="))
	if !found {
		return 0, false
	}
	digits, _, _ := bytes.Cut(rest, []byte(","))
	seconds, err := strconv.Atoi(string(bytes.TrimSpace(digits)))
	return seconds, err == nil && seconds >= 0
}

// fail marks the connection as not reusable and classifies the error.
func (c *connection) fail(err error, unwritten bool, result Result) Result {
	c.noReuse = true
	switch {
	case unwritten:
		return NotSent
	case errors.Is(err, os.ErrDeadlineExceeded):
		return TimedOut
	default:
		return result
	}
}
