package timer

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the clock of a machine that may be suspended. Now counts the time of
// suspension, which Go's monotonic clock does not, as of the last Resync.
type Boot struct {
	start  time.Time
	origin Millis
	// ahead is how much further the boot-time clock is, in ms.
	ahead atomic.Int64
}

// NewBoot returns a clock whose Now starts at 1 ms, so that zero always means
// "not set".
func NewBoot() *Boot {
	b := &Boot{start: time.Now().Add(-time.Millisecond)}
	b.origin = b.bootTime() - FromDuration(time.Since(b.start))
	return b
}

// Now returns the time since the clock was made.
func (b *Boot) Now() Millis { return FromDuration(time.Since(b.start)) + Millis(b.ahead.Load()) }

// Wall returns Unix time in milliseconds.
func (b *Boot) Wall() Millis { return FromTime(time.Now()) }

// Resync takes the time of a suspension into account and returns the time now.
// It costs a system call. Now never goes back.
func (b *Boot) Resync() Millis {
	monotonic := FromDuration(time.Since(b.start))
	ahead := int64(b.bootTime() - b.origin - monotonic)
	// The two clocks are read one after the other, so that a small difference
	// says nothing.
	if known := b.ahead.Load(); ahead-known > int64(suspendedAtLeast) {
		b.ahead.CompareAndSwap(known, ahead)
	}
	return b.Now()
}

// suspendedAtLeast is the difference between the clocks that counts as a
// suspension.
const suspendedAtLeast = 20 * Millis(1)

// bootTime reads CLOCK_BOOTTIME. Without it suspensions go unnoticed.
func (b *Boot) bootTime() Millis {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return b.origin + FromDuration(time.Since(b.start))
	}
	return Millis(now.Nano() / int64(time.Millisecond))
}
