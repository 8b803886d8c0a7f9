package recorder

import "time"

// burstSeconds is the capacity of a bucket in seconds of its rate.
const burstSeconds = 2

// bucket is a token bucket.
type bucket struct {
	rate, tokens float64
	filled       time.Time
}

func newBucket(rate float64) bucket {
	return bucket{rate: rate, tokens: rate * burstSeconds, filled: time.Now()}
}

func (b *bucket) take(now time.Time) bool {
	b.tokens = min(b.rate*burstSeconds, b.tokens+b.rate*max(0, now.Sub(b.filled).Seconds()))
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
