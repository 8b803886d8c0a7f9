package registrar

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// readers is the number of daemons that read the store for all. One that fails
	// unnoticed is made good by four others.
	readers = 5
	// stubbornReaders keep reading when they are cut off, so that a store that was
	// away for all is found again.
	stubbornReaders = 3
)

// Elected reports whether a daemon is one of those that read the platform's store
// for the others. Every daemon ranks the members that it hears, by a hash of their
// names, and those that reach the store come first. Daemons that hear different
// members elect different ones, and more than needed is harmless; one that hears
// nobody elects itself.
func (r *Registrar) Elected(now timer.Millis, self Member) bool {
	candidates := []Member{self}
	for _, e := range r.entries {
		if e.heard && now-e.heardAt <= silentAfter {
			candidates = append(candidates, e.member)
		}
	}
	slices.SortFunc(candidates, func(x, y Member) int {
		return cmp.Or(cmp.Compare(rank(x.Node), rank(y.Node)), byNode(x, y))
	})
	connected := 0
	for place, m := range candidates {
		if m.Node == self.Node {
			return place < stubbornReaders || !m.StoreUnreachable && connected < readers
		}
		if !m.StoreUnreachable {
			connected++
		}
	}
	return false
}

// rank spreads the readers over failure domains and services, whose members have
// similar names.
func rank(node identifier.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node)) // A hash does not fail.
	return h.Sum64()
}
