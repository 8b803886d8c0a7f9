package reducer

import "github.com/magnoliaknot/magnoliaknot/pkg/identifier"

// RecentID identifies a change that was folded. Version is 0 if it was
// rejected.
type RecentID struct {
	ID      identifier.ChangeID `json:"id"`
	Offset  identifier.Offset   `json:"offset"`
	Version identifier.Version  `json:"version,omitempty"`
}

// recentIDs holds the latest ids in fold order, so that all daemons drop the
// same ids at the same offset.
type recentIDs struct {
	order boundedList[RecentID]
	byID  map[identifier.ChangeID]RecentID
}

func newRecentIDs(limit int) recentIDs {
	return recentIDs{order: boundedList[RecentID]{limit: limit}, byID: make(map[identifier.ChangeID]RecentID)}
}

func (r *recentIDs) find(id identifier.ChangeID) (RecentID, bool) {
	found, ok := r.byID[id]
	return found, ok
}

func (r *recentIDs) push(id RecentID) (RecentID, bool) {
	r.byID[id.ID] = id
	evicted, full := r.order.push(id)
	if full {
		delete(r.byID, evicted.ID)
	}
	return evicted, full
}

// boundedList holds the latest items up to a limit, oldest first.
type boundedList[T any] struct {
	items []T
	limit int
}

// push adds an item and returns the one that it displaces, if any.
func (l *boundedList[T]) push(item T) (T, bool) {
	var evicted, zero T
	full := len(l.items) == l.limit
	if full {
		evicted, l.items[0] = l.items[0], zero
		l.items = l.items[1:]
	}
	l.items = append(l.items, item)
	return evicted, full
}
