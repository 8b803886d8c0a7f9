package announcer

import (
	"slices"

	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// place brings this daemon's record on its way: into the own queue of a reader,
// or by hand-over to one. It returns the hand-over, or nil.
func (p *Planner) place(now timer.Millis) Action {
	o := p.own
	if o == nil || o.queued || p.handed != nil || now < o.until {
		return nil
	}
	readers := p.standing.Readers
	if p.standing.Reader || o.alone && slices.Equal(readers, o.asked) {
		o.queued = true
		p.queue.add(now, o.record, 0)
		return nil
	}
	if o.alone && len(readers) > 0 {
		// Readers appeared during the pause.
		o.alone, o.tries = false, 0
	}
	if len(readers) == 0 {
		p.goAlone(now)
		return nil
	}
	p.handed = o
	return Forward{Peer: readers[p.reader%len(readers)], Record: o.record}
}

// goAlone lets this daemon append itself after a random pause. In the pause the
// first daemons of a returning failure domain become its readers.
func (p *Planner) goAlone(now timer.Millis) {
	spread := unknownSpread
	if p.standing.Members > 0 {
		spread = max(minSpread, timer.Millis(p.standing.Members)*spreadPerMember)
	}
	p.own.alone = true
	p.own.asked = slices.Clone(p.standing.Readers)
	p.own.until = now + timer.Millis(p.rand.Int64N(int64(spread)))
}

func (p *Planner) handedOver(now timer.Millis, e Forwarded) []Action {
	o := p.handed
	p.handed = nil
	if e.Accepted && e.Appended {
		if o != nil && o == p.own {
			return p.confirmed(now)
		}
		return nil
	}
	p.reader++
	if o == nil || o != p.own {
		return nil
	}
	if e.Accepted {
		o.tries = 0
		o.until = now + p.backoff(&o.attempts, keptRetry, maxKeptRetry)
		return nil
	}
	if o.tries++; o.tries >= len(p.standing.Readers) {
		p.goAlone(now)
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

// flushAt returns when the next batch may be appended.
func (p *Planner) flushAt(now timer.Millis) timer.Millis {
	return max(p.queue.since+batchTime, p.appendAt, p.bucket.ready(now))
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

func (p *Planner) appended(now timer.Millis, done bool) []Action {
	batch := p.batch
	p.batch = nil
	if !done {
		p.queue.putBack(now, batch)
		p.appendAt = now + p.backoff(&p.failures, minBackoff, maxBackoff)
		return nil
	}
	p.failures = 0
	var actions []Action
	var tickets []Ticket
	for _, it := range batch {
		for _, ticket := range it.tickets {
			if p.tickets[ticket]--; p.tickets[ticket] <= 0 {
				delete(p.tickets, ticket)
				tickets = append(tickets, ticket)
			}
		}
		if p.settles(it) {
			actions = append(actions, p.confirmed(now)...)
		}
	}
	if len(tickets) > 0 {
		actions = append(actions, Confirm{Tickets: tickets})
	}
	return actions
}

// settles reports whether an appended item stands for this daemon's record.
func (p *Planner) settles(it *item) bool {
	if p.own == nil || !p.own.queued {
		return false
	}
	instance, order := rankOf(p.own.record)
	appended, winner := rankOf(it.record)
	return instance == appended && !winner.below(order)
}
