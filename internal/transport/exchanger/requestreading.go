package exchanger

import (
	"bufio"
	"errors"
	"io"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/separator"
)

// exchangeCost is the memory that a request takes in this process beside its head and its
// bodies: its state, that of an attempt and their goroutines, and the head of a response.
const exchangeCost = 24 << 10

// read reads a whole request. If it fails because the connection has ended, the
// problem is nil.
func (c *serverConn) read(x *Exchange) (*Problem, bool) {
	c.setReadTimeout(c.limits.HeaderTimeout)
	if err := c.readHead(x); err != nil {
		return readProblem(err), false
	}
	if !c.endHead() {
		return nil, false
	}
	header := &x.Request.Header
	if ambiguous(header) {
		return problemPointer(Malformed), false
	}
	length := header.ContentLength()
	if length > c.limits.BodyBytes {
		return problemPointer(BodyTooLarge), false
	}
	if expectsContinue(header) {
		if !c.sendContinue() {
			return nil, false
		}
		header.Del(fasthttp.HeaderExpect)
	}
	if length == lengthUntilClose {
		return nil, true // A request without a length has no body (RFC 9112, section 6.3).
	}
	return c.readBody(x, length)
}

// endHead records that the head of a request has arrived, so that the connection is no
// longer closed in favour of another one. It returns false if it already is.
func (c *serverConn) endHead() bool {
	c.mu.Lock()
	c.arrived = true
	c.mu.Unlock()
	return c.server.endWait(c)
}

// readHead reads the head of a request. Its memory is counted before it is separated.
func (c *serverConn) readHead(x *Exchange) error {
	size, err := c.awaitHead()
	if err != nil {
		return err
	}
	cost := int64(size) * separator.CostPerByte
	if !x.memory.Grow(exchangeCost + cost) {
		return errNoMemory
	}
	header := &x.Request.Header
	header.SetNoDefaultContentType(true)
	head, err := c.server.names().Separate(c.reader.arrived()[:size])
	c.reader.discard(size)
	if err != nil {
		return Error.Wrap(err)
	}
	if err = parseHead(head.Known, header.Read); err != nil {
		return Error.Wrap(err)
	}
	if head.Close {
		header.SetConnectionClose()
	}
	x.Request.Fields = head.Fields
	x.memory.Shrink(cost - headerCopies*int64(len(head.Known)) - int64(len(head.Fields)))
	return nil
}

// awaitHead waits until a whole head has arrived and returns its size.
func (c *serverConn) awaitHead() (int, error) {
	var end separator.End
	for {
		size, err := end.Find(c.reader.arrived())
		if size > 0 || err != nil {
			return size, Error.Wrap(err)
		}
		if err = c.reader.more(); err != nil {
			return 0, err
		}
	}
}

// expectsContinue reports whether the caller waits for an interim response before it sends
// the body.
func expectsContinue(header *fasthttp.RequestHeader) bool {
	return string(header.Peek(fasthttp.HeaderExpect)) == "100-continue"
}

func (c *serverConn) readBody(x *Exchange, length int) (*Problem, bool) {
	reader := newBodyReader(c.reader, length, int64(c.limits.BodyBytes))
	body, err := reader.readContent(int64(c.limits.BodyBytes)+1, x.memory)
	switch {
	case errors.Is(err, io.EOF):
		x.Request.Body = body
		return nil, true
	case err == nil, errors.Is(err, errBodyTooLarge):
		return problemPointer(BodyTooLarge), false
	}
	return readProblem(err), false
}

func problemPointer(p Problem) *Problem { return &p }

// readProblem maps a read error to a problem, or to nil if the connection has ended.
func readProblem(err error) *Problem {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return problemPointer(HeaderTooLarge)
	case errors.Is(err, errNoMemory):
		return problemPointer(OutOfMemory)
	}
	var network net.Error
	if errors.As(err, &network) || isConnectionEnd(err) {
		return nil
	}
	return problemPointer(Malformed)
}

// ambiguous reports whether a request has both a chunked body and a Content-Length
// field, so that two parsers could disagree about its end (RFC 9112, section 6.1).
func ambiguous(header *fasthttp.RequestHeader) bool {
	return header.ContentLength() == -1 && hasRawContentLength(header.RawHeaders())
}
