package deduplicator

import (
	"encoding/binary"
	"hash/fnv"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// weight is the rendezvous weight of an instance for a shard (Thaler and
// Ravishankar, "Using name-based mappings to increase hit rates", 1998).
func weight(shard identifier.Shard, instance identifier.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(instance))
	var buf [4]byte
	binary.BigEndian.PutUint32(buf[:], uint32(shard))
	_, _ = h.Write(buf[:])
	// FNV alone mixes the last bytes poorly into the high bits.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// rankOf returns how many members are preferred to one for a shard, at most
// limit. It stops there: a full count takes 1 ms for 34,000 members, and nearly
// every daemon finds a few preferred members near the start of the list.
func rankOf(shard identifier.Shard, members []Member, instance identifier.InstanceID, limit int) int {
	own := weight(shard, instance)
	rank := 0
	for _, m := range members {
		if m.Instance != instance && weight(shard, m.Instance) > own {
			if rank++; rank == limit {
				break
			}
		}
	}
	return rank
}

// chooseSuccessors picks the preferred members other than the owner. It first
// takes members from failure domains not yet used by the owner or another
// successor, then members of any failure domain, and members to avoid only if
// there are no others.
func chooseSuccessors(shard identifier.Shard, members []Member, owner Claimant, avoid []Claimant) []Claimant {
	used := map[identifier.FailureDomain]bool{}
	for _, m := range members {
		if m.Claimant == owner {
			used[m.FailureDomain] = true
		}
	}
	chosen := make([]Claimant, 0, maxSuccessors)
	passes := []struct{ otherDomain, avoid bool }{{true, true}, {false, true}, {false, false}}
	for _, pass := range passes {
		for len(chosen) < maxSuccessors {
			best, found := bestMember(shard, members, func(m Member) bool {
				return m.Instance != owner.Instance && !slices.Contains(chosen, m.Claimant) &&
					!(pass.otherDomain && used[m.FailureDomain]) &&
					!(pass.avoid && slices.Contains(avoid, m.Claimant))
			})
			if !found {
				break
			}
			used[best.FailureDomain] = true
			chosen = append(chosen, best.Claimant)
		}
	}
	return chosen
}

func bestMember(shard identifier.Shard, members []Member, allowed func(Member) bool) (best Member, found bool) {
	var bestWeight uint64
	for _, m := range members {
		if !allowed(m) {
			continue
		}
		if w := weight(shard, m.Instance); !found || w > bestWeight {
			best, bestWeight, found = m, w, true
		}
	}
	return best, found
}
