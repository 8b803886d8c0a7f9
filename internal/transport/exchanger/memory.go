package exchanger

import (
	"sync"
	"sync/atomic"
)

// Memory bounds the bytes of message bodies that a process holds at the same time.
// It is safe for concurrent use. A nil Memory has no bound.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a bound of limit bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Used returns the number of bytes that are reserved.
func (m *Memory) Used() int64 { return m.used.Load() }

// NewReservation returns an empty reservation.
func (m *Memory) NewReservation() *Reservation { return &Reservation{memory: m} }

// Reservation is the memory held for the bodies of one exchange. It is safe for
// concurrent use. A nil Reservation has no bound.
type Reservation struct {
	memory *Memory

	mu     sync.Mutex
	held   int64
	closed bool
}

// Grow reserves more bytes. It returns false if they are not available or if the
// reservation is closed.
func (r *Reservation) Grow(bytes int64) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	if m := r.memory; m != nil && m.used.Add(bytes) > m.limit {
		m.used.Add(-bytes)
		return false
	}
	r.held += bytes
	return true
}

// Close frees the reserved bytes. Bodies that are still read for the exchange, such
// as that of an attempt that nobody waits for, get no more memory.
func (r *Reservation) Close() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.memory != nil {
		r.memory.used.Add(-r.held)
	}
	r.held, r.closed = 0, true
}
