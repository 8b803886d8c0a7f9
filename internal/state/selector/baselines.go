package selector

import (
	"math/rand/v2"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Random is the baseline that ignores load.
type Random struct {
	instanceSet
	rng *rand.Rand
}

// NewRandom returns a policy without instances.
func NewRandom(rng *rand.Rand) *Random { return &Random{rng: rng} }

// Pick returns a random instance that is not excluded.
func (p *Random) Pick(_ timer.Millis, exclusions Exclusions) (identifier.InstanceID, bool) {
	return pickResult(p.draw(p.rng, func(r *instanceState) bool { return !exclusions.Has(r.ID) }))
}

// RoundRobin is the baseline that picks instances in turn.
type RoundRobin struct {
	instanceSet
	position int
}

// NewRoundRobin returns a policy without instances. It starts at a random
// position, so that daemons started together do not pick the same instances at
// the same time.
func NewRoundRobin(rng *rand.Rand) *RoundRobin {
	return &RoundRobin{position: int(rng.Uint32() >> 1)}
}

// Pick returns the next instance that is not excluded.
func (p *RoundRobin) Pick(_ timer.Millis, exclusions Exclusions) (identifier.InstanceID, bool) {
	if len(p.list) == 0 {
		return "", false
	}
	p.position = (p.position + 1) % len(p.list)
	return pickResult(p.next(p.position, func(r *instanceState) bool { return !exclusions.Has(r.ID) }))
}

// LeastReported is the baseline that uses the latest load reports, whatever
// their age. It scans all instances.
type LeastReported struct {
	instanceSet
	rng *rand.Rand
}

// NewLeastReported returns a policy without instances.
func NewLeastReported(rng *rand.Rand) *LeastReported { return &LeastReported{rng: rng} }

// Pick returns an instance with the fewest reported requests that is not
// excluded. Instances without a report count as idle; ties are broken at
// random.
func (p *LeastReported) Pick(_ timer.Millis, exclusions Exclusions) (identifier.InstanceID, bool) {
	var best *instanceState
	ties := 0
	for _, candidate := range p.list {
		if exclusions.Has(candidate.ID) {
			continue
		}
		switch load, least := candidate.reportedLoad(), best.reportedLoad(); {
		case best == nil || load < least:
			best, ties = candidate, 1
		case load == least:
			ties++
			if p.rng.IntN(ties) == 0 {
				best = candidate
			}
		}
	}
	return pickResult(best)
}

func (r *instanceState) reportedLoad() int32 {
	if r == nil {
		return 0
	}
	return r.load.InFlight + r.load.Queued
}
