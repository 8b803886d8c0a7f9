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
	slices.SortFunc(candidates, byRank)
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

// maxUnheard bounds the members that a deciding daemon asks whether they still run.
const maxUnheard = 8

// Deciding reports whether a daemon is the first of the readers that reaches the
// platform's store. In a large fleet, where only some members report to it, better ranked
// ones may run unheard: it returns the first of those, so that they are asked before the
// daemon decides.
func (r *Registrar) Deciding(now timer.Millis, self Member) (first bool, unheard []Member) {
	if self.StoreUnreachable {
		return false, nil
	}
	for _, e := range r.entries {
		if byRank(self, e.member) < 0 {
			continue
		}
		switch heard := e.reported && now-e.lastSeen <= silenceTimeout; {
		case heard && !e.member.StoreUnreachable:
			return false, nil
		case !heard:
			unheard = append(unheard, e.member)
		}
	}
	slices.SortFunc(unheard, byRank)
	return true, unheard[:min(len(unheard), maxUnheard)]
}

// byRank orders the candidates of the election.
func byRank(x, y Member) int { return cmp.Or(cmp.Compare(rank(x.Node), rank(y.Node)), byNode(x, y)) }

// rank hashes the name of a node, so that the readers spread over failure domains
// and services, whose members have similar names.
func rank(node identifier.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node)) // A hash does not fail.
	return h.Sum64()
}
