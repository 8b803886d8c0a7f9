package announcer

import (
	"slices"

	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// dispatch queues the pending record if this daemon may append it itself.
// Otherwise it returns a Forward to a reader, or nil if none is due.
func (p *Planner) dispatch(now timer.Millis) Action {
	o := p.pending
	if o == nil || o.queued || p.forwarded != nil || now < o.retryAt {
		return nil
	}
	readers := p.status.Readers
	if p.status.Reader || o.selfAppend && slices.Equal(readers, o.triedReaders) {
		o.queued = true
		p.queue.add(now, o.record, 0)
		return nil
	}
	if o.selfAppend && len(readers) > 0 {
		// The readers changed during the pause.
		o.selfAppend, o.failedReaders = false, 0
	}
	if len(readers) == 0 {
		p.scheduleSelfAppend(now)
		return nil
	}
	p.forwarded = o
	return Forward{Peer: readers[p.readerIndex%len(readers)], Record: o.record}
}

// scheduleSelfAppend lets this daemon append its record itself after a random
// pause. During the pause the first daemons of a returning failure domain become
// its readers.
func (p *Planner) scheduleSelfAppend(now timer.Millis) {
	pauseRange := defaultPauseRange
	if p.status.Members > 0 {
		pauseRange = max(minPauseRange, timer.Millis(p.status.Members)*pausePerMember)
	}
	p.pending.selfAppend = true
	p.pending.triedReaders = slices.Clone(p.status.Readers)
	p.pending.retryAt = now + timer.Millis(p.rand.Int64N(int64(pauseRange)))
}

func (p *Planner) handleForwarded(now timer.Millis, e Forwarded) []Action {
	o := p.forwarded
	p.forwarded = nil
	if e.Accepted && e.Appended {
		if o != nil && o == p.pending {
			return p.confirmPending(now)
		}
		return nil
	}
	p.readerIndex++
	if o == nil || o != p.pending {
		return nil
	}
	if e.Accepted {
		o.failedReaders = 0
		o.retryAt = now + p.backoff(&o.attempts, minAcceptedRetry, maxAcceptedRetry)
		return nil
	}
	if o.failedReaders++; o.failedReaders >= len(p.status.Readers) {
		p.scheduleSelfAppend(now)
	}
	return nil
}

func (p *Planner) receive(now timer.Millis, e Received) {
	for _, r := range e.Records {
		p.queue.add(now, r, e.Ticket)
	}
	if e.Ticket != 0 {
		p.tickets[e.Ticket] = len(e.Records)
	}
}

// flushAt returns the earliest time at which the next batch may be appended.
func (p *Planner) flushAt(now timer.Millis) timer.Millis {
	return max(p.queue.since+batchInterval, p.appendAt, p.bucket.ready(now))
}

// flush returns the next batch if it is due, or nil.
func (p *Planner) flush(now timer.Millis) Action {
	if len(p.queue.order) == 0 || p.batch != nil || now < p.flushAt(now) {
		return nil
	}
	p.bucket.spend()
	p.batch = p.queue.take()
	records := make([]tracker.Record, 0, len(p.batch))
	for _, it := range p.batch {
		records = append(records, it.record)
	}
	return Append{Records: records}
}

func (p *Planner) handleAppended(now timer.Millis, done bool) []Action {
	batch := p.batch
	p.batch = nil
	if !done {
		p.queue.putBack(now, batch)
		p.appendAt = now + p.backoff(&p.appendFailures, minBackoff, maxBackoff)
		return nil
	}
	p.appendFailures = 0
	var actions []Action
	var tickets []Ticket
	for _, it := range batch {
		for _, ticket := range it.tickets {
			if p.tickets[ticket]--; p.tickets[ticket] <= 0 {
				delete(p.tickets, ticket)
				tickets = append(tickets, ticket)
			}
		}
		if p.confirmsPending(it) {
			actions = append(actions, p.confirmPending(now)...)
		}
	}
	if len(tickets) > 0 {
		actions = append(actions, Confirm{Tickets: tickets})
	}
	return actions
}

// confirmsPending reports whether an appended item is the pending record or one
// that prevails over it in the fold.
func (p *Planner) confirmsPending(it *item) bool {
	if p.pending == nil || !p.pending.queued {
		return false
	}
	instance, order := rankOf(p.pending.record)
	appended, winner := rankOf(it.record)
	return instance == appended && !winner.less(order)
}
