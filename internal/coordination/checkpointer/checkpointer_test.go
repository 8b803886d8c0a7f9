package checkpointer_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/checkpointer"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	retention = 64 * timer.Minute
	tick      = 5 * timer.Second
)

// record is a change, or a checkpoint that covers offsets below next.
type record struct {
	at   timer.Millis
	next int
}

// simulation is a log and its readers. Every reader has folded the whole log.
type simulation struct {
	t            *rapid.T
	clock        *timer.Manual
	records      []record
	first        int
	down         bool
	losesAnswers bool
	writes       int
	// failingAppends is the number of first appends that fail.
	failingAppends int
	// newest is the next offset after those that the newest checkpoint covers,
	// newestAt the offset of that checkpoint.
	newest   int
	newestAt int
	readers  []*reader
}

type reader struct {
	simulation   *simulation
	rank         int
	stopped      bool
	checkpointer *checkpointer.Checkpointer
}

func (s *simulation) Append(_ context.Context, _ appender.Stream, payload []byte) (identifier.Offset, error) {
	s.writes++
	if s.down || s.failingAppends >= s.writes {
		return 0, errors.New("down")
	}
	r := record{at: s.clock.Now()}
	fmt.Sscan(string(payload), &r.next)
	s.records = append(s.records, r)
	s.newest, s.newestAt = max(s.newest, r.next), len(s.records)-1
	if s.losesAnswers {
		return 0, errors.New("answer lost")
	}
	return identifier.Offset(len(s.records) - 1), nil
}

func (s *simulation) Read(context.Context, appender.Stream, identifier.Offset, int, timer.Millis) (appender.Batch, error) {
	return appender.Batch{}, errors.New("not used")
}

func (r *reader) progress() checkpointer.Progress {
	s := r.simulation
	p := checkpointer.Progress{
		Folded: identifier.Offset(len(s.records) - 1), HasFolded: len(s.records) > 0,
		Confirmed: !s.down, Rank: r.rank, Reader: r.rank < 3,
	}
	if s.newest > 0 {
		p.Checkpoint, p.HasCheckpoint = identifier.Offset(s.newest-1), true
	}
	return p
}

func (r *reader) start() {
	s := r.simulation
	r.checkpointer = checkpointer.New(checkpointer.Config{
		Log: s, Clock: s.clock, Rand: rand.New(rand.NewPCG(uint64(r.rank), 1)), Retention: retention, Progress: r.progress,
		Checkpoint: func() ([]byte, error) { return fmt.Append(nil, len(s.records)), nil },
	})
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, clock: timer.NewManual(1000, 0)}
	for rank := range 4 {
		s.readers = append(s.readers, &reader{simulation: s, rank: rank})
		s.readers[rank].start()
	}
	return s
}

// step appends changes, expires records, runs the readers and advances the clock.
func (s *simulation) step(changes int) {
	for range changes {
		s.records = append(s.records, record{at: s.clock.Now()})
	}
	for s.first < len(s.records) && s.records[s.first].at < s.clock.Now()-retention {
		s.first++
	}
	for _, r := range s.readers {
		for !r.stopped && r.checkpointer.RunOnce(context.Background()) <= 0 {
			continue
		}
	}
	s.clock.Advance(tick)
}

// canStart reports whether a newcomer finds the whole stream, or a checkpoint whose
// next offset is retained.
func (s *simulation) canStart() bool {
	return s.first == 0 || s.newestAt >= s.first && s.newest >= s.first
}

// Guards against a stream that no newcomer can start from, whichever log readers
// stop or restart, and against checkpoints by all readers at once.
func TestCheckpoints(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		events := 1
		for s.clock.Now() < 3*retention {
			span := timer.Millis(rapid.IntRange(1, 40).Draw(t, "minutes")) * timer.Minute
			changes := rapid.SampledFrom([]int{0, 0, 1, 20}).Draw(t, "changes")
			s.losesAnswers = rapid.Bool().Draw(t, "lossy")
			alive := rapid.IntRange(0, 2).Draw(t, "alive")
			for rank, r := range s.readers {
				r.stopped = rank < 3 && rank != alive && rapid.Bool().Draw(t, "dead")
			}
			restarted := rapid.IntRange(0, 2).Draw(t, "restarted")
			s.readers[restarted].start()
			events++
			before := len(s.records)
			for end := s.clock.Now() + span; s.clock.Now() < end; {
				s.step(changes)
				if !s.canStart() {
					t.Fatalf("no usable checkpoint at %d ms, oldest record %d of %d", s.clock.Now(), s.first, len(s.records))
				}
			}
			events += (len(s.records) - before) / 1000
		}
		if limit := 2*events + int(4*s.clock.Now()/retention) + 4; s.writes > limit {
			t.Fatalf("%d attempts to write a checkpoint, expected at most %d", s.writes, limit)
		}
	})
}

// Guards against readers of a higher rank that write before the first rank is late,
// against writes by a daemon that is not a log reader, and against a reader that
// stops writing after failed appends.
func TestRanks(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		rank := rapid.IntRange(0, 3).Draw(t, "rank")
		s := newSimulation(t)
		for _, r := range s.readers {
			r.stopped = r.rank != rank
		}
		s.failingAppends = rapid.IntRange(0, 3).Draw(t, "failing")
		s.step(1000)
		early := s.writes
		for range 24 {
			s.step(0)
		}
		if (early > 0) != (rank == 0) || (s.newest > 0) != (rank < 3) || s.writes > s.failingAppends+1 {
			t.Fatalf("rank %d wrote %d at once and %d within 2 minutes", rank, early, s.writes)
		}
	})
}

// Guards against readers that all write when the log recovers from an outage.
func TestOutage(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.step(1)
		s.down = true
		for range rapid.IntRange(1, 800).Draw(t, "outage") {
			s.step(0)
		}
		if s.writes > 0 {
			t.Fatalf("%d attempts while the log was down", s.writes)
		}
		s.down = false
		s.step(1000)
		s.step(0)
		if s.writes != 1 {
			t.Fatalf("%d attempts to write a checkpoint after the outage, expected 1", s.writes)
		}
	})
}

// Guards against readers that restart so often that no checkpoint ever becomes due.
func TestRestarts(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.step(1000)
		period := timer.Millis(rapid.IntRange(10, 15).Draw(t, "minutes")) * timer.Minute
		for next := period; s.clock.Now() < 2*retention; {
			if s.clock.Now() >= next {
				next += period
				for _, r := range s.readers {
					r.start()
				}
			}
			if s.step(0); !s.canStart() {
				t.Fatalf("no usable checkpoint at %d ms", s.clock.Now())
			}
		}
	})
}
