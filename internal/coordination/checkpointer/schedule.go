package checkpointer

import (
	"math/rand/v2"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// maxChanges is the number of records after which a checkpoint is due.
	maxChanges = 1000
	// perRetention checkpoints are written in one retention of the log.
	perRetention = 4

	// A log reader of rank n waits n times the grace after a checkpoint became
	// due, so that normally only the first rank writes it.
	gracePerRetention = 256
	minGrace          = 2 * timer.Second
	maxGrace          = 30 * timer.Second

	// settleTime is the time in which a written checkpoint comes back through
	// the stream.
	settleTime = 15 * timer.Second
	minBackoff = 2 * timer.Second
	maxBackoff = timer.Minute
	// maxSleep bounds the time between two looks at the stream.
	maxSleep = timer.Second
)

// Progress is the position of this daemon in the stream.
type Progress struct {
	// Folded is the last folded offset. HasFolded is false while nothing is folded.
	Folded    identifier.Offset
	HasFolded bool
	// Checkpoint is the offset that the newest checkpoint seen in the stream
	// covers. HasCheckpoint is false if none was seen.
	Checkpoint    identifier.Offset
	HasCheckpoint bool
	// Confirmed says that the end of the log was confirmed within the last
	// seconds.
	Confirmed bool
	// Rank is the rank of this daemon among all log readers, from 0 on. Reader
	// is false if it is none; then it writes no checkpoint.
	Rank   int
	Reader bool
}

// changes returns the number of records after the newest checkpoint.
func (p Progress) changes() identifier.Offset {
	switch {
	case !p.HasFolded:
		return 0
	case p.HasCheckpoint:
		return p.Folded - min(p.Checkpoint, p.Folded)
	default:
		return p.Folded + 1
	}
}

// Event is something that happened to the checkpointer.
type Event interface{ event() }

// Tick asks for the next action.
type Tick struct{ Progress Progress }

// Written is the end of an append. If Succeeded is false, it may still have taken
// effect.
type Written struct{ Succeeded bool }

func (Tick) event()    {}
func (Written) event() {}

// Action is the next thing that the checkpointer should do.
type Action interface{ action() }

// Write asks to append a checkpoint. It is answered by Written.
type Write struct{}

// Sleep asks to wake the schedule at a time.
type Sleep struct{ Until timer.Millis }

func (Write) action() {}
func (Sleep) action() {}

// Schedule decides when this daemon writes a checkpoint. It is a state machine
// without I/O.
type Schedule struct {
	rand      *rand.Rand
	retention timer.Millis

	// looked says that the stream was seen with a record in it.
	looked   bool
	seen     identifier.Offset
	found    bool
	seenAt   timer.Millis
	dueSince timer.Millis
	notUntil timer.Millis
	failures int
}

// NewSchedule returns a schedule. The age of a checkpoint found at the start is
// not known and taken for half of the time between two, so that daemons that
// restart often still write.
func NewSchedule(now, retention timer.Millis, random *rand.Rand) *Schedule {
	return &Schedule{rand: random, retention: retention, seenAt: now - retention/perRetention/2}
}

// Step handles an event. Tick returns exactly one action.
func (s *Schedule) Step(now timer.Millis, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return []Action{s.woke(now, e.Progress)}
	case Written:
		s.written(now, e.Succeeded)
	}
	return nil
}

func (s *Schedule) woke(now timer.Millis, p Progress) Action {
	s.look(now, p)
	// Lateness counts only while the log is readable: after an outage the first
	// rank gets its turn again, and not all readers write at once.
	if !p.HasFolded || !p.Reader || !p.Confirmed || !s.due(now, p) {
		s.dueSince = 0
		return Sleep{Until: now + maxSleep}
	}
	if s.dueSince == 0 {
		s.dueSince = now
	}
	at := max(s.dueSince+timer.Millis(p.Rank)*s.grace(), s.notUntil)
	if now < at {
		return Sleep{Until: min(at, now+maxSleep)}
	}
	return Write{}
}

// look notes a newer checkpoint, whoever wrote it. One that is there when the
// stream is first seen is as old as NewSchedule took it for.
func (s *Schedule) look(now timer.Millis, p Progress) {
	known := s.looked
	s.looked = s.looked || p.HasFolded
	if !p.HasCheckpoint || s.found && p.Checkpoint <= s.seen {
		return
	}
	if known {
		s.seenAt = now
	}
	s.seen, s.found = p.Checkpoint, true
	s.notUntil, s.failures, s.dueSince = 0, 0, 0
}

func (s *Schedule) due(now timer.Millis, p Progress) bool {
	return p.changes() >= maxChanges || now-s.seenAt >= s.retention/perRetention
}

func (s *Schedule) grace() timer.Millis {
	return min(max(s.retention/gracePerRetention, minGrace), maxGrace)
}

func (s *Schedule) written(now timer.Millis, done bool) {
	if done {
		s.failures = 0
		s.notUntil = now + settleTime
		return
	}
	span := min(minBackoff<<min(s.failures, 10), maxBackoff)
	s.failures++
	s.notUntil = now + span/2 + timer.Millis(s.rand.Int64N(int64(span/2)+1))
}
