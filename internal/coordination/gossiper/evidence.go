package gossiper

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

// evidenceAge is the age of the evidence that a daemon's configuration is the newest, in
// units of evidenceUnit, rounded up. Zero means that there is none.
type evidenceAge uint32

// evidenceUnit keeps usual ages within one byte of a status message.
const evidenceUnit = 20 * timer.Millis(1)

func newEvidenceAge(age timer.Millis) evidenceAge {
	return evidenceAge(min(max(0, age)/evidenceUnit+1, maxCount))
}

// age returns the age, or false if there is no evidence.
func (e evidenceAge) age() (timer.Millis, bool) { return timer.Millis(e) * evidenceUnit, e > 0 }
