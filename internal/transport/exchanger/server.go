package exchanger

import (
	"errors"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout bounds the time from the first byte of a request to its end.
	HeaderTimeout timer.Millis
	IdleTimeout   timer.Millis
}

// Problem says why a request could not be read.
type Problem int

// Problems with a request.
const (
	Malformed Problem = iota
	HeaderTooLarge
	BodyTooLarge
)

// ServerConfig holds what a Server needs.
type ServerConfig struct {
	Handler Handler
	// Limits is asked for each connection, so that a change applies to new ones.
	Limits func() Limits
	// Reject writes the answer to a request that could not be read.
	Reject func(response *fasthttp.Response, problem Problem)
	Clock  timer.Clock
	Logger *slog.Logger
}

// Server serves HTTP/1.1 connections. It is safe for concurrent use.
type Server struct {
	config  ServerConfig
	closing atomic.Bool

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*serverConn]struct{}
	stopped   bool
}

// NewServer returns a server without listeners.
func NewServer(config ServerConfig) *Server {
	return &Server{config: config, conns: map[*serverConn]struct{}{}}
}

// Serve accepts connections until the listener is closed by Close.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, listener)
	s.mu.Unlock()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return Error.Wrap(err)
		}
		c := newServerConn(s, conn)
		if !s.add(c) {
			_ = conn.Close() // The server has stopped; nothing was read.
			continue
		}
		go c.run()
	}
}

func (s *Server) add(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// CloseAfterResponses makes every answer from now on close its connection.
// Connections that are idle stay open, since a request may be on its way.
func (s *Server) CloseAfterResponses() { s.closing.Store(true) }

// CloseIdle closes the connections on which no request waits for an answer and
// returns the number of the others.
func (s *Server) CloseIdle() int {
	busy := 0
	for _, c := range s.open() {
		if !c.closeIdle() {
			busy++
		}
	}
	return busy
}

// StopAccepting refuses new connections; those that are open go on.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	s.stopped = true
	listeners := s.listeners
	s.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close() // Accept returns in any case.
	}
}

// Close stops accepting and closes every connection.
func (s *Server) Close() {
	s.StopAccepting()
	for _, c := range s.open() {
		c.end()
	}
}

// open returns the connections of the moment. They are closed without the
// server's lock, which their end takes.
func (s *Server) open() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}
