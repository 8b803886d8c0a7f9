package admitter

import (
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// entry is a queued attempt.
type entry struct {
	attempt  identifier.AttemptID
	deadline timer.Millis
	// startBy is when waiting ends; not later than the deadline.
	startBy        timer.Millis
	priority       int
	fingerprint    identifier.Fingerprint
	hasFingerprint bool
	solo           bool
}

// queue holds attempts by priority, those of one priority in arrival order.
type queue struct {
	entries []entry
	solos   int
	// earliest is not later than the first startBy, so that the queue is
	// searched for expired entries only when there can be one.
	earliest timer.Millis
}

func (q *queue) len() int { return len(q.entries) }

func (q *queue) push(e entry) {
	if len(q.entries) == 0 || e.startBy < q.earliest {
		q.earliest = e.startBy
	}
	if e.solo {
		q.solos++
	}
	place := len(q.entries)
	for place > 0 && q.entries[place-1].priority > e.priority {
		place--
	}
	q.entries = slices.Insert(q.entries, place, e)
}

func (q *queue) remove(i int) entry {
	e := q.entries[i]
	if e.solo {
		q.solos--
	}
	q.entries = slices.Delete(q.entries, i, i+1)
	return e
}

func (q *queue) find(attempt identifier.AttemptID) int {
	return slices.IndexFunc(q.entries, func(e entry) bool { return e.attempt == attempt })
}

// expired returns the index of an entry that has waited long enough, or -1.
func (q *queue) expired(now timer.Millis) int {
	if len(q.entries) == 0 || now < q.earliest {
		return -1
	}
	earliest := q.entries[0].startBy
	for i, e := range q.entries {
		if e.startBy <= now {
			return i
		}
		earliest = min(earliest, e.startBy)
	}
	q.earliest = earliest
	return -1
}

// setSolo changes whether an entry must run alone.
func (q *queue) setSolo(i int, solo bool) {
	if q.entries[i].solo == solo {
		return
	}
	q.entries[i].solo = solo
	if solo {
		q.solos++
	} else {
		q.solos--
	}
}
