package exchanger

import (
	"sync"
	"sync/atomic"
)

// Memory bounds the bytes that the connections, requests and responses of a process hold
// at the same time. It is safe for concurrent use. A nil Memory has no bound.
type Memory struct {
	limit int64
	used  *atomic.Int64
}

// NewMemory returns a bound of limit bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit, used: new(atomic.Int64)} }

// Parts of the memory for requests, in percent.
const (
	callersPercent = 85
	peersPercent   = 95
)

// Callers returns the same memory with a lower bound for the requests of callers, which leave
// some to the attempts of other daemons.
func (m *Memory) Callers() *Memory { return m.part(callersPercent) }

// Peers returns the same memory with a lower bound for the attempts of other daemons, which
// leave some to announcements, health checks and operators.
func (m *Memory) Peers() *Memory { return m.part(peersPercent) }

func (m *Memory) part(percent int64) *Memory {
	if m == nil {
		return nil
	}
	return &Memory{limit: m.limit / percentWhole * percent, used: m.used}
}

// Used returns the number of bytes that are reserved.
func (m *Memory) Used() int64 { return m.used.Load() }

// scarce reports whether less than a quarter of the memory is left.
func (m *Memory) scarce() bool { return m != nil && m.used.Load() > m.limit-m.limit/4 }

// claimsPercent is the part of the memory that claims of keys may take.
const claimsPercent = 50

// NewClaimReservation returns an empty reservation for claims of keys, which are kept long after their
// requests. They take at most half of the memory, so that requests still find some.
func (m *Memory) NewClaimReservation() *Reservation {
	return &Reservation{memory: m, limit: m.limit / percentWhole * claimsPercent}
}

// NewReservation returns an empty reservation.
func (m *Memory) NewReservation() *Reservation { return &Reservation{memory: m} }

// Reservation is the memory held for one connection, one exchange or all claims of keys. It is
// safe for concurrent use. A nil Reservation has no bound.
type Reservation struct {
	memory *Memory
	// limit bounds the reservation; 0 has no bound but the memory's.
	limit int64

	mu     sync.Mutex
	held   int64
	closed bool
	// holds counts the calls of Hold without one of Release.
	holds int
}

// Grow reserves more bytes. It returns false if they are not available or if the
// reservation is closed.
func (r *Reservation) Grow(bytes int64) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.limit > 0 && r.held+bytes > r.limit {
		return false
	}
	if m := r.memory; m != nil && m.used.Add(bytes) > m.limit {
		m.used.Add(-bytes)
		return false
	}
	r.held += bytes
	return true
}

// Shrink frees reserved bytes that are no longer held.
func (r *Reservation) Shrink(bytes int64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	bytes = min(bytes, r.held)
	r.held -= bytes
	if r.memory != nil {
		r.memory.used.Add(-bytes)
	}
}

// Hold keeps the bytes reserved until Release, also after Close: an attempt that nobody waits
// for any more still holds a copy of the head and the body of its request.
func (r *Reservation) Hold() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holds++
}

// Release ends a Hold.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holds--
	r.free()
}

// Close frees the reserved bytes as soon as nobody holds them. What is still read for the
// exchange, such as the response to an attempt that nobody waits for, gets no more memory.
func (r *Reservation) Close() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.free()
}

// free frees the bytes of a closed reservation that nobody holds. Its lock must be held.
func (r *Reservation) free() {
	if !r.closed || r.holds > 0 {
		return
	}
	if r.memory != nil {
		r.memory.used.Add(-r.held)
	}
	r.held = 0
}
