package registrar

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// storeReaders is the number of daemons that read the store for all. If one
	// fails unnoticed, four others still read.
	storeReaders = 5
	// minReaders is the number of daemons that read even if they cannot reach
	// the store, so that the end of an outage for all of them is noticed.
	minReaders = 3
)

// Elected reports whether a daemon is one of those that read the platform's store
// for the others. Each daemon ranks itself and the members that reported recently
// by a hash of their names. The first minReaders are elected in any case, and the
// first storeReaders of those that reach the store. Daemons that know different
// members elect different readers; more than needed do no harm. A daemon without
// reports elects itself.
func (r *Registrar) Elected(now timer.Millis, self Member) bool {
	candidates := []Member{self}
	for _, e := range r.entries {
		if e.reported && now-e.lastSeen <= silenceTimeout {
			candidates = append(candidates, e.member)
		}
	}
	slices.SortFunc(candidates, func(x, y Member) int {
		return cmp.Or(cmp.Compare(rank(x.Node), rank(y.Node)), byNode(x, y))
	})
	connected := 0
	for position, m := range candidates {
		if m.Node == self.Node {
			return position < minReaders || !m.StoreUnreachable && connected < storeReaders
		}
		if !m.StoreUnreachable {
			connected++
		}
	}
	return false
}

// rank hashes the name of a node, so that the readers spread over failure domains
// and services, whose members have similar names.
func rank(node identifier.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node)) // A hash does not fail.
	return h.Sum64()
}
