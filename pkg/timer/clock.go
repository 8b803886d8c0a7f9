// Package timer supplies time in milliseconds.
//
// State machines receive the time as a Millis argument and never read a clock.
// The code around them holds a Clock: System or Boot in a running process,
// Manual in tests.
//
// # Usage
//
//	clock := timer.NewSystem()
//	started := clock.Now()
//	...
//	elapsed := clock.Now() - started
package timer

// Clock returns the time in milliseconds.
type Clock interface {
	// Now returns monotonic time since an arbitrary start. Use it for leases,
	// timeouts and durations.
	Now() Millis
	// Wall returns Unix time. Use it for timetables and records that other
	// machines read.
	Wall() Millis
}

// Resync returns the current time including a suspension of the machine that Now may
// not include yet. It is for a last check before an action that a pause would make
// invalid.
func Resync(c Clock) Millis {
	if resyncer, ok := c.(interface{ Resync() Millis }); ok {
		return resyncer.Resync()
	}
	return c.Now()
}
