package exchanger

import (
	"errors"
	"sync/atomic"
	"syscall"
)

// Sockets bounds the connections that the pools of a process open. It is safe for
// concurrent use. A nil Sockets has no bound.
type Sockets struct {
	limit int64
	used  atomic.Int64
}

// NewSockets returns a bound of limit connections.
func NewSockets(limit int64) *Sockets { return &Sockets{limit: limit} }

// take reserves a socket and reports whether there is one.
func (s *Sockets) take() bool {
	if s == nil {
		return true
	}
	if s.used.Add(1) > s.limit {
		s.used.Add(-1)
		return false
	}
	return true
}

func (s *Sockets) giveBack() {
	if s != nil {
		s.used.Add(-1)
	}
}

// isExhausted reports whether the process or the system has no descriptors or memory for a
// connection.
func isExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}
