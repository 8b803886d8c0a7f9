package announcer

import (
	"math/rand/v2"

	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// batchTime is the time for which a batch is collected.
	batchTime = 50 * timer.Millis(1)
	// renewalsPerRetention renewals may fail but one before an entry expires.
	renewalsPerRetention = 4
	// keptRetry is the first time after which a record that a reader only kept
	// is announced again: the reader may have been lost.
	keptRetry    = 5 * timer.Second
	maxKeptRetry = timer.Minute
	// rejoinAfter is the time after which a join that is in the log but not in
	// the table is announced again. Following the log takes a few seconds.
	rejoinAfter = 15 * timer.Second

	minBackoff = 200 * timer.Millis(1)
	maxBackoff = 10 * timer.Second
	// maxReincarnation bounds the pause between two new incarnations.
	maxReincarnation = 30 * timer.Second

	// A daemon without a reader waits for a random time before it appends
	// itself. 4 ms for each member give 250 appends a second when a whole
	// failure domain returns; an unknown one is taken for one of 1,200.
	spreadPerMember = 4 * timer.Millis(1)
	minSpread       = 250 * timer.Millis(1)
	unknownSpread   = 1200 * spreadPerMember
)

// own is a record of this daemon that is not confirmed yet.
type own struct {
	record tracker.Record
	// renewed is the last renewal in the table when this record was made.
	renewed identifier.Offset
	// asked are the readers that did not answer since the last pause, and tries
	// their number.
	asked []identifier.Address
	tries int
	// alone says that no reader answered and this daemon may append itself.
	alone    bool
	queued   bool
	attempts int
	until    timer.Millis
}

// Planner decides what to announce, to whom and when. It is a state machine
// without I/O.
type Planner struct {
	rand      *rand.Rand
	retention timer.Millis

	standing MembershipStatus
	member   *tracker.Member
	own      *own
	handed   *own
	reader   int
	joinedAt timer.Millis
	renewAt  timer.Millis
	leaving  bool
	left     bool
	leaves   []Ticket

	reincarnations int
	reincarnateAt  timer.Millis

	queue    queue
	batch    []*item
	tickets  map[Ticket]int
	bucket   bucket
	appendAt timer.Millis
	failures int
}

// NewPlanner returns a planner with nothing to announce.
func NewPlanner(now, retention timer.Millis, random *rand.Rand) *Planner {
	return &Planner{
		rand: random, retention: retention, bucket: newBucket(now),
		queue:   queue{items: make(map[identifier.InstanceID]*item)},
		tickets: make(map[Ticket]int),
	}
}

// Incarnation returns the incarnation that is announced, or 0.
func (p *Planner) Incarnation() identifier.Incarnation {
	if p.member == nil {
		return 0
	}
	return p.member.Incarnation
}

// Full reports whether count more records cannot be kept.
func (p *Planner) Full(count int) bool { return len(p.queue.order)+len(p.batch)+count > maxQueue }

// Step handles an event. Wakeup returns the next thing to do; the other events
// return at most a Confirm.
func (p *Planner) Step(now timer.Millis, event Event) []Action {
	switch e := event.(type) {
	case Wakeup:
		return p.woke(now, e.Status)
	case Announced:
		p.announce(e.Member)
	case LeaveRequested:
		return p.leave(now, e.Ticket)
	case IncarnationAssigned:
		p.incarnated(now, e.Incarnation)
	case Received:
		p.receive(now, e)
	case Appended:
		return p.appended(now, e.Done)
	case Forwarded:
		return p.handedOver(now, e)
	}
	return nil
}

func (p *Planner) woke(now timer.Millis, standing MembershipStatus) []Action {
	p.standing = standing
	actions := p.observe(now)
	if p.standing.Removed && p.member != nil && !p.leaving && now >= p.reincarnateAt {
		return append(actions, RequestIncarnation{Above: p.standing.Above})
	}
	p.plan(now)
	if handOver := p.place(now); handOver != nil {
		return append(actions, handOver)
	}
	if batch := p.flush(now); batch != nil {
		return append(actions, batch)
	}
	return append(actions, Sleep{Until: p.due(now)})
}

// observe takes the table's word for a record whose answer was lost.
func (p *Planner) observe(now timer.Millis) []Action {
	if p.own == nil {
		return nil
	}
	switch r := p.own.record.(type) {
	case tracker.Join:
		if p.standing.Present && p.standing.Revision >= r.Revision {
			return p.confirmed(now)
		}
	case tracker.Renew:
		if p.standing.Present && p.standing.RenewedOffset > p.own.renewed {
			return p.confirmed(now)
		}
	case tracker.Leave:
		if p.standing.Removed {
			return p.confirmed(now)
		}
	}
	return nil
}

// plan decides whether this daemon has to announce something again.
func (p *Planner) plan(now timer.Millis) {
	if p.member == nil || p.leaving || p.own != nil {
		return
	}
	if !p.standing.Present && now-p.joinedAt >= rejoinAfter {
		p.own = &own{record: tracker.Join{Member: *p.member}}
		return
	}
	if now >= p.renewAt {
		renew := tracker.Renew{Instance: p.member.Instance, Incarnation: p.member.Incarnation}
		p.own = &own{record: renew, renewed: p.standing.RenewedOffset}
	}
}

func (p *Planner) announce(member tracker.Member) {
	if p.leaving {
		return
	}
	p.member = &member
	p.own = &own{record: tracker.Join{Member: member}}
}

func (p *Planner) leave(now timer.Millis, ticket Ticket) []Action {
	p.leaving = true
	if p.member == nil || p.left {
		return []Action{Confirm{Tickets: []Ticket{ticket}}}
	}
	p.leaves = append(p.leaves, ticket)
	if _, pending := p.ownRecord().(tracker.Leave); !pending {
		p.own = &own{record: tracker.Leave{Instance: p.member.Instance, Incarnation: p.member.Incarnation}, until: now}
	}
	return nil
}

func (p *Planner) ownRecord() tracker.Record {
	if p.own == nil {
		return nil
	}
	return p.own.record
}

func (p *Planner) incarnated(now timer.Millis, incarnation identifier.Incarnation) {
	if p.member == nil || p.leaving {
		return
	}
	if now-p.reincarnateAt > 2*maxReincarnation {
		p.reincarnations = 0
	}
	p.reincarnateAt = now + min(timer.Second<<min(p.reincarnations, 10), maxReincarnation)
	p.reincarnations++
	member := *p.member
	member.Incarnation, member.Revision = max(incarnation, p.standing.Above+1), 0
	p.announce(member)
}

// confirmed ends the record of this daemon that is being announced.
func (p *Planner) confirmed(now timer.Millis) []Action {
	record := p.own.record
	p.own = nil
	if _, leave := record.(tracker.Leave); leave {
		p.left = true
		tickets := p.leaves
		p.leaves = nil
		return []Action{Confirm{Tickets: tickets}}
	}
	if _, join := record.(tracker.Join); join {
		p.joinedAt = now
	}
	p.renewAt = now + p.jitter(p.retention/renewalsPerRetention)
	return nil
}

// due returns when something is to be done next, at most a second from now:
// nobody tells the planner when the membership table changes.
func (p *Planner) due(now timer.Millis) timer.Millis {
	until := now + timer.Second
	if p.own != nil && !p.own.queued && p.handed == nil {
		until = min(until, p.own.until)
	}
	if len(p.queue.order) > 0 && p.batch == nil {
		until = min(until, p.flushAt(now))
	}
	return max(until, now+1)
}

// jitter draws from the upper half of a span.
func (p *Planner) jitter(span timer.Millis) timer.Millis {
	return span/2 + timer.Millis(p.rand.Int64N(int64(span/2)+1))
}

func (p *Planner) backoff(attempts *int, first, limit timer.Millis) timer.Millis {
	span := min(first<<min(*attempts, 16), limit)
	*attempts++
	return p.jitter(span)
}
