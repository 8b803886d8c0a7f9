// Package fencer keeps the table of attempts that other daemons sent. It ensures
// that an attempt that was refused or fenced never starts, and that "not run" is
// only answered for an attempt that did not run.
//
// # Usage
//
// The owner calls Arrive before it passes an attempt to the admitter, and reports
// the admitter's decision:
//
//	switch table.Arrive(now, attempt) {
//	case fencer.Admitted:
//		actions = admission.Step(now, admitter.Arrive{...}, actions[:0])
//	case fencer.Fenced:
//		// refuse with outcome not_run
//	case fencer.Duplicate, fencer.Uncertain:
//		// refuse with outcome unknown
//	}
//
// For each Start of the admitter, the owner calls Started and forwards the attempt
// only if that returns true. For each Refuse it calls Refused and answers not_run
// if that returns true, else unknown.
//
// Fence returns Queued for an attempt that waits in the admitter's queue. The
// owner then passes admitter.Cancel, which returns a Refuse, calls Refused and
// answers not_run. As the owner serialises both state machines, the attempt cannot
// start in between.
//
// Sweep is called about once a second.
package fencer

import (
	"math"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Config bounds the table. Zero fields take their default.
type Config struct {
	// PerSender is the maximum number of attempts kept for one sending incarnation.
	PerSender int
	// Total is the maximum number of attempts kept for all senders.
	Total int
	// Senders is the maximum number of sending incarnations kept.
	Senders int
	// Retention is how long a record is kept after its last use.
	Retention timer.Millis
}

// Defaults of Config. 300 attempts per second for 15 minutes are 270,000 records,
// which roughly fit into Total at 16 bytes each. Connections live at most 5
// minutes, so an attempt cannot arrive after Retention.
const (
	defaultPerSender = 1 << 16
	defaultTotal     = 1 << 18
	defaultSenders   = 1 << 16
	defaultRetention = 15 * timer.Minute
)

// Fencer is the attempt table of one daemon. It is not safe for concurrent use.
type Fencer struct {
	config  Config
	senders map[identifier.Incarnation]*sender
	total   int
}

// New returns an empty table.
func New(config Config) *Fencer {
	if config.PerSender <= 0 {
		config.PerSender = defaultPerSender
	}
	if config.Total <= 0 {
		config.Total = defaultTotal
	}
	if config.Senders <= 0 {
		config.Senders = defaultSenders
	}
	if config.Retention <= 0 {
		config.Retention = defaultRetention
	}
	return &Fencer{config: config, senders: make(map[identifier.Incarnation]*sender)}
}

// Size returns the numbers of senders and attempts kept.
func (f *Fencer) Size() (senders, attempts int) { return len(f.senders), f.total }

// Arrive records an attempt as queued if it may run.
func (f *Fencer) Arrive(now timer.Millis, attempt identifier.AttemptID) Arrival {
	s := f.senderFor(now, attempt)
	if s == nil {
		return Uncertain
	}
	if r := s.find(attempt.Sequence); r != nil {
		r.touch(now)
		if r.state == NotRun {
			return Fenced
		}
		return Duplicate
	}
	if s.mayHaveRun(attempt.Sequence) {
		return Uncertain
	}
	if attempt.Sequence < s.floor || !f.insert(now, s, attempt.Sequence, Queued) {
		return Fenced
	}
	return Admitted
}

// Started records that a queued attempt starts. It returns false if the attempt
// is not queued; the attempt must then not be forwarded.
func (f *Fencer) Started(now timer.Millis, attempt identifier.AttemptID) bool {
	return f.transition(now, attempt, Queued, Running)
}

// Finished records that a running attempt ended, regardless of its result.
func (f *Fencer) Finished(now timer.Millis, attempt identifier.AttemptID) {
	f.transition(now, attempt, Running, Finished)
}

// Refused fences an attempt that was refused. It returns true if the attempt
// did not run and never will, so that the owner may answer not_run.
func (f *Fencer) Refused(now timer.Millis, attempt identifier.AttemptID) bool {
	if f.transition(now, attempt, Queued, NotRun) {
		return true
	}
	return f.Fence(now, attempt) == NotRun
}

// Fence returns the state of an attempt. An attempt that has not arrived is
// fenced from then on and reported as NotRun. A queued attempt is not changed;
// see the package comment.
func (f *Fencer) Fence(now timer.Millis, attempt identifier.AttemptID) State {
	s := f.senderFor(now, attempt)
	if s == nil {
		return Unknown
	}
	if r := s.find(attempt.Sequence); r != nil {
		r.touch(now)
		return r.state
	}
	if s.mayHaveRun(attempt.Sequence) {
		return Unknown
	}
	if attempt.Sequence >= s.floor {
		f.insert(now, s, attempt.Sequence, NotRun)
	}
	return NotRun
}

// Sweep removes records past retention. The floor of their sender is kept until
// nothing has been received from or about the sender for the retention.
func (f *Fencer) Sweep(now timer.Millis) {
	for origin, s := range f.senders {
		if now-s.used >= f.config.Retention && !s.hasActive() {
			f.total -= len(s.records)
			delete(f.senders, origin)
			continue
		}
		// Removal moves the remaining records, so it is delayed until a quarter of
		// them can be removed.
		if n := s.expired(now, f.config.Retention); n > 0 && n*4 >= len(s.records) {
			f.total -= s.evict(n)
		}
	}
}

// senderFor returns the sender of an attempt and creates it if needed. It returns
// nil if there are too many senders, or for the highest sequence, above which the
// floor cannot be raised.
func (f *Fencer) senderFor(now timer.Millis, attempt identifier.AttemptID) *sender {
	if attempt.Sequence == math.MaxUint64 {
		return nil
	}
	s := f.senders[attempt.Origin]
	if s == nil {
		if len(f.senders) >= f.config.Senders {
			return nil
		}
		s = &sender{}
		f.senders[attempt.Origin] = s
	}
	s.used = now
	return s
}

func (f *Fencer) transition(now timer.Millis, attempt identifier.AttemptID, from, to State) bool {
	s := f.senders[attempt.Origin]
	if s == nil {
		return false
	}
	s.used = now
	r := s.find(attempt.Sequence)
	if r == nil {
		return false
	}
	r.touch(now)
	if r.state != from {
		return false
	}
	r.state = to
	return true
}

// insert adds a record and evicts others if a bound is reached. If that makes no
// room, it fences all attempts up to the sequence by raising the floor and returns
// false.
func (f *Fencer) insert(now timer.Millis, s *sender, sequence uint64, state State) bool {
	if len(s.records) >= f.config.PerSender {
		f.total -= s.evict(len(s.records)/4 + 1)
	}
	if f.total >= f.config.Total {
		largest := f.largest()
		f.total -= largest.evict(len(largest.records)/4 + 1)
	}
	if len(s.records) >= f.config.PerSender || f.total >= f.config.Total || sequence < s.floor {
		s.raiseFloor(sequence)
		return false
	}
	s.insert(now, sequence, state)
	f.total++
	return true
}

func (f *Fencer) largest() *sender {
	var largest *sender
	for _, s := range f.senders {
		if largest == nil || len(s.records) > len(largest.records) {
			largest = s
		}
	}
	return largest
}
