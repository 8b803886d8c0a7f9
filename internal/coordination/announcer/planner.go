package announcer

import (
	"math/rand/v2"

	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// batchInterval is the time for which records are collected into a batch.
	batchInterval = 50 * timer.Millis(1)
	// renewalsPerRetention is the least number of renewals in a retention period.
	// All but one may fail before an entry expires.
	renewalsPerRetention = 4
	// minAcceptedRetry is the first delay before a record that a reader accepted but
	// did not confirm is announced again: the reader may have failed.
	minAcceptedRetry = 5 * timer.Second
	maxAcceptedRetry = timer.Minute
	// rejoinAfter is the time after which a join that is in the log but not in
	// the table is announced again. The table may be a few seconds behind the log.
	rejoinAfter = 15 * timer.Second

	minBackoff = 200 * timer.Millis(1)
	maxBackoff = 10 * timer.Second
	// maxIncarnationPause bounds the pause between two new incarnations.
	maxIncarnationPause = 30 * timer.Second

	// A daemon without a reader waits for a random time before it appends its
	// record itself. A range of 4 ms per member gives 250 appends per second when
	// a whole failure domain returns. 1,200 members are assumed if their number is
	// not known.
	pausePerMember    = 4 * timer.Millis(1)
	minPauseRange     = 250 * timer.Millis(1)
	defaultPauseRange = 1200 * pausePerMember
)

// pendingRecord is a record of this daemon that is not confirmed yet.
type pendingRecord struct {
	record tracker.Record
	// renewedOffset is the offset of the last renewal in the table when this
	// record was created.
	renewedOffset identifier.Offset
	// triedReaders are the readers when the last pause began; failedReaders counts
	// the failed attempts to forward the record.
	triedReaders  []identifier.Address
	failedReaders int
	// selfAppend is set if no reader is known or answered, so that this daemon may
	// append the record itself after the pause.
	selfAppend bool
	queued     bool
	attempts   int
	retryAt    timer.Millis
}

// Planner decides which record to announce, to which daemon and when. It is a
// state machine without I/O.
type Planner struct {
	rand      *rand.Rand
	retention timer.Millis

	status       MembershipStatus
	member       *tracker.Member
	pending      *pendingRecord
	forwarded    *pendingRecord
	readerIndex  int
	joinedAt     timer.Millis
	renewAt      timer.Millis
	leaving      bool
	left         bool
	leaveTickets []Ticket

	newIncarnations  int
	newIncarnationAt timer.Millis

	queue          queue
	batch          []*item
	tickets        map[Ticket]int
	bucket         bucket
	appendAt       timer.Millis
	appendFailures int
}

// NewPlanner returns a planner with nothing to announce.
func NewPlanner(now, retention timer.Millis, random *rand.Rand) *Planner {
	return &Planner{
		rand: random, retention: retention, bucket: newBucket(now),
		queue:   queue{items: make(map[identifier.InstanceID]*item)},
		tickets: make(map[Ticket]int),
	}
}

// Incarnation returns the announced incarnation, or 0 if there is none.
func (p *Planner) Incarnation() identifier.Incarnation {
	if p.member == nil {
		return 0
	}
	return p.member.Incarnation
}

// Full reports whether the queue has no room for count more records.
func (p *Planner) Full(count int) bool { return len(p.queue.order)+len(p.batch)+count > maxQueue }

// Step handles an event. Wakeup returns the next actions; the other events return
// at most a Confirm.
func (p *Planner) Step(now timer.Millis, event Event) []Action {
	switch e := event.(type) {
	case Wakeup:
		return p.wakeup(now, e.Status)
	case Announced:
		p.announce(e.Member)
	case LeaveRequested:
		return p.leave(now, e.Ticket)
	case IncarnationAssigned:
		p.setIncarnation(now, e.Incarnation)
	case Received:
		p.receive(now, e)
	case Appended:
		return p.handleAppended(now, e.Succeeded)
	case Forwarded:
		return p.handleForwarded(now, e)
	}
	return nil
}

func (p *Planner) wakeup(now timer.Millis, status MembershipStatus) []Action {
	p.status = status
	actions := p.observe(now)
	if p.status.Removed && p.member != nil && !p.leaving && now >= p.newIncarnationAt {
		return append(actions, RequestIncarnation{Above: p.status.Above})
	}
	p.plan(now)
	if forward := p.dispatch(now); forward != nil {
		return append(actions, forward)
	}
	if batch := p.flush(now); batch != nil {
		return append(actions, batch)
	}
	return append(actions, Sleep{Until: p.nextWakeup(now)})
}

// observe confirms the pending record if the membership table shows it. The
// answer to its append may have been lost.
func (p *Planner) observe(now timer.Millis) []Action {
	if p.pending == nil {
		return nil
	}
	switch r := p.pending.record.(type) {
	case tracker.Join:
		if p.status.Present && p.status.Revision >= r.Revision {
			return p.confirmPending(now)
		}
	case tracker.Renew:
		if p.status.Present && p.status.RenewedOffset > p.pending.renewedOffset {
			return p.confirmPending(now)
		}
	case tracker.Leave:
		if p.status.Removed {
			return p.confirmPending(now)
		}
	}
	return nil
}

// plan creates a join if this daemon is missing in the table, or a renewal if one
// is due.
func (p *Planner) plan(now timer.Millis) {
	if p.member == nil || p.leaving || p.pending != nil {
		return
	}
	if !p.status.Present && now-p.joinedAt >= rejoinAfter {
		p.pending = &pendingRecord{record: tracker.Join{Member: *p.member}}
		return
	}
	if now >= p.renewAt {
		renew := tracker.Renew{Instance: p.member.Instance, Incarnation: p.member.Incarnation}
		p.pending = &pendingRecord{record: renew, renewedOffset: p.status.RenewedOffset}
	}
}

func (p *Planner) announce(member tracker.Member) {
	if p.leaving {
		return
	}
	p.member = &member
	p.pending = &pendingRecord{record: tracker.Join{Member: member}}
}

func (p *Planner) leave(now timer.Millis, ticket Ticket) []Action {
	p.leaving = true
	if p.member == nil || p.left {
		return []Action{Confirm{Tickets: []Ticket{ticket}}}
	}
	p.leaveTickets = append(p.leaveTickets, ticket)
	if _, pending := p.pendingRecord().(tracker.Leave); !pending {
		p.pending = &pendingRecord{record: tracker.Leave{Instance: p.member.Instance, Incarnation: p.member.Incarnation}, retryAt: now}
	}
	return nil
}

func (p *Planner) pendingRecord() tracker.Record {
	if p.pending == nil {
		return nil
	}
	return p.pending.record
}

func (p *Planner) setIncarnation(now timer.Millis, incarnation identifier.Incarnation) {
	if p.member == nil || p.leaving {
		return
	}
	if now-p.newIncarnationAt > 2*maxIncarnationPause {
		p.newIncarnations = 0
	}
	p.newIncarnationAt = now + min(timer.Second<<min(p.newIncarnations, 10), maxIncarnationPause)
	p.newIncarnations++
	member := *p.member
	member.Incarnation, member.Revision = max(incarnation, p.status.Above+1), 0
	p.announce(member)
}

// confirmPending completes the pending record and schedules the next renewal.
func (p *Planner) confirmPending(now timer.Millis) []Action {
	record := p.pending.record
	p.pending = nil
	if _, leave := record.(tracker.Leave); leave {
		p.left = true
		tickets := p.leaveTickets
		p.leaveTickets = nil
		return []Action{Confirm{Tickets: tickets}}
	}
	if _, join := record.(tracker.Join); join {
		p.joinedAt = now
	}
	p.renewAt = now + p.jitter(p.retention/renewalsPerRetention)
	return nil
}

// nextWakeup returns the time of the next wake-up, at most a second from now: the
// planner is not notified when the membership table changes.
func (p *Planner) nextWakeup(now timer.Millis) timer.Millis {
	until := now + timer.Second
	if p.pending != nil && !p.pending.queued && p.forwarded == nil {
		until = min(until, p.pending.retryAt)
	}
	if len(p.queue.order) > 0 && p.batch == nil {
		until = min(until, p.flushAt(now))
	}
	return max(until, now+1)
}

// jitter returns a random time in the upper half of a span.
func (p *Planner) jitter(span timer.Millis) timer.Millis {
	return span/2 + timer.Millis(p.rand.Int64N(int64(span/2)+1))
}

func (p *Planner) backoff(attempts *int, first, limit timer.Millis) timer.Millis {
	span := min(first<<min(*attempts, 16), limit)
	*attempts++
	return p.jitter(span)
}
