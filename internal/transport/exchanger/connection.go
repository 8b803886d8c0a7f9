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
	// maxBodyBeforeRead is the largest body that is written before the response is
	// read. A destination may respond to a longer one early and stop reading it.
	maxBodyBeforeRead = 16 << 10
	// maxResponses bounds the responses that are read for one request, including
	// skipped ones to earlier requests.
	maxResponses = 4
	readBuffer   = 8 << 10
	// keepAliveMargin is subtracted from the idle timeout that a destination
	// announces in whole seconds.
	keepAliveMargin = timer.Second
	// minFinalStatus is the lowest status that is not interim (1xx).
	minFinalStatus = 200
)

// connection is a client connection; it carries one request at a time.
type connection struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	usedAt time.Time
	// idleLimit is how long the connection may stay idle according to the
	// destination's Keep-Alive header; 0 if it announced none.
	idleLimit time.Duration
	// noReuse means that the connection must not carry another request.
	noReuse bool
}

func newConnection(conn net.Conn) *connection {
	c := &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), usedAt: time.Now()}
	if source, ok := conn.(syscall.Conn); ok {
		c.raw, _ = source.SyscallConn() // If nil, idle connections are not checked.
	}
	return c
}

// stale reports whether an idle connection must not carry another request.
func (c *connection) stale(limit timer.Millis) bool {
	idle := time.Since(c.usedAt)
	if idle > limit.Duration() || c.idleLimit > 0 && idle > c.idleLimit {
		return true
	}
	return c.reader.Buffered() > 0 || PeerClosed(c.raw)
}

// abort closes the connection with a reset. After a plain close, the kernel could
// still deliver the request when a network outage ends.
func (c *connection) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Fails only on a closed connection.
	}
	_ = c.Close() // It may be closed already.
}

// do writes a request and reads its response.
func (c *connection) do(call *Call) Result {
	_ = c.SetDeadline(call.Deadline) // Fails only on a closed connection, as the write does.
	written := make(chan error, 1)
	if len(call.Request.Body()) <= maxBodyBeforeRead {
		if n, err := c.send(call.Request); err != nil {
			return c.fail(err, n == 0, ConnectionBroken)
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
		c.noReuse = c.noReuse || err != nil
	default:
		// The destination responded before it had read the body. The rest of the
		// body must not be taken for the next request.
		c.noReuse = true
		_ = c.Close()
		<-written
	}
	return result
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

// receive reads the response to the call's request.
func (c *connection) receive(call *Call) Result {
	for range maxResponses {
		result := c.receiveOne(call)
		if result != Answered {
			return result
		}
		if call.MatchResponse == nil || call.MatchResponse(&call.Response.Header) {
			c.updateReuse(call.Response)
			return Answered
		}
		// This is a late response to an earlier request; the call's own follows.
		c.noReuse = true
		call.Response.Reset()
	}
	return Incomplete
}

func (c *connection) receiveOne(call *Call) Result {
	header := &call.Response.Header
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return c.fail(err, false, ConnectionBroken)
		}
		if err := header.Read(c.reader); err != nil {
			return c.fail(err, false, Incomplete)
		}
		if header.StatusCode() >= minFinalStatus {
			break
		}
	}
	if call.Request.Header.IsHead() || skipsBody(header.StatusCode()) {
		call.Response.SkipBody = true
		return Answered
	}
	length := header.ContentLength()
	if err := call.Response.ReadBody(c.reader, 0); err != nil {
		return c.fail(err, false, Incomplete)
	}
	switch length {
	case -1:
		if err := header.ReadTrailer(c.reader); err != nil {
			return c.fail(err, false, Incomplete)
		}
	case -2:
		c.noReuse = true // The body ended with the connection.
	}
	return Answered
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
