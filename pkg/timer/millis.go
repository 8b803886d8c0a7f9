package timer

import "time"

// Millis is a point in time or a duration in milliseconds.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
	Day           = 24 * Hour
)

// Duration converts to the standard library's type.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration converts a duration to whole milliseconds, rounded towards zero.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// FromTime converts a calendar time to Unix milliseconds.
func FromTime(t time.Time) Millis { return Millis(t.UnixMilli()) }
