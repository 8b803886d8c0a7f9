package selector

import (
	"math/rand/v2"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Expected times are in units of the mean run on a VM that is as fast as usual.
const (
	// kneeShare is the share of busy slots above which backend servers slow
	// down, and kneeFactor by how much; the deployments state 0.8 and 1.7.
	kneeShare  = 0.8
	kneeFactor = 1.7
	// coldFactor is how much longer a cold backend server takes.
	coldFactor = 2.0
	// unknownSlowdown is the mean of a VM that is seven times slower for a third
	// of the time, for reports that are missing or too old.
	unknownSlowdown = 3.0
	// slowdownExpiry is the age at which a reported slowdown says nothing: shared
	// hosts change every half second.
	slowdownExpiry = timer.Second
	// loadWeight spreads attempts over instances that are equally fast.
	loadWeight = 0.3
	// remotePenalty is the round trip to another failure domain, about a
	// fiftieth of a run, and makes the own one win a tie.
	remotePenalty = 0.3
	percent       = 100
)

// LeastExpectedTime picks the instance where an attempt is expected to end first.
type LeastExpectedTime struct {
	instanceSet
	domain identifier.FailureDomain
	random *rand.Rand
}

// NewLeastExpectedTime returns a policy without instances.
func NewLeastExpectedTime(domain identifier.FailureDomain, random *rand.Rand) *LeastExpectedTime {
	return &LeastExpectedTime{domain: domain, random: random}
}

// Pick scans all instances from a random one on, so that daemons with the same
// reports do not all begin with the same instance.
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
	if r.Domain != l.domain {
		expected += remotePenalty
	}
	return expected
}
