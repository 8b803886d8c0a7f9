package selector

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// maxTargets is the number of instances of a large service that one daemon
	// probes.
	maxTargets = 32
	// localTargets is the number of targets reserved for the daemon's failure
	// domain; an even choice over 29 failure domains would give it about one.
	localTargets = maxTargets / 2
	// idleAfter is the time without a pick after which a service is no longer
	// probed. With 2,300 services the budget covers only those in use.
	idleAfter = 10 * timer.Second
	// maxProbes limits the probes of one call, so that a late timer causes no
	// burst.
	maxProbes = 4
)

// Prober schedules the probes of a service. Its rate depends on time alone.
type Prober struct {
	interval timer.Millis
	targets  []*instanceState
	position int
	nextDue  timer.Millis
	lastPick timer.Millis
	picked   bool
	probes   []identifier.InstanceID
}

// SetProbeInterval changes the time between two probes of the service.
func (p *Prober) SetProbeInterval(interval timer.Millis) { p.interval = max(interval, 1) }

// ProbeTargets returns the instances to probe now, in turn. Call it from a
// timer; calls between the due times return none, and a late call returns
// maxProbes at most. The caller still has to check the load-measuring budget for
// each probe. The result is valid until the next call.
func (p *Prober) ProbeTargets(now timer.Millis) []identifier.InstanceID {
	p.probes = p.probes[:0]
	if len(p.targets) == 0 || !p.picked || now-p.lastPick > idleAfter {
		return p.probes
	}
	// A due time more than an interval ahead means that the clock has jumped back.
	if p.nextDue > now+p.interval || p.nextDue < now-maxProbes*p.interval {
		p.nextDue = now
	}
	for p.nextDue <= now && len(p.probes) < min(maxProbes, len(p.targets)) {
		p.position = (p.position + 1) % len(p.targets)
		p.probes = append(p.probes, p.targets[p.position].ID)
		p.nextDue += p.interval
	}
	return p.probes
}

// RecordPick notes a pick of the service. A policy that contains the Prober does so by
// itself; call it for picks of another policy that relies on the probes.
func (p *Prober) RecordPick(now timer.Millis) { p.lastPick, p.picked = now, true }

// chooseTargets returns all instances of a small service, else a subset by
// rendezvous hash with self, which changes little when instances come and go.
// The order is random, so that daemons do not probe the same instances at the
// same time.
func chooseTargets(list []*instanceState, self identifier.InstanceID, rng *rand.Rand) []*instanceState {
	targets := slices.Clone(list)
	if len(list) > maxTargets {
		targets = chooseSubset(rank(list, self))
	}
	rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets
}

// chooseSubset takes the first localTargets instances of the daemon's failure
// domain and then the first of the rest.
func chooseSubset(ranked []*instanceState) []*instanceState {
	targets := make([]*instanceState, 0, maxTargets)
	rest := make([]*instanceState, 0, len(ranked))
	for _, r := range ranked {
		if r.local && len(targets) < localTargets {
			targets = append(targets, r)
		} else {
			rest = append(rest, r)
		}
	}
	return append(targets, rest[:maxTargets-len(targets)]...)
}

// rank returns the instances in descending order of their hash with self.
func rank(list []*instanceState, self identifier.InstanceID) []*instanceState {
	hashes := make(map[*instanceState]uint64, len(list))
	for _, r := range list {
		hashes[r] = hash(self, r.ID)
	}
	return slices.SortedFunc(slices.Values(list), func(a, b *instanceState) int {
		return cmp.Or(cmp.Compare(hashes[b], hashes[a]), cmp.Compare(a.ID, b.ID))
	})
}

// hash is FNV-1a over both ids followed by the finalizer of SplitMix64, which
// spreads ids that differ only in their last characters.
func hash(a, b identifier.InstanceID) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for _, id := range [...]identifier.InstanceID{a, b} {
		for i := range len(id) {
			h = (h ^ uint64(id[i])) * prime
		}
		h *= prime // Separates the ids.
	}
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
