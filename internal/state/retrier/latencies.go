package retrier

import (
	"math/bits"
	"time"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// A bucket spans a quarter of an octave of microseconds, so that an estimate
	// is too high by a quarter at most. 32 octaves reach beyond an hour.
	bucketsPerOctave = 4
	bucketCount      = 32 * bucketsPerOctave
	// halfLife lets the estimates follow a change of load within some seconds.
	halfLife = 10 * timer.Second
	// minSamples is the number of latencies below which a high quantile is not
	// reliable.
	minSamples = 100
)

// Latencies estimates quantiles of the latency of complete answers of one
// service, for the hedge delay and the stall timeout. Old latencies lose half of
// their weight every 10 s. The zero value is ready for use.
type Latencies struct {
	counts    [bucketCount]uint32
	total     uint32
	lastDecay timer.Millis
}

// Observe counts the latency of a complete answer.
func (l *Latencies) Observe(now timer.Millis, latency time.Duration) {
	l.decay(now)
	l.counts[bucketOf(latency)]++
	l.total++
}

// HedgeDelay returns the 95th percentile, at least 1 ms. Zero means that there
// are too few latencies for hedging.
func (l *Latencies) HedgeDelay() timer.Millis {
	if l.total < minSamples {
		return 0
	}
	return ceilMillis(l.quantile(95))
}

// StallTimeout returns twice the 99th percentile, at least 250 ms. With too few
// latencies it is 250 ms.
func (l *Latencies) StallTimeout() timer.Millis {
	if l.total < minSamples {
		return defaultStallTimeout
	}
	return max(defaultStallTimeout, 2*ceilMillis(l.quantile(99)))
}

// quantile returns the upper bound of the bucket that holds a percentile.
func (l *Latencies) quantile(percent uint64) time.Duration {
	above := uint64(l.total) * (100 - percent) / 100
	for i := bucketCount - 1; i > 0; i-- {
		if count := uint64(l.counts[i]); count <= above {
			above -= count
			continue
		}
		return upperBound(i)
	}
	return upperBound(0)
}

// decay halves the counts once for each half-life that has passed.
func (l *Latencies) decay(now timer.Millis) {
	elapsed := now - l.lastDecay
	if elapsed >= 0 && elapsed < halfLife {
		return
	}
	l.lastDecay = now
	if elapsed < 0 {
		return // The clock has jumped back.
	}
	shift := uint(min(elapsed/halfLife, 31))
	l.total = 0
	for i := range l.counts {
		l.counts[i] >>= shift
		l.total += l.counts[i]
	}
}

func bucketOf(latency time.Duration) int {
	micros := uint64(max(latency.Microseconds(), bucketsPerOctave))
	octave := bits.Len64(micros) - 3 // Four microseconds are in octave 0.
	quarter := int(micros>>octave) - bucketsPerOctave
	return min(octave*bucketsPerOctave+quarter, bucketCount-1)
}

func upperBound(bucket int) time.Duration {
	octave, quarter := bucket/bucketsPerOctave, bucket%bucketsPerOctave
	return time.Duration(bucketsPerOctave+quarter+1) << octave * time.Microsecond
}

func ceilMillis(d time.Duration) timer.Millis {
	return timer.FromDuration(d + time.Millisecond - 1)
}
