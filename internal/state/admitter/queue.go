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
	// startBy is the time after which the attempt is refused if it has not started;
	// it is not after the deadline.
	startBy        timer.Millis
	priority       int
	fingerprint    identifier.Fingerprint
	hasFingerprint bool
	solo           bool
}

// queue holds attempts ordered by priority, those of one priority by arrival.
type queue struct {
	entries   []entry
	soloCount int
	// earliestStartBy is a lower bound of all startBy times, so that the queue is
	// searched for expired entries only when there may be one.
	earliestStartBy timer.Millis
}

func (q *queue) len() int { return len(q.entries) }

func (q *queue) push(e entry) {
	if len(q.entries) == 0 || e.startBy < q.earliestStartBy {
		q.earliestStartBy = e.startBy
	}
	if e.solo {
		q.soloCount++
	}
	position := len(q.entries)
	for position > 0 && q.entries[position-1].priority > e.priority {
		position--
	}
	q.entries = slices.Insert(q.entries, position, e)
}

func (q *queue) remove(i int) entry {
	e := q.entries[i]
	if e.solo {
		q.soloCount--
	}
	q.entries = slices.Delete(q.entries, i, i+1)
	return e
}

func (q *queue) find(attempt identifier.AttemptID) int {
	return slices.IndexFunc(q.entries, func(e entry) bool { return e.attempt == attempt })
}

// expired returns the index of an entry whose startBy has been reached, or -1.
func (q *queue) expired(now timer.Millis) int {
	if len(q.entries) == 0 || now < q.earliestStartBy {
		return -1
	}
	earliest := q.entries[0].startBy
	for i, e := range q.entries {
		if e.startBy <= now {
			return i
		}
		earliest = min(earliest, e.startBy)
	}
	q.earliestStartBy = earliest
	return -1
}

// setSolo changes whether an entry must run alone.
func (q *queue) setSolo(i int, solo bool) {
	if q.entries[i].solo == solo {
		return
	}
	q.entries[i].solo = solo
	if solo {
		q.soloCount++
	} else {
		q.soloCount--
	}
}
