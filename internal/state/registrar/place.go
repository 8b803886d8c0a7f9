package registrar

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/internal/state/verifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Place ranks a daemon among the candidates to read the platform's store: itself and the
// members that reported recently. Those whose last read failed come last, and a hash of
// their names orders the others. Daemons that hear different members see different ranks;
// more readers than needed do no harm. A daemon without reports is the first.
func (r *Registrar) Place(now timer.Millis, self Member) verifier.Place {
	place := verifier.Place{Candidates: 1}
	for _, e := range r.entries {
		if !r.reports(now, e) {
			continue
		}
		place.Candidates++
		if readsBefore(e.member, self) {
			place.Rank++
		}
	}
	return place
}

// readsBefore reports whether a candidate has a better rank than another.
func readsBefore(x, y Member) bool {
	if x.StoreUnreachable != y.StoreUnreachable {
		return y.StoreUnreachable
	}
	return byRank(x, y) < 0
}

// maxUnheard bounds the members that a deciding daemon asks whether they still run.
const maxUnheard = 8

// Deciding reports whether a daemon is the first candidate that reaches the platform's
// store. In a large fleet, where only some members report to it, better ranked
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
		switch heard := r.reports(now, e); {
		case heard && !e.member.StoreUnreachable:
			return false, nil
		case !heard:
			unheard = append(unheard, e.member)
		}
	}
	slices.SortFunc(unheard, byRank)
	return true, unheard[:min(len(unheard), maxUnheard)]
}

// byRank orders the candidates that reach the store.
func byRank(x, y Member) int { return cmp.Or(cmp.Compare(rank(x.Node), rank(y.Node)), byNode(x, y)) }

// rank hashes the name of a node. The members of a failure domain or service have names
// that differ in their last characters only, and FNV keeps the hashes of such names close
// together; the finalizer of MurmurHash3 spreads them.
func rank(node identifier.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node)) // A hash does not fail.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
