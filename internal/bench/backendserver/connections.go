package backendserver

import (
	"net"
	"sync"
	"sync/atomic"
)

// connections is a listener that limits the number of its connections and can
// close or silence them.
type connections struct {
	net.Listener
	limit int

	mu       sync.Mutex
	open     map[*connection]struct{}
	closed   bool
	refusals uint64
}

func newConnections(socket net.Listener, limit int) *connections {
	return &connections{Listener: socket, limit: limit, open: make(map[*connection]struct{})}
}

// Accept returns the next connection within the limit and closes those over it.
func (c *connections) Accept() (net.Conn, error) {
	for {
		accepted, err := c.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if added := c.add(accepted); added != nil {
			return added, nil
		}
		_ = accepted.Close() // the error is ignored, since nothing depends on the close
	}
}

func (c *connections) add(accepted net.Conn) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || (c.limit > 0 && len(c.open) >= c.limit) {
		c.refusals++
		return nil
	}
	added := &connection{Conn: accepted, owner: c}
	c.open[added] = struct{}{}
	return added
}

// closeAll closes the listener and every connection.
func (c *connections) closeAll() {
	_ = c.Close()
	c.mu.Lock()
	c.closed = true
	open := make([]*connection, 0, len(c.open))
	for current := range c.open {
		open = append(open, current)
	}
	c.mu.Unlock()
	for _, current := range open {
		_ = current.Close()
	}
}

// silence stops the traffic of all open connections but one without closing them.
func (c *connections) silence(except net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for current := range c.open {
		if net.Conn(current) != except {
			current.silent.Store(true)
		}
	}
}

// counts returns the number of open connections and of refused ones.
func (c *connections) counts() (open int, refusals uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open), c.refusals
}

// connection is an accepted connection. Once silent, it discards all traffic.
type connection struct {
	net.Conn
	owner  *connections
	silent atomic.Bool
}

// Read returns no more data once the connection is silent.
func (c *connection) Read(buf []byte) (int, error) {
	for {
		n, err := c.Conn.Read(buf)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write discards its data once the connection is silent.
func (c *connection) Write(buf []byte) (int, error) {
	if c.silent.Load() {
		return len(buf), nil
	}
	return c.Conn.Write(buf)
}

// Close closes the connection and removes it from the open ones.
func (c *connection) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
