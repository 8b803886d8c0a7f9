package announcer

import (
	"cmp"

	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// maxQueue bounds the records that wait for an append. A failure domain of the
	// target has about 1,200 daemons.
	maxQueue = 8192
	// maxBatch keeps a batch of joins well under the size limit of an append.
	maxBatch = 1000
)

// item is a record that waits for an append. Only the record that prevails in
// the fold is kept per instance, so that retries cannot fill the queue.
type item struct {
	record  tracker.Record
	rank    rank
	tickets []Ticket
}

// rank orders the records of one instance as the fold does.
type rank struct {
	incarnation identifier.Incarnation
	kind        int
	revision    uint32
}

func (r rank) less(o rank) bool {
	return cmp.Or(
		cmp.Compare(r.incarnation, o.incarnation), cmp.Compare(r.kind, o.kind), cmp.Compare(r.revision, o.revision),
	) < 0
}

func rankOf(record tracker.Record) (identifier.InstanceID, rank) {
	switch r := record.(type) {
	case tracker.Renew:
		return r.Instance, rank{incarnation: r.Incarnation}
	case tracker.Join:
		return r.Instance, rank{incarnation: r.Incarnation, kind: 1, revision: r.Revision}
	case tracker.Leave:
		return r.Instance, rank{incarnation: r.Incarnation, kind: 2}
	}
	return "", rank{}
}

// queue holds the records that wait for an append, the oldest first.
type queue struct {
	order []identifier.InstanceID
	items map[identifier.InstanceID]*item
	since timer.Millis
}

func (q *queue) add(now timer.Millis, record tracker.Record, ticket Ticket) {
	instance, order := rankOf(record)
	if instance == "" {
		return
	}
	if len(q.order) == 0 {
		q.since = now
	}
	it, ok := q.items[instance]
	if !ok {
		it = &item{record: record, rank: order}
		q.items[instance] = it
		q.order = append(q.order, instance)
	}
	if it.rank.less(order) {
		it.record, it.rank = record, order
	}
	if ticket != 0 {
		it.tickets = append(it.tickets, ticket)
	}
}

// take removes and returns the oldest items, up to maxBatch.
func (q *queue) take() []*item {
	n := min(len(q.order), maxBatch)
	batch := make([]*item, 0, n)
	for _, instance := range q.order[:n] {
		batch = append(batch, q.items[instance])
		delete(q.items, instance)
	}
	q.order = append([]identifier.InstanceID(nil), q.order[n:]...)
	return batch
}

// putBack queues items again whose append failed.
func (q *queue) putBack(now timer.Millis, batch []*item) {
	for _, it := range batch {
		q.add(now, it.record, 0)
		instance, _ := rankOf(it.record)
		kept := q.items[instance]
		kept.tickets = append(kept.tickets, it.tickets...)
	}
}
