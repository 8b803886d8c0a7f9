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
	arrivedAt      timer.Millis
	flow           *flow
	startTag       tag
	fingerprint    identifier.Fingerprint
	hasFingerprint bool
	solo           bool
}

// queue holds attempts ordered by class, those of one class by start tag, those of one
// start tag by arrival.
type queue struct {
	entries   []entry
	order     fairOrder
	soloCount int
	// earliestStartBy is a lower bound of all startBy times, so that the queue is
	// searched for expired entries only when there may be one.
	earliestStartBy timer.Millis
}

func (q *queue) len() int { return len(q.entries) }

func (q *queue) push(key flowKey, e entry) {
	if len(q.entries) == 0 || e.startBy < q.earliestStartBy {
		q.earliestStartBy = e.startBy
	}
	if e.solo {
		q.soloCount++
	}
	e.flow, e.startTag = q.order.arrived(key)
	position := len(q.entries)
	for position > 0 && e.goesBefore(&q.entries[position-1]) {
		position--
	}
	q.entries = slices.Insert(q.entries, position, e)
}

func (e *entry) goesBefore(other *entry) bool {
	if e.flow.class != other.flow.class {
		return e.flow.key.class.before(other.flow.key.class)
	}
	return e.startTag < other.startTag
}

// takeForStart removes an entry that starts.
func (q *queue) takeForStart(i int) entry {
	e := q.entries[i]
	q.order.started(e.flow, e.startTag)
	q.delete(i, e.solo)
	return e
}

// remove removes an entry that does not start. The later entries of its flow move up to
// the place and the start tag of the one before them.
func (q *queue) remove(i int) entry {
	removed := q.entries[i]
	vacant, start := i, removed.startTag
	for later := i + 1; later < len(q.entries) && removed.flow.class == q.entries[later].flow.class; later++ {
		if e := q.entries[later]; e.flow == removed.flow {
			e.startTag, start = start, e.startTag
			q.entries[vacant], vacant = e, later
		}
	}
	q.delete(vacant, removed.solo)
	q.order.refused(removed.flow, start)
	return removed
}

// last returns the index of the entry to refuse first: the last one of the flow with
// the most entries in the class that goes last.
func (q *queue) last() int {
	victim, most := -1, 0
	for i := len(q.entries) - 1; i >= 0; i-- {
		f := q.entries[i].flow
		if f.class != q.entries[len(q.entries)-1].flow.class {
			break
		}
		if f.waiting > most {
			victim, most = i, f.waiting
		}
	}
	return victim
}

func (q *queue) delete(i int, solo bool) {
	if solo {
		q.soloCount--
	}
	q.entries = slices.Delete(q.entries, i, i+1)
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
