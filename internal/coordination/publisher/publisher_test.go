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

// fakeLog is a log with injected faults and a fold that lags behind it. The first of
// the records "mine" and "rival" is accepted, the other is rejected.
type fakeLog struct {
	t            *rapid.T
	records      []string
	first        int
	folded       int
	lateAppendIn int
	healthy      bool
	readable     bool
	refused      bool
	recovers     bool
	sleeps       int
	cancel       context.CancelFunc
}

func (l *fakeLog) draw(name string) bool { return !l.healthy && rapid.Bool().Draw(l.t, name) }

// interleave applies a delayed append, appends of other writers and expiry between
// two requests.
func (l *fakeLog) interleave() {
	if l.lateAppendIn > 0 {
		if l.lateAppendIn--; l.lateAppendIn == 0 {
			l.records = append(l.records, mine)
		}
	}
	for range rapid.IntRange(0, 2).Draw(l.t, "others") {
		l.records = append(l.records, rapid.SampledFrom([]string{"other", "rival"}).Draw(l.t, "record"))
	}
	if l.draw("expire") {
		l.first = rapid.IntRange(l.first, len(l.records)).Draw(l.t, "first")
	}
}

func (l *fakeLog) Append(_ context.Context, _ appender.Stream, payload []byte) (identifier.Offset, error) {
	l.interleave()
	switch {
	case l.draw("refused"):
		l.refused = true
		return 0, appender.Refused.New("status 429")
	case l.draw("lost before"):
		return 0, appender.Error.Wrap(errDown)
	case l.draw("late"):
		l.lateAppendIn = rapid.IntRange(1, 6).Draw(l.t, "delay")
		return 0, appender.Error.Wrap(errDown)
	}
	l.records = append(l.records, string(payload))
	if l.draw("lost after") {
		return 0, appender.Error.Wrap(errDown)
	}
	return identifier.Offset(len(l.records) - 1), nil
}

func (l *fakeLog) Read(_ context.Context, _ appender.Stream, from identifier.Offset, limit int, _ timer.Millis) (appender.Batch, error) {
	l.interleave()
	if l.readable = !l.draw("read fails"); !l.readable {
		return appender.Batch{}, appender.Error.Wrap(errDown)
	}
	batch := appender.Batch{First: identifier.Offset(l.first), Next: identifier.Offset(len(l.records))}
	if from < batch.First {
		return appender.Batch{}, &appender.ExpiredError{First: batch.First, Next: batch.Next}
	}
	for o := from; o < batch.Next && len(batch.Records) < min(limit, 2); o++ {
		batch.Records = append(batch.Records, appender.Record{Offset: o, Payload: []byte(l.records[o])})
	}
	return batch, nil
}

func (l *fakeLog) sleep(context.Context, timer.Millis) {
	l.folded = min(l.folded+rapid.IntRange(0, 3).Draw(l.t, "folded"), len(l.records))
	l.healthy = l.healthy || l.recovers && rapid.Bool().Draw(l.t, "healed")
	if l.sleeps--; l.sleeps == 0 {
		l.cancel()
	}
	if l.sleeps < -100 || l.recovers && l.sleeps < 1<<30-1000 {
		l.t.Fatal("Publish does not return at its deadline")
	}
}

func (l *fakeLog) Outcome(identifier.ChangeID) (publisher.Outcome, bool) {
	return outcomeIn(l.records[:l.folded])
}

func outcomeIn(records []string) (publisher.Outcome, bool) {
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

// Guards against a wrong outcome after a lost answer, against a rejected change
// reported as accepted, and against an unknown outcome although the log is
// readable.
func TestOutcomes(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		log := &fakeLog{t: t, cancel: cancel, sleeps: rapid.IntRange(1, 8).Draw(t, "deadline")}
		log.healthy = rapid.IntRange(0, 3).Draw(t, "healthy") == 0
		p := publisher.New(publisher.Config{Log: log, Lookup: log, Sleep: log.sleep})
		got, err := p.Publish(ctx, mine, []byte(mine))
		want, inLog := outcomeIn(log.records)
		switch got {
		case publisher.Accepted, publisher.Rejected:
			if err != nil || !inLog || got != want {
				t.Fatalf("outcome %v, error %v; expected from the log: %v, in log %v", got, err, want, inLog)
			}
		case publisher.Absent:
			if err == nil || inLog {
				t.Fatalf("outcome absent, error %v; expected from the log: %v, in log %v", err, want, inLog)
			}
			if log.healthy {
				t.Fatal("outcome absent although the log is healthy")
			}
		default:
			if err == nil || log.readable && !inLog && log.first == 0 {
				t.Fatalf("outcome unknown, error %v; expected an error, and a known outcome from a readable log", err)
			}
		}
	})
}

// Guards against a publisher that stops retrying although the log recovers in time.
func TestOutage(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		log := &fakeLog{t: t, recovers: true, sleeps: 1 << 30}
		p := publisher.New(publisher.Config{Log: log, Lookup: log, Sleep: log.sleep})
		got, err := p.Publish(context.Background(), mine, []byte(mine))
		want, inLog := outcomeIn(log.records)
		if err == nil && got != want || err != nil && (got != publisher.Absent || inLog) {
			t.Fatalf("outcome %v, error %v; expected from the log: %v, in log %v", got, err, want, inLog)
		}
	})
}

// Guards against a change that counts twice or is refused when its publisher
// repeats it.
func TestRepeat(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		log := &fakeLog{t: t, healthy: true, sleeps: 1 << 30}
		p := publisher.New(publisher.Config{Log: log, Lookup: log, Sleep: log.sleep})
		first, err := p.Publish(context.Background(), mine, []byte(mine))
		again, err2 := p.Publish(context.Background(), mine, []byte(mine))
		if err != nil || err2 != nil || first != again {
			t.Fatal(fmt.Sprint(first, again, err, err2))
		}
	})
}

// discardingLog loses every append and its answer.
type discardingLog struct{ appender.Log }

func (discardingLog) Append(context.Context, appender.Stream, []byte) (identifier.Offset, error) {
	return 0, appender.Error.Wrap(errDown)
}

func (discardingLog) Read(ctx context.Context, _ appender.Stream, _ identifier.Offset, _ int, _ timer.Millis) (appender.Batch, error) {
	return appender.Batch{}, ctx.Err()
}

// Guards against an unknown outcome at the deadline although the log was read to
// its end without finding the change.
func TestDeadline(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	p := publisher.New(publisher.Config{Log: discardingLog{}, Lookup: &fakeLog{}})
	if got, err := p.Publish(ctx, mine, []byte(mine)); got != publisher.Absent || err == nil {
		t.Fatalf("outcome %v, error %v; expected absent and an error", got, err)
	}
}

// unansweredLog stores every append but loses its answer, and may expire the record
// at once.
type unansweredLog struct {
	fakeLog
	expires bool
}

func (l *unansweredLog) Append(_ context.Context, _ appender.Stream, payload []byte) (identifier.Offset, error) {
	l.records = append(l.records, string(payload))
	if l.expires {
		l.first = len(l.records)
	}
	return 0, appender.Error.Wrap(errDown)
}

func (l *unansweredLog) Read(_ context.Context, _ appender.Stream, from identifier.Offset, _ int, _ timer.Millis) (appender.Batch, error) {
	batch := appender.Batch{First: identifier.Offset(l.first), Next: identifier.Offset(len(l.records))}
	if from < batch.First {
		return batch, &appender.ExpiredError{First: batch.First, Next: batch.Next}
	}
	if from < batch.Next {
		batch.Records = []appender.Record{{Offset: from, Payload: []byte(l.records[from])}}
	}
	return batch, nil
}

// Guards against a change that is in the log but reported as absent, because the
// search started too late or the record expired before it was read.
func TestLostAnswerAtDeadline(t *testing.T) {
	for _, expires := range []bool{false, true} {
		ctx, cancel := context.WithCancel(context.Background())
		log := &unansweredLog{fakeLog: fakeLog{records: []string{"other"}}, expires: expires}
		stop := func(context.Context, timer.Millis) { cancel() }
		p := publisher.New(publisher.Config{Log: log, Lookup: &fakeLog{}, Sleep: stop})
		if got, err := p.Publish(ctx, mine, []byte(mine)); got != publisher.Unknown || err == nil {
			t.Errorf("expires %v: outcome %v, error %v; expected unknown and an error", expires, got, err)
		}
	}
}
