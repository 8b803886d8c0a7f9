package timer

// Steady is a clock whose Unix time follows the monotonic time of another clock. A
// step of the time of day during the life of a process does not change it.
type Steady struct {
	clock  Clock
	offset Millis
}

// NewSteady returns a clock that has the Unix time of another clock at this moment.
func NewSteady(clock Clock) *Steady { return &Steady{clock: clock, offset: clock.Wall() - clock.Now()} }

// Now returns the monotonic time.
func (s *Steady) Now() Millis { return s.clock.Now() }

// Resync adds the time of a suspension of the machine; see Resync.
func (s *Steady) Resync() Millis { return Resync(s.clock) }

// Wall returns the Unix time.
func (s *Steady) Wall() Millis { return s.offset + s.clock.Now() }
