package exchanger

import (
	"errors"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Limits bound the size and the duration of a caller's requests.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout bounds the time from the first byte of a request to its end.
	HeaderTimeout timer.Millis
	IdleTimeout   timer.Millis
}

// Problem is the reason why a request could not be read.
type Problem int

// Problems with a request.
const (
	Malformed Problem = iota
	HeaderTooLarge
	BodyTooLarge
	// OutOfMemory means that the bodies of other requests use the memory.
	OutOfMemory
)

// ServerConfig holds what a Server needs.
type ServerConfig struct {
	Handler Handler
	// Limits is called for each new connection, so that changes apply to new ones.
	Limits func() Limits
	// Reject sets the response to a request that could not be read.
	Reject func(response *fasthttp.Response, problem Problem)
	// Memory bounds the bodies of requests and of the responses to them.
	Memory *Memory
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
			if errors.Is(err, os.ErrDeadlineExceeded) {
				_ = listener.Close() // StopAccepting has set the deadline.
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return Error.Wrap(err)
		}
		c := newServerConn(s, conn)
		if !s.add(c) {
			_ = conn.Close() // The server has stopped; no request was read.
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

// CloseAfterResponses makes every further response close its connection. Idle
// connections stay open, since a request may be in transit.
func (s *Server) CloseAfterResponses() { s.closing.Store(true) }

// CloseIdle closes the connections without a pending request and returns the
// number of the others.
func (s *Server) CloseIdle() int {
	busy := 0
	for _, c := range s.openConns() {
		if !c.closeIdle() {
			busy++
		}
	}
	return busy
}

// acceptDrain is how long Serve still accepts connections after StopAccepting. It is
// set in the future, since Accept takes nothing after its deadline.
const acceptDrain = 20 * timer.Millis(1)

// StopAccepting makes Serve accept the connections that the kernel has established,
// whose callers may already have sent a request, and then refuse new ones. Open ones
// stay in use.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		limited, ok := l.(interface{ SetDeadline(t time.Time) error })
		if !ok || limited.SetDeadline(time.Now().Add(acceptDrain.Duration())) != nil {
			_ = l.Close() // Accept returns even if Close fails.
		}
	}
}

// Close stops accepting and closes every connection.
func (s *Server) Close() {
	s.mu.Lock()
	s.stopped = true
	listeners := s.listeners
	s.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close() // Accept returns even if Close fails.
	}
	for _, c := range s.openConns() {
		c.terminate()
	}
}

// openConns returns the open connections. They are closed without the server's
// lock held, since closing a connection acquires it.
func (s *Server) openConns() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}
