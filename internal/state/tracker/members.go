package tracker

import "iter"

// Version changes with every change of a member, but not with a renewal.
func (t *Tracker) Version() uint64 { return t.table.version }

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
