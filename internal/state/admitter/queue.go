package admitter

import (
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// entry is a queued attempt.
type entry struct {
	attempt        identifier.AttemptID
	deadline       timer.Millis
	fingerprint    identifier.Fingerprint
	hasFingerprint bool
	solo           bool
}

// queue holds attempts in arrival order.
type queue struct {
	entries []entry
	solos   int
	// earliest is not later than the first deadline, so that the queue is
	// searched for expired entries only when there can be one.
	earliest timer.Millis
}

func (q *queue) len() int { return len(q.entries) }

func (q *queue) push(e entry) {
	if len(q.entries) == 0 || e.deadline < q.earliest {
		q.earliest = e.deadline
	}
	if e.solo {
		q.solos++
	}
	q.entries = append(q.entries, e)
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

// expired returns the index of an entry whose deadline has passed, or -1.
func (q *queue) expired(now timer.Millis) int {
	if len(q.entries) == 0 || now < q.earliest {
		return -1
	}
	earliest := q.entries[0].deadline
	for i, e := range q.entries {
		if e.deadline <= now {
			return i
		}
		earliest = min(earliest, e.deadline)
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
