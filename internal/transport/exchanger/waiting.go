package exchanger

import (
	"net"
	"time"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// open begins to serve a connection that was accepted.
func (s *Server) open(conn net.Conn) {
	memory := s.config.Memory.NewReservation()
	c := newServerConn(s, conn, memory)
	evicted, problem, added := s.add(c)
	for _, e := range evicted {
		e.evict()
	}
	switch {
	case added:
		go c.run()
	case problem != nil:
		go c.refuse(*problem)
	default:
		_ = conn.Close() // The server has stopped, or refuses too many; no request was read.
	}
}

// scarceWait is how long a connection has waited at least when it is closed because memory is
// scarce. Callers send the head of a request within a round trip.
const scarceWait = 250 * timer.Millis(1)

// maxRefusing bounds the connections beyond the bound that are open for a moment, since they
// get a response.
const maxRefusing = 64

// add adds a connection. It returns the connections to be closed in its favour, and the
// problem if there are none.
func (s *Server) add(c *serverConn) (evicted []*serverConn, problem *Problem, added bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil, nil, false
	}
	full := s.config.MaxConnections > 0 && len(s.conns) >= s.config.MaxConnections
	minWait := time.Duration(0)
	if !full {
		minWait = scarceWait.Duration()
	}
	if full || s.config.Memory.scarce() {
		if e := s.removeLongestWaiting(minWait); e != nil {
			evicted, full = append(evicted, e), false
		}
	}
	if full || !c.memory.Grow(connectionCost) {
		if s.refusing >= maxRefusing {
			return evicted, nil, false
		}
		s.refusing++
		return evicted, problemPointer(TooManyConnections), false
	}
	s.conns[c] = struct{}{}
	c.wait()
	return evicted, nil, true
}

// endRefusal ends the use of a connection that was refused.
func (s *Server) endRefusal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing--
}

// removeLongestWaiting takes the connection that has waited longest, and for minWait, out of
// the open ones. It returns nil if there is none. The server's lock must be held.
func (s *Server) removeLongestWaiting(minWait time.Duration) *serverConn {
	first := s.waiting.Front()
	if first == nil {
		return nil
	}
	c := first.Value.(*serverConn)
	if time.Since(c.waitingSince) < minWait {
		return nil
	}
	s.waiting.Remove(first)
	c.place = nil
	delete(s.conns, c)
	return c
}

func (s *Server) closeLongestWaiting() {
	s.mu.Lock()
	c := s.removeLongestWaiting(0)
	s.mu.Unlock()
	if c != nil {
		c.evict()
	}
}

// beginWait records that a connection has no request in flight.
func (s *Server) beginWait(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.conns[c]; open && c.place == nil {
		c.wait()
	}
}

// endWait records that the head of a request has arrived on a connection. It returns false
// if the connection is being closed; the request must not be handled then.
func (s *Server) endWait(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, open := s.conns[c]
	if c.place != nil {
		s.waiting.Remove(c.place)
		c.place = nil
	}
	return open
}
