package exchanger

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// inlineBody is the largest body that is written before the answer is read.
	// A destination may answer a longer one early and stop reading it.
	inlineBody = 16 << 10
	// maxForeign bounds the answers to other requests that are skipped.
	maxForeign = 4
	readBuffer = 8 << 10
	// keepAliveMargin is taken off the idle timeout that a destination states in
	// whole seconds.
	keepAliveMargin = timer.Second
	// firstFinal is the first status that is not interim.
	firstFinal = 200
)

// connection carries one request at a time.
type connection struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	usedAt time.Time
	// idleLimit is how long the destination keeps the connection, if it said so.
	idleLimit time.Duration
	// spent says that the connection must not carry another request.
	spent bool
}

func newConnection(conn net.Conn) *connection {
	c := &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), usedAt: time.Now()}
	if source, ok := conn.(syscall.Conn); ok {
		c.raw, _ = source.SyscallConn() // Without it idle connections are not checked.
	}
	return c
}

// stale reports whether an idle connection cannot carry a request.
func (c *connection) stale(limit timer.Millis) bool {
	idle := time.Since(c.usedAt)
	if idle > limit.Duration() || c.idleLimit > 0 && idle > c.idleLimit {
		return true
	}
	return c.reader.Buffered() > 0 || PeerClosed(c.raw)
}

// abort closes the connection with a reset. A plain close would leave it to the
// network to deliver the request later, when a cut has ended.
func (c *connection) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Fails only on a closed connection.
	}
	_ = c.Close() // It may be closed already.
}

// do writes a request and reads its answer.
func (c *connection) do(call *Call) Result {
	_ = c.SetDeadline(call.Deadline) // Fails only on a closed connection, as the write does.
	written := make(chan error, 1)
	if len(call.Request.Body()) <= inlineBody {
		if n, err := c.send(call.Request); err != nil {
			return c.failed(err, n == 0, ConnectionBroken)
		}
		written <- nil
	} else {
		go func() {
			_, err := c.send(call.Request)
			written <- err
		}()
	}
	result := c.receive(call)
	select {
	case err := <-written:
		c.spent = c.spent || err != nil
	default:
		// The destination answered before it had read the body. What is left of
		// the body must not be taken for the next request.
		c.spent = true
		_ = c.Close()
		<-written
	}
	return result
}

// countingWriter counts the bytes that a connection took.
type countingWriter struct {
	net.Conn
	n int
}

// Write counts what was written.
func (w *countingWriter) Write(data []byte) (int, error) {
	n, err := w.Conn.Write(data)
	w.n += n
	return n, err
}

func (c *connection) send(request *fasthttp.Request) (int, error) {
	counting := &countingWriter{Conn: c.Conn}
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(counting)
	err := request.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	return counting.n, err
}

// receive reads the answer to the call's request.
func (c *connection) receive(call *Call) Result {
	for range maxForeign {
		result := c.receiveOne(call)
		if result != Answered {
			return result
		}
		if call.MatchResponse == nil || call.MatchResponse(&call.Response.Header) {
			c.conclude(call.Response)
			return Answered
		}
		// An answer to an earlier request came late; its own answer follows.
		c.spent = true
		call.Response.Reset()
	}
	return Incomplete
}

func (c *connection) receiveOne(call *Call) Result {
	header := &call.Response.Header
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return c.failed(err, false, ConnectionBroken)
		}
		if err := header.Read(c.reader); err != nil {
			return c.failed(err, false, Incomplete)
		}
		if header.StatusCode() >= firstFinal {
			break
		}
	}
	if call.Request.Header.IsHead() || skipsBody(header.StatusCode()) {
		call.Response.SkipBody = true
		return Answered
	}
	length := header.ContentLength()
	if err := call.Response.ReadBody(c.reader, 0); err != nil {
		return c.failed(err, false, Incomplete)
	}
	switch length {
	case -1:
		if err := header.ReadTrailer(c.reader); err != nil {
			return c.failed(err, false, Incomplete)
		}
	case -2:
		c.spent = true // The end of the connection ended the body.
	}
	return Answered
}

func skipsBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// conclude notes whether the connection can be kept.
func (c *connection) conclude(response *fasthttp.Response) {
	c.usedAt = time.Now()
	if response.Header.ConnectionClose() || !response.Header.IsHTTP11() || c.reader.Buffered() > 0 {
		c.spent = true
	}
	if seconds, found := keepAliveTimeout(response.Header.Peek("Keep-Alive")); found {
		c.idleLimit = time.Duration(seconds)*time.Second - keepAliveMargin.Duration()
		c.spent = c.spent || c.idleLimit <= 0
	}
}

// keepAliveTimeout reads the idle timeout in whole seconds.
func keepAliveTimeout(value []byte) (int, bool) {
	_, rest, found := bytes.Cut(value, []byte("timeout="))
	if !found {
		return 0, false
	}
	digits, _, _ := bytes.Cut(rest, []byte(","))
	seconds, err := strconv.Atoi(string(bytes.TrimSpace(digits)))
	return seconds, err == nil && seconds >= 0
}

// failed classifies an error of a connection that cannot be used again.
func (c *connection) failed(err error, unwritten bool, result Result) Result {
	c.spent = true
	switch {
	case unwritten:
		return NotSent
	case errors.Is(err, os.ErrDeadlineExceeded):
		return TimedOut
	default:
		return result
	}
}
