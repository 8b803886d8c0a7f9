package forwarder

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
)

// errStale is returned by the first write of a request on a connection that
// the other end has closed. No byte of the request was written.
var errStale = errors.New("forwarder: pooled connection was closed by the other end")

// idleCheckAfter is the idle time after which a connection is checked before
// reuse. A check costs a system call, so busy connections skip it.
const idleCheckAfter = time.Millisecond

// phase says how far the current request on a connection got.
type phase int

const (
	// phaseIdle: no byte of a request was written since the last answer.
	phaseIdle phase = iota
	// phaseWritten: a byte was written and no byte of the answer was read.
	phaseWritten
	// phaseAnswered: a byte of the answer was read.
	phaseAnswered
)

// connection notes how far a request got and whether the stream has ended.
// fasthttp hands it to the caller through Response.LocalAddr. One request at a
// time uses it.
type connection struct {
	net.Conn
	raw      syscall.RawConn
	address  connectionAddr
	phase    phase
	lastUsed time.Time
	// unwritten is set when the first write of a request wrote nothing.
	unwritten bool
	ended     bool
}

func newConnection(conn net.Conn) net.Conn {
	c := &connection{Conn: conn, phase: phaseIdle, lastUsed: time.Now()}
	c.address = connectionAddr{conn.LocalAddr(), c}
	if source, ok := conn.(syscall.Conn); ok {
		c.raw, _ = source.SyscallConn()
	}
	return c
}

// Write refuses to begin a request on a connection that the other end closed.
func (c *connection) Write(data []byte) (int, error) {
	first := c.phase != phaseWritten
	if first && time.Since(c.lastUsed) > idleCheckAfter && exchanger.PeerClosed(c.raw) {
		c.unwritten = true
		return 0, errStale
	}
	n, err := c.Conn.Write(data)
	if n > 0 {
		c.phase = phaseWritten
	}
	c.unwritten = first && n == 0 && err != nil
	return n, err
}

// Read notes the answer and the end of the stream.
func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.phase = phaseAnswered
		c.lastUsed = time.Now()
	}
	if errors.Is(err, io.EOF) {
		c.ended = true
	}
	return n, err
}

// LocalAddr returns an address that leads back to the connection.
func (c *connection) LocalAddr() net.Addr { return &c.address }

type connectionAddr struct {
	net.Addr
	conn *connection
}
