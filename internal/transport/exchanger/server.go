package exchanger

import (
	"container/list"
	"context"
	"errors"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/separator"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Limits bound the size and the duration of a caller's requests.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout bounds the time from the first byte of a request to its end.
	HeaderTimeout timer.Millis
	IdleTimeout   timer.Millis
	// ConnectionAge is how long a connection is used; 0 has no bound.
	ConnectionAge timer.Millis
}

// Problem is the reason why a request could not be read.
type Problem int

// Problems with a request.
const (
	Malformed Problem = iota
	HeaderTooLarge
	BodyTooLarge
	// OutOfMemory means that other requests and connections use the memory.
	OutOfMemory
	// TooManyConnections means that the request was not read since no connection could be
	// closed in favour of the one on which it comes.
	TooManyConnections
)

// ServerConfig holds what a Server needs.
type ServerConfig struct {
	Handler Handler
	// Limits is called for each new connection, so that changes apply to new ones.
	Limits func() Limits
	// Reject sets the response to a request that could not be read. The request has a header
	// only if its head was read.
	Reject func(x *Exchange, problem Problem)
	// Names are the fields of requests that the handler reads or sets. The others are in the
	// Fields of the request. Nil means that the handler needs no fields but those of the message.
	Names *separator.Names
	// Memory bounds the connections, the requests and the responses to them.
	Memory *Memory
	// MaxConnections bounds the open connections; 0 has no bound. When there are more, the one
	// that has waited longest for a request is closed.
	MaxConnections int
	Clock          timer.Clock
	Logger         *slog.Logger
}

// Server serves HTTP/1.1 connections. It is safe for concurrent use.
type Server struct {
	config  ServerConfig
	closing atomic.Bool

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*serverConn]struct{}
	// waiting are the connections on which no request has arrived as a whole since the
	// last response, the one that has waited longest first.
	waiting *list.List
	// refusing counts the connections that get a refusal without having been added.
	refusing int
	stopped  bool
}

// NewServer returns a server without listeners.
func NewServer(config ServerConfig) *Server {
	return &Server{config: config, conns: map[*serverConn]struct{}{}, waiting: list.New()}
}

var messageNames = separator.NewNames(nil, nil)

func (s *Server) names() *separator.Names {
	if s.config.Names == nil {
		return messageNames
	}
	return s.config.Names
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
			if !isTemporary(err) {
				return Error.Wrap(err)
			}
			s.config.Logger.Warn("connection not accepted", "error", err.Error())
			s.closeLongestWaiting()
			time.Sleep(acceptPause.Duration())
			continue
		}
		s.open(conn)
	}
}

// acceptPause is the time between two tries to accept a connection while the process or the
// system has no descriptors or memory for it.
const acceptPause = 10 * timer.Millis(1)

// isTemporary reports whether another connection may be accepted later.
func isTemporary(err error) bool {
	return isExhausted(err) || errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EPROTO) || errors.Is(err, syscall.EPERM)
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) remove(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if c.place != nil {
		s.waiting.Remove(c.place)
		c.place = nil
	}
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

// shutdownPoll is the time between two looks at the open connections.
const shutdownPoll = 10 * timer.Millis(1)

// Shutdown stops accepting, closes connections as they become idle, and closes all of them at
// the end of the context.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.Close()
	s.CloseAfterResponses()
	s.StopAccepting()
	for s.CloseIdle() > 0 {
		select {
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		case <-time.After(shutdownPoll.Duration()):
		}
	}
	return nil
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
