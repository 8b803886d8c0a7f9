package generator

import (
	"syscall"
	"time"
)

// pause sleeps for a span. The runtime's timers round up to a millisecond when
// the process is idle, which would be most of a short latency, so the thread
// sleeps in the kernel.
func pause(span time.Duration) {
	left := syscall.NsecToTimespec(span.Nanoseconds())
	// An early return after a signal is harmless: the caller looks at the clock.
	_ = syscall.Nanosleep(&left, nil)
}
