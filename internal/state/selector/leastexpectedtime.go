package selector

import (
	"math/rand/v2"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Expected times are in units of the mean time of a run on a VM at its usual
// speed.
const (
	// kneeShare is the share of busy slots above which backend servers slow
	// down by kneeFactor. The deployments state 0.8 and 1.7.
	kneeShare  = 0.8
	kneeFactor = 1.7
	// coldFactor is the slowdown of a cold backend server.
	coldFactor = 2.0
	// unknownSlowdown is used if the report is missing or too old. It is the mean
	// of a VM that is seven times slower for a third of the time.
	unknownSlowdown = 3.0
	// slowdownExpiry is the age at which a reported slowdown is no longer used:
	// the speed of shared hosts changes every half second.
	slowdownExpiry = timer.Second
	// loadWeight is the weight of the load. It distributes attempts over
	// instances of equal speed.
	loadWeight = 0.3
	// remotePenalty stands for the round trip to another failure domain, about a
	// fiftieth of a run, and breaks ties in favour of the daemon's own.
	remotePenalty = 0.3
	percent       = 100
	// delayedPenalty is above the expected time at any instance that may start an
	// attempt at once.
	delayedPenalty = 1000
)

// LeastExpectedTime picks the instance at which an attempt is expected to end
// first.
type LeastExpectedTime struct {
	instanceSet
	domain identifier.FailureDomain
	random *rand.Rand
}

// NewLeastExpectedTime returns a policy without instances.
func NewLeastExpectedTime(domain identifier.FailureDomain, random *rand.Rand) *LeastExpectedTime {
	return &LeastExpectedTime{domain: domain, random: random}
}

// Pick returns the instance with the least expected time that is not excluded.
// The scan starts at a random instance, so that daemons with the same reports do
// not all pick the same one.
func (l *LeastExpectedTime) Pick(now timer.Millis, exclusions Exclusions) (identifier.InstanceID, bool) {
	var best *instanceState
	var least float64
	if len(l.list) == 0 {
		return "", false
	}
	offset := l.random.IntN(len(l.list))
	for i := range l.list {
		candidate := l.list[(offset+i)%len(l.list)]
		if exclusions.Has(candidate.ID) {
			continue
		}
		if expected := l.expected(now, candidate); best == nil || expected < least {
			best, least = candidate, expected
		}
	}
	return pickResult(best)
}

// ExpectedTime returns the time that an attempt at an instance is expected to take.
func (l *LeastExpectedTime) ExpectedTime(now timer.Millis, instance identifier.InstanceID) (float64, bool) {
	found := l.byID[instance]
	if found == nil {
		return 0, false
	}
	return l.expected(now, found), true
}

func (l *LeastExpectedTime) expected(now timer.Millis, r *instanceState) float64 {
	limit := float64(max(1, r.Slots))
	if r.reported && r.load.Limit > 0 {
		limit = float64(r.load.Limit)
	}
	slowdown := unknownSlowdown
	if r.reported && r.load.SlowdownPercent > 0 && r.age(now) < slowdownExpiry {
		slowdown = float64(r.load.SlowdownPercent) / percent
	}
	if r.load.Cold {
		slowdown *= coldFactor
	}
	busy := float64(r.inFlight())
	share := (busy + 1) / limit
	expected := slowdown
	if share > kneeShare {
		expected *= kneeFactor
	}
	if share > 1 {
		expected += (busy + 1 - limit) / limit * slowdown * kneeFactor
	}
	expected += loadWeight * min(share, 1)
	if r.reported && r.age(now) < r.load.StartDelay {
		expected += delayedPenalty
	}
	if r.Domain != l.domain {
		expected += remotePenalty
	}
	return expected
}
