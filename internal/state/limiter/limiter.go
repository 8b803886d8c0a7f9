// Package limiter holds the load-measuring budget of a daemon: a hard bound on
// the messages and bytes spent on probes, their answers, load fields and
// polling.
//
// The limiter has a token bucket for messages and one for bytes. Within any
// (half-open) second no more than the budget is taken: a bucket holds a fifth of
// the budget of a second and refills at the rest of the rate. A bucket that held
// the budget of a whole second and refilled at the full rate would allow twice
// the budget in the second after a pause.
//
// # Usage
//
//	measuring := limiter.New(limiter.Budget{MessagesPerSecond: 200, BytesPerSecond: 16384}, clock.Now())
//	if measuring.Take(clock.Now(), limiter.ProbeSent, 1, 64) {
//		// Send the probe.
//	}
//
// A Limiter is not safe for concurrent use; its owner serialises calls.
package limiter

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

// Kind is the purpose of a load-measuring message.
type Kind uint8

// Kinds of messages, counted separately.
const (
	ProbeSent Kind = iota
	ProbeAnswered
	LoadField
	Poll
	kindCount
)

// Kinds lists all kinds, for metrics.
var Kinds = [...]Kind{ProbeSent, ProbeAnswered, LoadField, Poll}

// String returns the name of the kind in snake case.
func (k Kind) String() string {
	switch k {
	case ProbeSent:
		return "probe_sent"
	case ProbeAnswered:
		return "probe_answered"
	case LoadField:
		return "load_field"
	case Poll:
		return "poll"
	default:
		return "unknown"
	}
}

// Budget bounds load measuring. A rate of zero or less allows nothing.
type Budget struct {
	MessagesPerSecond int64
	BytesPerSecond    int64
}

// Counters holds the totals of one kind since the limiter was created.
type Counters struct {
	TakenMessages   uint64
	TakenBytes      uint64
	RefusedMessages uint64
	RefusedBytes    uint64
}

// Limiter is the load-measuring budget with its counters.
type Limiter struct {
	messages bucket
	bytes    bucket
	counters [kindCount]Counters
}

// New returns a Limiter with empty buckets, so that a daemon that restarts in a
// loop gains no burst with each start.
func New(budget Budget, now timer.Millis) *Limiter {
	l := &Limiter{messages: bucket{last: now}, bytes: bucket{last: now}}
	l.SetBudget(now, budget)
	return l
}

// SetBudget changes the budget immediately. Tokens above the new burst are
// discarded and none are added.
func (l *Limiter) SetBudget(now timer.Millis, budget Budget) {
	l.messages.setRate(now, budget.MessagesPerSecond, 1)
	l.bytes.setRate(now, budget.BytesPerSecond, datagramBytes)
}

// Take takes both the messages and the bytes or neither, and reports whether it
// took them. Negative amounts, unknown kinds and amounts above the burst are
// always refused.
func (l *Limiter) Take(now timer.Millis, kind Kind, messages, bytes int64) bool {
	if kind >= kindCount || messages < 0 || bytes < 0 {
		return false
	}
	l.messages.refill(now)
	l.bytes.refill(now)
	c := &l.counters[kind]
	if !l.messages.holds(messages) || !l.bytes.holds(bytes) {
		c.RefusedMessages += uint64(messages)
		c.RefusedBytes += uint64(bytes)
		return false
	}
	l.messages.take(messages)
	l.bytes.take(bytes)
	c.TakenMessages += uint64(messages)
	c.TakenBytes += uint64(bytes)
	return true
}

// Counters returns the totals of one kind.
func (l *Limiter) Counters(kind Kind) Counters {
	if kind >= kindCount {
		return Counters{}
	}
	return l.counters[kind]
}
