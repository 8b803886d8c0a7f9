package identifier

import (
	"math/rand/v2"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// incarnationBits is the number of random low bits of an incarnation, which names
// the process in its attempts and reports. If 300 processes start within 100 ms,
// the chance that two share an incarnation is 1 in 14,000. The time in Unix ms
// takes 41 bits until 2039.
const incarnationBits = 22

// NewIncarnation returns an incarnation that is larger than that of any earlier
// process of the instance, as long as the clock does not go back.
func NewIncarnation(wall timer.Millis) Incarnation {
	return Incarnation(uint64(wall)<<incarnationBits | rand.Uint64N(1<<incarnationBits))
}

// maxIncarnationTime is the start of the year 2100 in Unix ms.
const maxIncarnationTime = 4_102_444_800_000

// Plausible reports whether an incarnation can be that of a process: it is above 0, and of a
// time before the year 2100. Another one may be higher than that of any later process.
func (i Incarnation) Plausible() bool {
	return i > 0 && uint64(i)>>incarnationBits < maxIncarnationTime
}
