package timer

import "time"

// System is the clock of the machine.
type System struct {
	start time.Time
}

// NewSystem returns a clock whose Now starts at 1 ms, so that zero always
// means "not set".
func NewSystem() *System { return &System{start: time.Now().Add(-time.Millisecond)} }

// Now returns the monotonic time since the clock was made.
func (s *System) Now() Millis { return FromDuration(time.Since(s.start)) }

// Wall returns Unix time in milliseconds.
func (s *System) Wall() Millis { return FromTime(time.Now()) }
