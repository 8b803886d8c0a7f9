package timer

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the clock of a machine that may be suspended. Unlike Go's monotonic
// clock, Now includes the time spent in suspension, as of the last Resync.
type Boot struct {
	start  time.Time
	origin Millis
	// suspended is the lead of the boot-time clock over the monotonic one, in ms.
	suspended atomic.Int64
}

// NewBoot returns a clock whose Now starts at 1 ms, so that zero always means
// "not set".
func NewBoot() *Boot {
	b := &Boot{start: time.Now().Add(-time.Millisecond)}
	b.origin = b.bootTime() - FromDuration(time.Since(b.start))
	return b
}

// Now returns the time since the clock was made.
func (b *Boot) Now() Millis { return FromDuration(time.Since(b.start)) + Millis(b.suspended.Load()) }

// Wall returns Unix time in milliseconds.
func (b *Boot) Wall() Millis { return FromTime(time.Now()) }

// Resync adds the time of a suspension since the last call to the clock and
// returns the current time. It costs a system call. Now never goes back.
func (b *Boot) Resync() Millis {
	monotonic := FromDuration(time.Since(b.start))
	suspended := int64(b.bootTime() - b.origin - monotonic)
	// The two clocks are read one after the other, so a small difference does not
	// mean a suspension.
	if previous := b.suspended.Load(); suspended-previous > int64(minSuspension) {
		b.suspended.CompareAndSwap(previous, suspended)
	}
	return b.Now()
}

// minSuspension is the difference between the clocks above which the machine
// counts as suspended.
const minSuspension = 20 * Millis(1)

// bootTime reads CLOCK_BOOTTIME. If that fails, suspensions are not detected.
func (b *Boot) bootTime() Millis {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return b.origin + FromDuration(time.Since(b.start))
	}
	return Millis(now.Nano() / int64(time.Millisecond))
}
