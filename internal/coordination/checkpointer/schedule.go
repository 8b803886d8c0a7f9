package checkpointer

import (
	"math/rand/v2"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// maxChanges is the number of records after which a checkpoint is due.
	maxChanges = 1000
	// checkpointsPerRetention is the number of checkpoints that are written within
	// one retention of the log.
	checkpointsPerRetention = 4

	// A log reader of rank n waits n times the grace period after a checkpoint
	// became due, so that normally only the first rank writes it.
	gracesPerRetention = 256
	minGrace           = 2 * timer.Second
	maxGrace           = 30 * timer.Second

	// readBackTime is the time within which a written checkpoint is read back from
	// the stream.
	readBackTime = 15 * timer.Second
	minBackoff   = 2 * timer.Second
	maxBackoff   = timer.Minute
	// maxPollInterval bounds the time between two checks of the progress.
	maxPollInterval = timer.Second
)

// Progress is the position of this daemon in the stream.
type Progress struct {
	// Folded is the last folded offset. HasFolded is false while no record is
	// folded.
	Folded    identifier.Offset
	HasFolded bool
	// Checkpoint is the offset that the newest checkpoint seen in the stream
	// covers. HasCheckpoint is false if none was seen.
	Checkpoint    identifier.Offset
	HasCheckpoint bool
	// Confirmed is set if the stream was read to its end within the last seconds.
	Confirmed bool
	// Rank is the rank of this daemon among all log readers, starting at 0.
	// Reader is false if it is not a log reader; then it writes no checkpoints.
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

// Event is an input of the schedule.
type Event interface{ event() }

// Wakeup requests the next action.
type Wakeup struct{ Progress Progress }

// Written reports the end of an append. If Succeeded is false, the append may still
// have taken effect.
type Written struct{ Succeeded bool }

func (Wakeup) event()  {}
func (Written) event() {}

// Action is the next action of the checkpointer.
type Action interface{ action() }

// Write requests to append a checkpoint. The result is passed back as Written.
type Write struct{}

// Sleep requests a Wakeup at a time.
type Sleep struct{ Until timer.Millis }

func (Write) action() {}
func (Sleep) action() {}

// Schedule decides when this daemon writes a checkpoint. It is a state machine
// without I/O.
type Schedule struct {
	rand      *rand.Rand
	retention timer.Millis

	// streamSeen is set after the stream was seen with a record in it.
	streamSeen    bool
	checkpoint    identifier.Offset
	hasCheckpoint bool
	checkpointAt  timer.Millis
	dueSince      timer.Millis
	earliestWrite timer.Millis
	failures      int
}

// NewSchedule returns a schedule. The age of a checkpoint found at the start is
// unknown and assumed to be half of the interval between checkpoints, so that
// daemons that restart often still write.
func NewSchedule(now, retention timer.Millis, random *rand.Rand) *Schedule {
	return &Schedule{rand: random, retention: retention, checkpointAt: now - retention/checkpointsPerRetention/2}
}

// Step handles an event. Wakeup returns exactly one action.
func (s *Schedule) Step(now timer.Millis, event Event) []Action {
	switch e := event.(type) {
	case Wakeup:
		return []Action{s.wakeup(now, e.Progress)}
	case Written:
		s.written(now, e.Succeeded)
	}
	return nil
}

func (s *Schedule) wakeup(now timer.Millis, p Progress) Action {
	s.observe(now, p)
	// The time since due counts only while the log is readable, so that after an
	// outage the first rank writes first and not all readers write at once.
	if !p.HasFolded || !p.Reader || !p.Confirmed || !s.due(now, p) {
		s.dueSince = 0
		return Sleep{Until: now + maxPollInterval}
	}
	if s.dueSince == 0 {
		s.dueSince = now
	}
	at := max(s.dueSince+timer.Millis(p.Rank)*s.grace(), s.earliestWrite)
	if now < at {
		return Sleep{Until: min(at, now+maxPollInterval)}
	}
	return Write{}
}

// observe records a newer checkpoint, whichever daemon wrote it. A checkpoint that
// is present when the stream is first seen has the age that NewSchedule assumes.
func (s *Schedule) observe(now timer.Millis, p Progress) {
	known := s.streamSeen
	s.streamSeen = s.streamSeen || p.HasFolded
	if !p.HasCheckpoint || s.hasCheckpoint && p.Checkpoint <= s.checkpoint {
		return
	}
	if known {
		s.checkpointAt = now
	}
	s.checkpoint, s.hasCheckpoint = p.Checkpoint, true
	s.earliestWrite, s.failures, s.dueSince = 0, 0, 0
}

func (s *Schedule) due(now timer.Millis, p Progress) bool {
	return p.changes() >= maxChanges || now-s.checkpointAt >= s.retention/checkpointsPerRetention
}

func (s *Schedule) grace() timer.Millis {
	return min(max(s.retention/gracesPerRetention, minGrace), maxGrace)
}

func (s *Schedule) written(now timer.Millis, done bool) {
	if done {
		s.failures = 0
		s.earliestWrite = now + readBackTime
		return
	}
	span := min(minBackoff<<min(s.failures, 10), maxBackoff)
	s.failures++
	s.earliestWrite = now + span/2 + timer.Millis(s.rand.Int64N(int64(span/2)+1))
}
