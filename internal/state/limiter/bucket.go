package limiter

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

const (
	// perToken is the number of stored units in one token. A rate of n tokens
	// a second is n units a millisecond, so filling needs no division.
	perToken = 1000
	// burstDivisor makes the burst a fifth of a second's worth. A larger burst
	// lowers the lasting rate, a smaller one refuses a round of probes.
	burstDivisor = 5
	// datagramBytes is the burst of bytes that small budgets get if half of
	// their rate allows it: one full UDP datagram on Ethernet.
	datagramBytes = 1472
	// maxRate keeps the units of a full bucket within an int64.
	maxRate = 1 << 40
)

// bucket is a token bucket in whole units. Its tokens are never negative.
type bucket struct {
	units    int64
	capacity int64
	rate     int64
	last     timer.Millis
}

// setRate sets the tokens allowed within any second. The capacity is at least
// least tokens as far as half of the rate allows, and at least one token.
func (b *bucket) setRate(now timer.Millis, perSecond, least int64) {
	b.fill(now)
	perSecond = min(max(perSecond, 0), maxRate)
	burst := max(perSecond/burstDivisor, min(perSecond/2, least), min(perSecond, 1))
	b.capacity = burst * perToken
	b.rate = 0
	if perSecond > 0 {
		// Takes are whole and a half-open second spans at most 999 ms between
		// its first and last take, so burst + 0.999 * (perSecond - burst + 1)
		// stays below perSecond + 1.
		b.rate = perSecond - burst + 1
	}
	b.units = min(b.units, b.capacity)
}

// fill adds the tokens earned since the latest time seen. Time that jumps back
// earns nothing, and the time it repeats earns nothing again.
func (b *bucket) fill(now timer.Millis) {
	if now <= b.last {
		return
	}
	elapsed := now - b.last
	b.last = now
	// A bucket is full after one second, since its capacity is at most the
	// tokens it earns in a second.
	if elapsed >= timer.Second || elapsed < 0 {
		b.units = b.capacity
		return
	}
	b.units = min(b.capacity, b.units+int64(elapsed)*b.rate)
}

func (b *bucket) holds(tokens int64) bool { return tokens <= b.units/perToken }

func (b *bucket) take(tokens int64) { b.units -= tokens * perToken }
