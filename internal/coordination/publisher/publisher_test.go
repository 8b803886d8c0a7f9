package publisher_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/publisher"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

var errDown = errors.New("no answer")

const mine = "mine"

// world is a log with faults and a fold that lags behind it. The first of "mine"
// and "rival" in the log is accepted, the other rejected.
type world struct {
	t        *rapid.T
	records  []string
	first    int
	folded   int
	late     int
	healthy  bool
	readable bool
	refused  bool
	heals    bool
	sleeps   int
	cancel   context.CancelFunc
}

func (w *world) draw(name string) bool { return !w.healthy && rapid.Bool().Draw(w.t, name) }

// between lets other things happen between two requests.
func (w *world) between() {
	if w.late > 0 {
		if w.late--; w.late == 0 {
			w.records = append(w.records, mine)
		}
	}
	for range rapid.IntRange(0, 2).Draw(w.t, "others") {
		w.records = append(w.records, rapid.SampledFrom([]string{"other", "rival"}).Draw(w.t, "record"))
	}
	if w.draw("expire") {
		w.first = rapid.IntRange(w.first, len(w.records)).Draw(w.t, "first")
	}
}

func (w *world) Append(_ context.Context, _ appender.Stream, payload []byte) (identifier.Offset, error) {
	w.between()
	switch {
	case w.draw("refused"):
		w.refused = true
		return 0, appender.Refused.New("status 429")
	case w.draw("lost before"):
		return 0, appender.Error.Wrap(errDown)
	case w.draw("late"):
		w.late = rapid.IntRange(1, 6).Draw(w.t, "delay")
		return 0, appender.Error.Wrap(errDown)
	}
	w.records = append(w.records, string(payload))
	if w.draw("lost after") {
		return 0, appender.Error.Wrap(errDown)
	}
	return identifier.Offset(len(w.records) - 1), nil
}

func (w *world) Read(_ context.Context, _ appender.Stream, from identifier.Offset, limit int, _ timer.Millis) (appender.Batch, error) {
	w.between()
	if w.readable = !w.draw("read fails"); !w.readable {
		return appender.Batch{}, appender.Error.Wrap(errDown)
	}
	batch := appender.Batch{First: identifier.Offset(w.first), Next: identifier.Offset(len(w.records))}
	if from < batch.First {
		return appender.Batch{}, &appender.ExpiredError{First: batch.First, Next: batch.Next}
	}
	for o := from; o < batch.Next && len(batch.Records) < min(limit, 2); o++ {
		batch.Records = append(batch.Records, appender.Record{Offset: o, Payload: []byte(w.records[o])})
	}
	return batch, nil
}

func (w *world) sleep(context.Context, timer.Millis) {
	w.folded = min(w.folded+rapid.IntRange(0, 3).Draw(w.t, "folded"), len(w.records))
	w.healthy = w.healthy || w.heals && rapid.Bool().Draw(w.t, "healed")
	if w.sleeps--; w.sleeps == 0 {
		w.cancel()
	}
	if w.sleeps < -100 || w.heals && w.sleeps < 1<<30-1000 {
		w.t.Fatal("publishing does not end at its deadline")
	}
}

func (w *world) Outcome(identifier.ChangeID) (publisher.Outcome, bool) {
	return fate(w.records[:w.folded])
}

func fate(records []string) (publisher.Outcome, bool) {
	result := publisher.Accepted
	for _, r := range records {
		switch r {
		case mine:
			return result, true
		case "rival":
			result = publisher.Rejected
		}
	}
	return publisher.Unknown, false
}

// Guards against a guessed fate after a lost answer, against a rejected change
// reported as accepted, and against an unknown fate although the log is
// readable.
func TestFates(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := &world{t: t, cancel: cancel, sleeps: rapid.IntRange(1, 8).Draw(t, "deadline")}
		w.healthy = rapid.IntRange(0, 3).Draw(t, "healthy") == 0
		p := publisher.New(publisher.Config{Log: w, Lookup: w, Sleep: w.sleep})
		got, err := p.Publish(ctx, mine, []byte(mine))
		want, inLog := fate(w.records)
		switch got {
		case publisher.Accepted, publisher.Rejected:
			if err != nil || !inLog || got != want {
				t.Fatalf("fate %v, %v; the log says %v, %v", got, err, want, inLog)
			}
		case publisher.Absent:
			if err == nil || inLog {
				t.Fatalf("absent, %v; the log says %v, %v", err, want, inLog)
			}
			if w.healthy {
				t.Fatal("absent from a healthy log")
			}
		default:
			if err == nil || w.readable && !inLog && w.first == 0 {
				t.Fatalf("unknown, %v; the log was readable", err)
			}
		}
	})
}

// Guards against a publisher that gives up although the log returns in time.
func TestOutage(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		w := &world{t: t, heals: true, sleeps: 1 << 30}
		p := publisher.New(publisher.Config{Log: w, Lookup: w, Sleep: w.sleep})
		got, err := p.Publish(context.Background(), mine, []byte(mine))
		want, inLog := fate(w.records)
		if err == nil && got != want || err != nil && (got != publisher.Absent || inLog) {
			t.Fatalf("%v, %v; the log says %v, %v", got, err, want, inLog)
		}
	})
}

// Guards against a change that counts twice or is refused when its publisher
// repeats it.
func TestRepeat(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		w := &world{t: t, healthy: true, sleeps: 1 << 30}
		p := publisher.New(publisher.Config{Log: w, Lookup: w, Sleep: w.sleep})
		first, err := p.Publish(context.Background(), mine, []byte(mine))
		again, err2 := p.Publish(context.Background(), mine, []byte(mine))
		if err != nil || err2 != nil || first != again {
			t.Fatal(fmt.Sprint(first, again, err, err2))
		}
	})
}

// swallower takes every append and keeps none.
type swallower struct{ appender.Log }

func (swallower) Append(context.Context, appender.Stream, []byte) (identifier.Offset, error) {
	return 0, appender.Error.Wrap(errDown)
}

func (swallower) Read(ctx context.Context, _ appender.Stream, _ identifier.Offset, _ int, _ timer.Millis) (appender.Batch, error) {
	return appender.Batch{}, ctx.Err()
}

// Guards against an unknown fate at the deadline although the log was read to
// its end without the change.
func TestDeadline(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	p := publisher.New(publisher.Config{Log: swallower{}, Lookup: &world{}})
	if got, err := p.Publish(ctx, mine, []byte(mine)); got != publisher.Absent || err == nil {
		t.Fatalf("%v, %v", got, err)
	}
}

// keeper keeps every append, loses its answer, and may expire it at once.
type keeper struct {
	world
	expires bool
}

func (k *keeper) Append(_ context.Context, _ appender.Stream, payload []byte) (identifier.Offset, error) {
	k.records = append(k.records, string(payload))
	if k.expires {
		k.first = len(k.records)
	}
	return 0, appender.Error.Wrap(errDown)
}

func (k *keeper) Read(_ context.Context, _ appender.Stream, from identifier.Offset, _ int, _ timer.Millis) (appender.Batch, error) {
	batch := appender.Batch{First: identifier.Offset(k.first), Next: identifier.Offset(len(k.records))}
	if from < batch.First {
		return batch, &appender.ExpiredError{First: batch.First, Next: batch.Next}
	}
	if from < batch.Next {
		batch.Records = []appender.Record{{Offset: from, Payload: []byte(k.records[from])}}
	}
	return batch, nil
}

// Guards against a change that is in the log and reported as absent, because
// the search started too late or its record expired unread.
func TestLostAnswerAtDeadline(t *testing.T) {
	for _, expires := range []bool{false, true} {
		ctx, cancel := context.WithCancel(context.Background())
		log := &keeper{world: world{records: []string{"other"}}, expires: expires}
		stop := func(context.Context, timer.Millis) { cancel() }
		p := publisher.New(publisher.Config{Log: log, Lookup: &world{}, Sleep: stop})
		if got, err := p.Publish(ctx, mine, []byte(mine)); got != publisher.Unknown || err == nil {
			t.Errorf("expires %v: %v, %v", expires, got, err)
		}
	}
}
