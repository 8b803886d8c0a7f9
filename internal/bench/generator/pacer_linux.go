package generator

import (
	"syscall"
	"time"
)

// pause sleeps for a span. It sleeps in the kernel, since the runtime's timers
// round up to a millisecond when the process is idle, which would be most of a
// short latency.
func pause(span time.Duration) {
	left := syscall.NsecToTimespec(span.Nanoseconds())
	// An early return after a signal is harmless: the caller checks the clock.
	_ = syscall.Nanosleep(&left, nil)
}
