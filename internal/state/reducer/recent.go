package reducer

import "github.com/magnoliaknot/magnoliaknot/pkg/identifier"

// RecentID remembers a change that was folded. Version is 0 if it was rejected.
type RecentID struct {
	ID      identifier.ChangeID `json:"id"`
	Offset  identifier.Offset   `json:"offset"`
	Version identifier.Version  `json:"version,omitempty"`
}

// recent holds the latest ids in fold order, so that all daemons forget the
// same ids at the same offset.
type recent struct {
	order window[RecentID]
	byID  map[identifier.ChangeID]RecentID
}

func newRecent(limit int) recent {
	return recent{order: window[RecentID]{limit: limit}, byID: make(map[identifier.ChangeID]RecentID)}
}

func (r *recent) find(id identifier.ChangeID) (RecentID, bool) {
	found, ok := r.byID[id]
	return found, ok
}

func (r *recent) push(id RecentID) (RecentID, bool) {
	r.byID[id.ID] = id
	evicted, full := r.order.push(id)
	if full {
		delete(r.byID, evicted.ID)
	}
	return evicted, full
}

// window holds the latest items up to a limit, oldest first.
type window[T any] struct {
	items []T
	limit int
}

// push adds an item and returns the one that it displaces, if any.
func (w *window[T]) push(item T) (T, bool) {
	var evicted, none T
	full := len(w.items) == w.limit
	if full {
		evicted, w.items[0] = w.items[0], none
		w.items = w.items[1:]
	}
	w.items = append(w.items, item)
	return evicted, full
}
