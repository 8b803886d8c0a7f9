package logserver

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

// A tenth of a second of appends may come at once, so that a batch from many
// daemons is not refused while the rate over a second is kept.
const burstsPerSecond = 10

// bucket is a token bucket in thousandths of a token, which makes the refill
// of one millisecond exact.
type bucket struct {
	rate     int64 // tokens a second
	capacity int64
	level    int64
	updated  timer.Millis
}

func newBucket(rate int) bucket {
	capacity := max(int64(rate)*1000/burstsPerSecond, 1000)
	return bucket{rate: int64(rate), capacity: capacity, level: capacity}
}

// take removes one token. A rate of zero or less sets no limit.
func (b *bucket) take(now timer.Millis) bool {
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
