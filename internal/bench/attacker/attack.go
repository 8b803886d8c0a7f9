package attacker

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	dialTimeout = 2 * timer.Second
	// pieceBytes is the size of the writes of a text, so that a connection that the server
	// has closed is noticed.
	pieceBytes = 64 << 10
	// lingerTimeout is how long a connection is used in all.
	lingerTimeout = 4 * timer.Second
)

// numberMark stands for the number of the connection in a text, timesMark for how often the
// text was sent before.
var (
	numberMark = []byte("%N")
	timesMark  = []byte("%T")
)

// Attack describes a crowd of connections.
type Attack struct {
	Address     identifier.Address
	Connections int
	// Text is sent on each connection, with %N replaced by its number and %T by the number of
	// times that it was sent on it before.
	Text string
	// Times is how often the text is sent on each connection; 0 means once.
	Times int
	// Unread says that no answer is read.
	Unread bool
	// Linger is how long a connection is used; 0 means 4 s.
	Linger timer.Millis
}

// Crowd is the connections of an attack.
type Crowd struct {
	attack Attack
	done   sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
	// opened and answered count the connections that were established and those on which
	// a byte was received.
	opened, answered int
}

// Begin opens the connections and sends the text on all of them at once.
func (a Attack) Begin() *Crowd {
	if a.Times == 0 {
		a.Times = 1
	}
	if a.Linger == 0 {
		a.Linger = lingerTimeout
	}
	c := &Crowd{attack: a}
	for n := range a.Connections {
		c.done.Go(func() { c.use(n) })
	}
	return c
}

// Wait waits until every connection has ended or was used for the time of the attack. The
// connections that have not ended stay open.
func (c *Crowd) Wait() { c.done.Wait() }

// Opened returns the number of connections that were established so far.
func (c *Crowd) Opened() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// Answered returns the number of connections on which a byte was received so far.
func (c *Crowd) Answered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered
}

// Close closes the connections and waits until their use has ended.
func (c *Crowd) Close() {
	c.mu.Lock()
	for _, conn := range c.conns {
		_ = conn.Close() // The server may have closed it.
	}
	c.conns = nil
	c.mu.Unlock()
	c.done.Wait()
}

func (c *Crowd) use(number int) {
	conn, err := net.DialTimeout("tcp", string(c.attack.Address), dialTimeout.Duration())
	if err != nil {
		return
	}
	c.mu.Lock()
	c.opened++
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	end := time.Now().Add(c.attack.Linger.Duration())
	_ = conn.SetDeadline(end) // Fails only on a closed connection, as the write does.
	var reader sync.WaitGroup
	if !c.attack.Unread {
		reader.Go(func() { c.read(conn) })
	}
	text := bytes.ReplaceAll([]byte(c.attack.Text), numberMark, []byte(strconv.Itoa(number)))
	for n := range c.attack.Times {
		if err = writePieces(conn, bytes.ReplaceAll(text, timesMark, []byte(strconv.Itoa(n)))); err != nil {
			break
		}
	}
	reader.Wait()
	if c.attack.Unread && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)) {
		time.Sleep(time.Until(end))
	}
}

// read discards what the server sends.
func (c *Crowd) read(conn net.Conn) {
	buffer := make([]byte, pieceBytes)
	if _, err := io.ReadAtLeast(conn, buffer, 1); err != nil {
		return
	}
	c.mu.Lock()
	c.answered++
	c.mu.Unlock()
	_, _ = io.CopyBuffer(io.Discard, struct{ io.Reader }{conn}, buffer) // Ends at the deadline at the latest.
}

func writePieces(conn net.Conn, text []byte) error {
	for len(text) > 0 {
		n, err := conn.Write(text[:min(len(text), pieceBytes)])
		if err != nil {
			return Error.Wrap(err)
		}
		text = text[n:]
	}
	return nil
}
