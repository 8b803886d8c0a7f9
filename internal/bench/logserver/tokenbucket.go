package logserver

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

// The burst size is the appends of a tenth of a second, so that a batch from many
// daemons is not refused while the rate over a second is within the limit.
const burstsPerSecond = 10

// tokenBucket counts in thousandths of a token, which makes the refill of one
// millisecond exact.
type tokenBucket struct {
	rate     int64 // tokens a second
	capacity int64
	level    int64
	updated  timer.Millis
}

func newTokenBucket(rate int) tokenBucket {
	capacity := max(int64(rate)*1000/burstsPerSecond, 1000)
	return tokenBucket{rate: int64(rate), capacity: capacity, level: capacity}
}

// take removes one token and reports whether there was one. A rate of zero or
// less sets no limit.
func (b *tokenBucket) take(now timer.Millis) bool {
	if b.rate <= 0 {
		return true
	}
	if now > b.updated {
		elapsed := min(now-b.updated, timer.Second)
		b.level = min(b.level+int64(elapsed)*b.rate, b.capacity)
		b.updated = now
	}
	if b.level < 1000 {
		return false
	}
	b.level -= 1000
	return true
}
