package timer

import "sync"

// Manual is a clock that moves only by Advance and StepWall. It is safe for
// concurrent use.
type Manual struct {
	mu   sync.Mutex
	now  Millis
	wall Millis
}

// NewManual returns a manual clock at the given monotonic and Unix times.
func NewManual(now, wall Millis) *Manual { return &Manual{now: now, wall: wall} }

// Now returns the monotonic time.
func (m *Manual) Now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Wall returns the Unix time.
func (m *Manual) Wall() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wall
}

// Advance moves both times forward by a duration.
func (m *Manual) Advance(span Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += span
	m.wall += span
}

// StepWall moves only the Unix time, as a clock correction does.
func (m *Manual) StepWall(span Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wall += span
}
