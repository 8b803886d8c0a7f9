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

// world is a log with its readers. Every reader has folded the whole log.
type world struct {
	t       *rapid.T
	clock   *timer.Manual
	records []record
	first   int
	down    bool
	lossy   bool
	writes  int
	// failing is the number of appends that fail at first.
	failing int
	// newest is the offset after what the newest checkpoint covers, newestAt the
	// offset of that checkpoint.
	newest   int
	newestAt int
	readers  []*reader
}

type reader struct {
	world *world
	rank  int
	dead  bool
	run   *checkpointer.Checkpointer
}

func (w *world) Append(_ context.Context, _ appender.Stream, payload []byte) (identifier.Offset, error) {
	w.writes++
	if w.down || w.failing >= w.writes {
		return 0, errors.New("down")
	}
	r := record{at: w.clock.Now()}
	fmt.Sscan(string(payload), &r.next)
	w.records = append(w.records, r)
	w.newest, w.newestAt = max(w.newest, r.next), len(w.records)-1
	if w.lossy {
		return 0, errors.New("answer lost")
	}
	return identifier.Offset(len(w.records) - 1), nil
}

func (w *world) Read(context.Context, appender.Stream, identifier.Offset, int, timer.Millis) (appender.Batch, error) {
	return appender.Batch{}, errors.New("not used")
}

func (r *reader) progress() checkpointer.Progress {
	w := r.world
	p := checkpointer.Progress{
		Folded: identifier.Offset(len(w.records) - 1), HasFolded: len(w.records) > 0,
		Confirmed: !w.down, Rank: r.rank, Reader: r.rank < 3,
	}
	if w.newest > 0 {
		p.Checkpoint, p.HasCheckpoint = identifier.Offset(w.newest-1), true
	}
	return p
}

func (r *reader) start() {
	w := r.world
	r.run = checkpointer.New(checkpointer.Config{
		Log: w, Clock: w.clock, Rand: rand.New(rand.NewPCG(uint64(r.rank), 1)), Retention: retention, Progress: r.progress,
		Checkpoint: func() ([]byte, error) { return fmt.Append(nil, len(w.records)), nil },
	})
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, clock: timer.NewManual(1000, 0)}
	for rank := range 4 {
		w.readers = append(w.readers, &reader{world: w, rank: rank})
		w.readers[rank].start()
	}
	return w
}

// turn appends changes, expires records, runs the readers and moves the clock.
func (w *world) turn(changes int) {
	for range changes {
		w.records = append(w.records, record{at: w.clock.Now()})
	}
	for w.first < len(w.records) && w.records[w.first].at < w.clock.Now()-retention {
		w.first++
	}
	for _, r := range w.readers {
		for !r.dead && r.run.RunOnce(context.Background()) <= 0 {
			continue
		}
	}
	w.clock.Advance(tick)
}

// usable reports whether a newcomer finds a checkpoint whose next offset is
// retained, or the whole stream.
func (w *world) usable() bool {
	return w.first == 0 || w.newestAt >= w.first && w.newest >= w.first
}

// Guards against a stream that no newcomer can start from, whichever log
// readers are lost or restart, and against readers that all write.
func TestCheckpoints(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		events := 1
		for w.clock.Now() < 3*retention {
			span := timer.Millis(rapid.IntRange(1, 40).Draw(t, "minutes")) * timer.Minute
			changes := rapid.SampledFrom([]int{0, 0, 1, 20}).Draw(t, "changes")
			w.lossy = rapid.Bool().Draw(t, "lossy")
			alive := rapid.IntRange(0, 2).Draw(t, "alive")
			for rank, r := range w.readers {
				r.dead = rank < 3 && rank != alive && rapid.Bool().Draw(t, "dead")
			}
			restarted := rapid.IntRange(0, 2).Draw(t, "restarted")
			w.readers[restarted].start()
			events++
			before := len(w.records)
			for end := w.clock.Now() + span; w.clock.Now() < end; {
				w.turn(changes)
				if !w.usable() {
					t.Fatalf("nothing to start from at %d ms, oldest record %d of %d", w.clock.Now(), w.first, len(w.records))
				}
			}
			events += (len(w.records) - before) / 1000
		}
		if limit := 2*events + int(4*w.clock.Now()/retention) + 4; w.writes > limit {
			t.Fatalf("%d checkpoints, expected at most %d", w.writes, limit)
		}
	})
}

// Guards against readers of a higher rank that write before the first one is
// late, against a daemon that is no reader and writes, and against a reader that
// gives up after failed appends.
func TestRanks(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		rank := rapid.IntRange(0, 3).Draw(t, "rank")
		w := newWorld(t)
		for _, r := range w.readers {
			r.dead = r.rank != rank
		}
		w.failing = rapid.IntRange(0, 3).Draw(t, "failing")
		w.turn(1000)
		early := w.writes
		for range 24 {
			w.turn(0)
		}
		if (early > 0) != (rank == 0) || (w.newest > 0) != (rank < 3) || w.writes > w.failing+1 {
			t.Fatalf("rank %d wrote %d at once and %d within 2 minutes", rank, early, w.writes)
		}
	})
}

// Guards against readers that all write when the log returns from an outage.
func TestOutage(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.turn(1)
		w.down = true
		for range rapid.IntRange(1, 800).Draw(t, "outage") {
			w.turn(0)
		}
		if w.writes > 0 {
			t.Fatalf("%d attempts while the log was down", w.writes)
		}
		w.down = false
		w.turn(1000)
		w.turn(0)
		if w.writes != 1 {
			t.Fatalf("%d checkpoints after the outage", w.writes)
		}
	})
}

// Guards against readers that restart so often that none ever finds a
// checkpoint due.
func TestRestarts(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.turn(1000)
		period := timer.Millis(rapid.IntRange(10, 15).Draw(t, "minutes")) * timer.Minute
		for next := period; w.clock.Now() < 2*retention; {
			if w.clock.Now() >= next {
				next += period
				for _, r := range w.readers {
					r.start()
				}
			}
			if w.turn(0); !w.usable() {
				t.Fatalf("nothing to start from at %d ms", w.clock.Now())
			}
		}
	})
}
