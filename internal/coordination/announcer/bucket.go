package announcer

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

const (
	// appendsPerSecond and appendBurst bound the appends of one daemon. They keep
	// the readers of the target's 29 failure domains together below 900 appends
	// per second even if all domains return at the same time.
	appendsPerSecond = 10
	appendBurst      = 5
)

// bucket is a token bucket in thousandths of an append.
type bucket struct {
	level timer.Millis
	at    timer.Millis
}

func newBucket(now timer.Millis) bucket { return bucket{level: appendBurst * timer.Second, at: now} }

func (b *bucket) refill(now timer.Millis) {
	b.level = min(b.level+(now-b.at)*appendsPerSecond, appendBurst*timer.Second)
	b.at = now
}

// ready returns the earliest time at which an append is allowed.
func (b *bucket) ready(now timer.Millis) timer.Millis {
	b.refill(now)
	missing := timer.Second - b.level
	if missing <= 0 {
		return now
	}
	return now + (missing+appendsPerSecond-1)/appendsPerSecond
}

func (b *bucket) spend() { b.level -= timer.Second }
