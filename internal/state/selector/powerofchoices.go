package selector

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Defaults of Config.
const (
	defaultChoices = 3
	// defaultMaxUses limits the picks from one result, since it does not include
	// the requests that other daemons have sent since.
	defaultMaxUses = 4
	defaultExpiry  = timer.Second
	// defaultProbeInterval is 20 probes a second for each service in use. Three
	// services take 60 of the 200 messages a second of the example budget.
	defaultProbeInterval timer.Millis = 50
	// defaultWarmUpEvery sends about 6% of first attempts to cold instances.
	defaultWarmUpEvery = 16
)

const (
	// coldExpiry is longer than the expiry of load, since a cold start lasts
	// for many requests.
	coldExpiry = 5 * timer.Second
	// The hot threshold is the 0.84 quantile of requests in flight, as in the
	// paper (2 to the power of -0.25).
	hotNumerator, hotDenominator = 84, 100
	// muchSlowerFactor limits the latency of a preferred local instance relative
	// to another one. Without it a slow local instance is preferred until it is
	// hot.
	muchSlowerFactor = 2
)

// Config holds the settings of PowerOfChoices. Zero fields get defaults.
type Config struct {
	// Self seeds the choice of probe targets, so that daemons choose different
	// ones.
	Self identifier.InstanceID
	// Domain is the failure domain of the daemon.
	Domain identifier.FailureDomain
	// Choices is the number of results drawn for a pick.
	Choices int
	// MaxUses is the number of picks that may use one result.
	MaxUses int
	// Expiry is the age at which a result is no longer used.
	Expiry timer.Millis
	// ProbeInterval is the time between two probes of this service.
	ProbeInterval timer.Millis
	// WarmUpEvery is the number of first attempts of which one may go to a cold
	// instance below its limit. A negative number turns this off.
	WarmUpEvery int
}

// PowerOfChoices picks the best of a few recent probe results. Without enough
// fresh results it picks the better of two random instances by own outstanding
// attempts.
type PowerOfChoices struct {
	instanceSet
	Prober
	config Config
	rng    *rand.Rand
	picks  int

	// The fields below are valid during one pick.
	fresh      []*instanceState
	candidates []*instanceState
	threshold  int32
}

// NewPowerOfChoices returns a policy without instances.
func NewPowerOfChoices(config Config, rng *rand.Rand) *PowerOfChoices {
	setDefault(&config.Choices, defaultChoices)
	setDefault(&config.MaxUses, defaultMaxUses)
	setDefault(&config.Expiry, defaultExpiry)
	setDefault(&config.ProbeInterval, defaultProbeInterval)
	setDefault(&config.WarmUpEvery, defaultWarmUpEvery)
	return &PowerOfChoices{
		config:     config,
		rng:        rng,
		Prober:     Prober{interval: config.ProbeInterval},
		fresh:      make([]*instanceState, 0, maxTargets),
		candidates: make([]*instanceState, 0, maxTargets),
	}
}

func setDefault[T int | timer.Millis](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Step processes an event.
func (p *PowerOfChoices) Step(now timer.Millis, event Event) {
	p.instanceSet.Step(now, event)
	if _, changed := event.(InstancesChanged); changed {
		for _, r := range p.list {
			r.local = r.Domain == p.config.Domain
		}
		p.targets = chooseTargets(p.list, p.config.Self, p.rng)
	}
}

// Pick returns the best choice that is not excluded. A cold instance or one at
// its limit is picked only if there is no other or to warm it up.
func (p *PowerOfChoices) Pick(now timer.Millis, exclusions Exclusions) (identifier.InstanceID, bool) {
	p.RecordPick(now)
	p.picks++
	p.collect(now, exclusions)
	chosen := p.warmUp(now, exclusions)
	// Results of fewer than half of the targets do not represent the rest.
	if chosen == nil && 2*len(p.fresh) >= len(p.targets) {
		p.threshold = p.hotThreshold()
		chosen = p.pickFromPool(now)
	}
	// Ranking only results that may still be used would favour the instances that
	// ranked last before.
	if chosen != nil && chosen.usesSinceReport >= p.config.MaxUses {
		chosen = nil
	}
	if chosen == nil {
		chosen = p.pickFromTwo(now, exclusions)
	}
	if chosen != nil {
		chosen.usesSinceReport++
	}
	return pickResult(chosen)
}

// collect fills fresh with the results that have not expired and candidates
// with those that may be picked.
func (p *PowerOfChoices) collect(now timer.Millis, exclusions Exclusions) {
	p.fresh, p.candidates = p.fresh[:0], p.candidates[:0]
	for _, r := range p.targets {
		if !p.isFresh(now, r) {
			continue
		}
		r.estimate = r.inFlight()
		p.fresh = append(p.fresh, r)
		if !p.avoided(now, r) && !exclusions.Has(r.ID) {
			p.candidates = append(p.candidates, r)
		}
	}
}

func (p *PowerOfChoices) isFresh(now timer.Millis, r *instanceState) bool {
	return r.reported && r.age(now) >= 0 && r.age(now) < p.config.Expiry
}

// avoided reports whether an instance is cold or at its limit. Without a fresh
// report only own attempts count towards the limit.
func (p *PowerOfChoices) avoided(now timer.Millis, r *instanceState) bool {
	if !r.reported || r.load.Limit <= 0 {
		if r.Slots > 0 && r.ownAttempts >= int32(r.Slots) {
			return true
		}
	} else if r.ownAttempts >= r.load.Limit || p.isFresh(now, r) && r.inFlight() >= r.load.Limit {
		return true
	}
	return p.isCold(now, r)
}

func (p *PowerOfChoices) isCold(now timer.Millis, r *instanceState) bool {
	return r.reported && r.load.Cold && r.age(now) < coldExpiry
}

// warmUp returns a cold instance for one in WarmUpEvery first attempts. A cold
// instance without requests would stay cold as long as others exist.
func (p *PowerOfChoices) warmUp(now timer.Millis, exclusions Exclusions) *instanceState {
	if p.config.WarmUpEvery <= 0 || p.picks%p.config.WarmUpEvery != 0 || len(exclusions.Tried) > 0 {
		return nil
	}
	for _, r := range p.fresh {
		if p.isCold(now, r) && r.ownAttempts == 0 && r.inFlight() < r.load.Limit && !exclusions.Has(r.ID) {
			return r
		}
	}
	return nil
}

// pickFromPool ranks a few random candidates. The daemon's failure domain is
// preferred while its best choice is neither hot nor much slower than the best
// of all.
func (p *PowerOfChoices) pickFromPool(now timer.Millis) *instanceState {
	others := len(p.candidates)
	best := p.bestOf(now, p.candidates)
	for i := 0; i < others; {
		if p.candidates[i].local {
			i++
			continue
		}
		others--
		p.candidates[i], p.candidates[others] = p.candidates[others], p.candidates[i]
	}
	local := p.bestOf(now, p.candidates[:others])
	if local == nil || p.hot(local) || muchSlower(now, local, best) {
		return best
	}
	return local
}

// bestOf draws Choices distinct instances to the front of a list and returns the
// best of them.
func (p *PowerOfChoices) bestOf(now timer.Millis, list []*instanceState) *instanceState {
	var best *instanceState
	for i := range min(p.config.Choices, len(list)) {
		j := i + p.rng.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
		if best == nil || p.better(now, list[i], best) {
			best = list[i]
		}
	}
	return best
}

// better is the hot/cold rule: not hot before hot, hot ones by requests in
// flight, the others by latency.
func (p *PowerOfChoices) better(now timer.Millis, a, b *instanceState) bool {
	aHot, bHot := p.hot(a), p.hot(b)
	if aHot != bHot {
		return bHot
	}
	aLatency, bLatency := a.meanLatency(now), b.meanLatency(now)
	if aHot || aLatency == bLatency {
		return a.estimate < b.estimate
	}
	return aLatency < bLatency
}

// hot reports whether an instance has more requests in flight than the
// threshold of this pick.
func (p *PowerOfChoices) hot(r *instanceState) bool { return r.estimate > p.threshold }

// hotThreshold returns the hot quantile of requests in flight of the fresh
// results. It keeps only the values above the quantile in order, which is
// cheaper than sorting all.
func (p *PowerOfChoices) hotThreshold() int32 {
	if len(p.fresh) == 0 {
		return 0
	}
	var top [maxTargets]int32 // In descending order.
	kept := len(p.fresh) - (len(p.fresh)-1)*hotNumerator/hotDenominator
	for i, r := range p.fresh {
		value := r.estimate
		position := min(i, kept)
		for position > 0 && top[position-1] < value {
			if position < kept {
				top[position] = top[position-1]
			}
			position--
		}
		if position < kept {
			top[position] = value
		}
	}
	return top[kept-1]
}

// pickFromTwo returns the better of two random instances by own outstanding
// attempts, weighted with latency if it is known. By the number alone an idle
// slow instance ties with idle fast ones and keeps receiving requests. Avoided
// instances are returned only if there is no other.
func (p *PowerOfChoices) pickFromTwo(now timer.Millis, exclusions Exclusions) *instanceState {
	a, b := p.drawTwo(func(r *instanceState) bool { return !p.avoided(now, r) && !exclusions.Has(r.ID) })
	if a == nil {
		return p.leastAvoided(exclusions)
	}
	if b == nil {
		return a
	}
	aCost, bCost := time.Duration(a.ownAttempts+1), time.Duration(b.ownAttempts+1)
	if a.meanLatency(now) > 0 && b.meanLatency(now) > 0 {
		aCost, bCost = aCost*a.meanLatency(now), bCost*b.meanLatency(now)
	}
	if bCost < aCost || bCost == aCost && b.local {
		return b
	}
	return a
}

// muchSlower reports whether a has more than muchSlowerFactor times the latency
// of b, if both are known.
func muchSlower(now timer.Millis, a, b *instanceState) bool {
	return b.meanLatency(now) > 0 && a.meanLatency(now) > muchSlowerFactor*b.meanLatency(now)
}

// leastAvoided returns the better of two random instances that are not
// excluded: one that is not cold, else one with fewer requests in flight.
func (p *PowerOfChoices) leastAvoided(exclusions Exclusions) *instanceState {
	a, b := p.drawTwo(func(r *instanceState) bool { return !exclusions.Has(r.ID) })
	if b == nil {
		return a
	}
	if a.load.Cold != b.load.Cold {
		if a.load.Cold {
			return b
		}
		return a
	}
	if b.inFlight() < a.inFlight() {
		return b
	}
	return a
}

// drawTwo returns two different random accepted instances. The second, or both,
// are nil if there are fewer.
func (p *PowerOfChoices) drawTwo(accept func(*instanceState) bool) (a, b *instanceState) {
	a = p.draw(p.rng, accept)
	if a == nil {
		return nil, nil
	}
	return a, p.draw(p.rng, func(r *instanceState) bool { return r != a && accept(r) })
}
