//go:build !linux

package generator

import "time"

// pause sleeps for a span.
func pause(span time.Duration) { time.Sleep(span) }
