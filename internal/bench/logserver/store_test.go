package logserver_test

import (
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/logserver"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestLogServer(t *testing.T) { tester.RunSpecs(t, "log server") }

var _ = Describe("records the log must refuse", func() {
	cases := []struct {
		failure string
		stream  appender.Stream
		size    int
	}{
		{"an empty record taking an offset", "configuration", 0},
		{"a record over the size limit taking an offset", "configuration", 9},
		{"a stream without a name", "", 1},
		{"a stream name with a path in it", "a/b", 1},
	}
	for _, c := range cases {
		It("guards against "+c.failure, func() {
			store := logserver.NewStore(logserver.StoreConfig{MaxRecordBytes: 8})
			_, err := store.Append(1, c.stream, make([]byte, c.size))
			Expect(logserver.Invalid.Has(err)).To(BeTrue())
			offset, err := store.Append(1, "configuration", make([]byte, 8))
			Expect(err).NotTo(HaveOccurred())
			Expect(offset).To(BeZero())
		})
	}
})

// Guards against a rate limit that admits more than its rate over time, or that
// refuses a client that stays below it.
func TestStoreRate(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		rate := rapid.IntRange(1, 2000).Draw(t, "rate")
		store := logserver.NewStore(logserver.StoreConfig{MaxRecordBytes: 8, AppendsPerSecond: rate})
		burst := max(rate/10, 1)
		clock := timer.NewManual(1, 0)
		granted := 0
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			clock.Advance(timer.Millis(rapid.IntRange(0, 300).Draw(t, "span")))
			for range rapid.IntRange(1, 100).Draw(t, "appends") {
				if _, err := store.Append(clock.Now(), "a", []byte{1}); err == nil {
					granted++
				}
			}
			allowed := burst + 1 + rate*int(clock.Now()-1)/1000
			if granted > allowed {
				t.Fatalf("%d appends granted, %d allowed", granted, allowed)
			}
		}
		clock.Advance(timer.Second)
		if _, err := store.Append(clock.Now(), "a", []byte{1}); err != nil {
			t.Fatalf("append refused after a second without appends: %v", err)
		}
	})
}

type modelRecord struct {
	at      timer.Millis
	payload byte
}

// Guards against a record that is returned under another offset, kept past the
// retention, dropped before it, or hidden instead of reported as expired.
func TestStoreRetention(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		retention := timer.Millis(rapid.IntRange(1, 100).Draw(t, "retention"))
		count := rapid.IntRange(1, 20).Draw(t, "count")
		store := logserver.NewStore(logserver.StoreConfig{Retention: retention, MaxRecords: count, MaxRecordBytes: 1})
		clock := timer.NewManual(1000, 0)
		var model []modelRecord
		oldest := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			clock.Advance(timer.Millis(rapid.IntRange(0, 30).Draw(t, "span")))
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0:
				keep := rapid.IntRange(0, 5).Draw(t, "keep")
				store.Expire("", keep)
				oldest = max(oldest, len(model)-keep)
			case 1, 2, 3, 4, 5:
				payload := rapid.Byte().Draw(t, "payload")
				offset, err := store.Append(clock.Now(), "a", []byte{payload})
				if err != nil || int(offset) != len(model) {
					t.Fatalf("append returned %d, %v; want offset %d", offset, err, len(model))
				}
				model = append(model, modelRecord{clock.Now(), payload})
				oldest = max(oldest, len(model)-count)
			}
			for oldest < len(model) && model[oldest].at+retention <= clock.Now() {
				oldest++
			}
			from := rapid.IntRange(0, len(model)+2).Draw(t, "from")
			limit := rapid.IntRange(1, 25).Draw(t, "limit")
			batch, err := store.Read(clock.Now(), "a", identifier.Offset(from), limit)
			checkRead(t, batch, err, model, oldest, from, limit)
		}
	})
}

func checkRead(t *rapid.T, batch appender.Batch, err error, model []modelRecord, oldest, from, limit int) {
	var expired *appender.ExpiredError
	if from < oldest {
		if !errors.As(err, &expired) || int(expired.First) != oldest || int(expired.Next) != len(model) {
			t.Fatalf("read below the oldest offset %d returned %v, want an expired error", oldest, err)
		}
		return
	}
	want := min(max(len(model)-from, 0), limit)
	if err != nil || len(batch.Records) != want || int(batch.First) != oldest || int(batch.Next) != len(model) {
		t.Fatalf("read from %d returned %+v, %v; want %d records", from, batch, err, want)
	}
	for i, record := range batch.Records {
		if int(record.Offset) != from+i || record.Payload[0] != model[from+i].payload {
			t.Fatalf("record %d is %+v, want payload %d", from+i, record, model[from+i].payload)
		}
	}
}
