package forwarder

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/validator"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
)

// errStale is returned by the first write of a request on a connection that
// the other end has closed. No byte of the request was written.
var errStale = errors.New("forwarder: pooled connection was closed by the other end")

// minIdleForCheck is the idle time after which a connection is checked before
// reuse. A check costs a system call, so busy connections skip it.
const minIdleForCheck = time.Millisecond

// phase is the progress of the current request on a connection.
type phase int

const (
	// phaseIdle means that no byte of a request was written since the last response.
	phaseIdle phase = iota
	// phaseWritten means that a byte was written and no byte of the response was
	// read.
	phaseWritten
	// phaseAnswered means that a byte of the response was read.
	phaseAnswered
)

// connection records how far a request got and whether the other end has closed
// the stream. Send finds it through Response.LocalAddr, which fasthttp fills. One
// request at a time uses it.
type connection struct {
	net.Conn
	raw      syscall.RawConn
	address  connectionAddr
	phase    phase
	lastUsed time.Time
	// unwritten is set if the first write of a request wrote no byte.
	unwritten bool
	eof       bool
	// head holds the bytes of a head that has not arrived as a whole, and headState what was
	// checked of them. They are not used once headEnded is set.
	head      []byte
	headState validator.ResponseHead
	headEnded bool
	// requests counts those that were written. The next one may begin before it is read.
	requests atomic.Int64
}

func newConnection(conn net.Conn) net.Conn {
	c := &connection{Conn: conn, phase: phaseIdle, lastUsed: time.Now()}
	c.address = connectionAddr{conn.LocalAddr(), c}
	if source, ok := conn.(syscall.Conn); ok {
		c.raw, _ = source.SyscallConn()
	}
	return c
}

// Write returns errStale instead of starting a request on a connection that the
// other end has closed.
func (c *connection) Write(data []byte) (int, error) {
	first := c.phase != phaseWritten
	if first && time.Since(c.lastUsed) > minIdleForCheck && exchanger.PeerClosed(c.raw) {
		c.unwritten = true
		return 0, errStale
	}
	n, err := c.Conn.Write(data)
	if n > 0 {
		if first {
			c.requests.Add(1)
			c.head, c.headState, c.headEnded = nil, validator.ResponseHead{}, false
		}
		c.phase = phaseWritten
	}
	c.unwritten = first && n == 0 && err != nil
	return n, err
}

// Read records the start of the response and the end of the stream. It returns an error
// instead of bytes that are no head of a response, which fasthttp might accept.
func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.phase = phaseAnswered
		c.lastUsed = time.Now()
		if invalid := c.checkHead(data[:n]); invalid != nil {
			return 0, invalid
		}
	}
	if errors.Is(err, io.EOF) {
		c.eof = true
	}
	return n, err
}

// checkHead checks the bytes of the head of a response, and of the interim responses
// before it.
func (c *connection) checkHead(arrived []byte) error {
	if c.headEnded {
		return nil
	}
	c.head = append(c.head, arrived...)
	for {
		end, err := c.headState.Check(c.head)
		if err != nil || end == 0 {
			return err
		}
		if !c.headState.Interim() {
			c.head, c.headEnded = nil, true
			return nil
		}
		c.head, c.headState = c.head[end:], validator.ResponseHead{}
	}
}

// LocalAddr returns an address that refers to the connection.
func (c *connection) LocalAddr() net.Addr { return &c.address }

type connectionAddr struct {
	net.Addr
	conn *connection
}
