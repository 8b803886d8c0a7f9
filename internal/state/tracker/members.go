package tracker

import (
	"iter"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// Members returns all members in no particular order.
func (t *Tracker) Members() iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for i := range t.table.rows {
			r := &t.table.rows[i]
			if r.instance == "" || r.left {
				continue
			}
			if !yield(t.table.member(r)) {
				return
			}
		}
	}
}

// DomainLen returns the number of members of a failure domain.
func (t *Tracker) DomainLen(domain identifier.FailureDomain) int {
	for i, name := range t.table.domainNames.list {
		if name == domain && i < len(t.table.domains) {
			return len(t.table.domains[i].ring)
		}
	}
	return 0
}
