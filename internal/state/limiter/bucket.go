package limiter

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

const (
	// unitsPerToken is the number of stored units in one token. A rate of n tokens
	// per second is n units per millisecond, so refilling needs no division.
	unitsPerToken = 1000
	// burstDivisor sets the burst to a fifth of the budget of a second. A larger
	// burst lowers the sustained rate, a smaller one refuses a round of probes.
	burstDivisor = 5
	// datagramBytes is the minimum burst of the byte budget, as far as half of the
	// rate allows: one full UDP datagram on Ethernet.
	datagramBytes = 1472
	// maxRate bounds the rate so that the units of a full bucket fit an int64.
	maxRate = 1 << 40
)

// bucket is a token bucket that counts in whole units, which are never negative.
type bucket struct {
	units    int64
	capacity int64
	rate     int64
	last     timer.Millis
}

// setRate sets the number of tokens allowed within any second. The capacity is at
// least minBurst tokens as far as half of the rate allows, and at least one token
// unless the rate is zero.
func (b *bucket) setRate(now timer.Millis, perSecond, minBurst int64) {
	b.refill(now)
	perSecond = min(max(perSecond, 0), maxRate)
	burst := max(perSecond/burstDivisor, min(perSecond/2, minBurst), min(perSecond, 1))
	b.capacity = burst * unitsPerToken
	b.rate = 0
	if perSecond > 0 {
		// Whole tokens are taken, and within a half-open second at most 999 ms pass
		// between the first and the last take, so burst + 0.999 * (perSecond -
		// burst + 1) stays below perSecond + 1.
		b.rate = perSecond - burst + 1
	}
	b.units = min(b.units, b.capacity)
}

// refill adds the tokens for the time since the latest time seen. When the clock
// jumps back, nothing is added until it has passed that latest time again.
func (b *bucket) refill(now timer.Millis) {
	if now <= b.last {
		return
	}
	elapsed := now - b.last
	b.last = now
	// A bucket is full after one second, since its capacity is at most the
	// number of tokens that it gains in a second.
	if elapsed >= timer.Second || elapsed < 0 {
		b.units = b.capacity
		return
	}
	b.units = min(b.capacity, b.units+int64(elapsed)*b.rate)
}

func (b *bucket) holds(tokens int64) bool { return tokens <= b.units/unitsPerToken }

func (b *bucket) take(tokens int64) { b.units -= tokens * unitsPerToken }
