package capacity_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/holder"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
)

// historyChanges is the number of changes that fill the recent ids, the audit
// trail and the state hashes, which keep at most 4,000 entries.
const historyChanges = 4000

// BenchmarkConfigurationMemory reports the heap of a folded configuration with
// its view, first after one record, then with a full history.
func BenchmarkConfigurationMemory(b *testing.B) {
	for _, count := range []int{0, historyChanges} {
		b.Run(fmt.Sprintf("changes=%d", count), func(b *testing.B) {
			runSizes(b, "services", serviceSizes, func(b *testing.B, services int) {
				var used int64
				for b.Loop() {
					list := changes(services, count)
					before := liveHeap()
					c := foldConfiguration(list)
					used = liveHeap() - before
					runtime.KeepAlive(list)
					runtime.KeepAlive(c)
				}
				b.ReportMetric(float64(used), "B")
				b.ReportMetric(float64(used)/float64(services), "B/service")
			})
		})
	}
}

// BenchmarkConfigurationApply reports the time to fold one change and update the
// view.
func BenchmarkConfigurationApply(b *testing.B) {
	runSizes(b, "services", serviceSizes, func(b *testing.B, services int) {
		const batch = 200
		list := changes(services, batch)
		b.ReportAllocs()
		for b.Loop() {
			b.StopTimer()
			c := foldConfiguration(list[:1])
			b.StartTimer()
			for n, payload := range list[1:] {
				if err := c.Apply(identifier.Offset(n+1), payload); err != nil {
					b.Fatal(err)
				}
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*batch), "ns/change")
	})
}

// BenchmarkChangeRecord reports the bytes of a change as appended, in an answer
// of the log (base64 in JSON) and in an answer of a relay.
func BenchmarkChangeRecord(b *testing.B) {
	runSizes(b, "edits", []int{1, 10, 100}, func(b *testing.B, edits int) {
		var payload []byte
		for b.Loop() {
			payload = changePayload(1, 1, sheetEdits(edits)[2+targetDomains:]...)
		}
		record := &peerv1.Record{Offset: 1_000_000, Payload: payload}
		b.ReportMetric(float64(len(payload)), "B/record")
		b.ReportMetric(float64(len(payload))/float64(edits), "B/edit")
		b.ReportMetric(float64(len(payload)+2)/3*4, "B/log-answer")
		b.ReportMetric(float64(proto.Size(record)), "B/relay-answer")
	})
}

// BenchmarkConfigurationCheckpoint reports the bytes of a checkpoint with an
// empty audit trail, a full one and a full one with long comments.
func BenchmarkConfigurationCheckpoint(b *testing.B) {
	long := strings.Repeat("x", 1000)
	for _, c := range []struct {
		name    string
		count   int
		comment string
	}{{"audit=none", 0, ""}, {"audit=1000", 2000, ""}, {"audit=1000-long-comments", 2000, long}} {
		b.Run(c.name, func(b *testing.B) {
			runSizes(b, "services", serviceSizes, func(b *testing.B, services int) {
				list := changes(services, c.count)
				for n := 1; n < len(list) && c.comment != ""; n++ {
					list[n] = bytes.Replace(list[n], []byte("month-end sheet of 2026-12-31, row 0412"), []byte(c.comment), 1)
				}
				fold := foldConfiguration(list)
				var payload []byte
				b.ReportAllocs()
				for b.Loop() {
					payload = must(fold.Checkpoint())
				}
				b.ReportMetric(float64(len(payload)), "B")
				b.ReportMetric(float64(len(payload))/float64(services), "B/service")
				b.ReportMetric(float64(compressed(payload)), "B-gzip")
			})
		})
	}
}

// BenchmarkConfigurationRestore reports the cost for a new daemon of restoring a
// checkpoint.
func BenchmarkConfigurationRestore(b *testing.B) {
	runSizes(b, "services", serviceSizes, func(b *testing.B, services int) {
		payload := must(foldConfiguration(changes(services, 2000)).Checkpoint())
		b.ReportAllocs()
		for b.Loop() {
			if moved, err := holder.NewConfiguration(discardLogger).Restore(payload); err != nil || !moved {
				b.Fatal(moved, err)
			}
		}
	})
}

// BenchmarkSheet reports the bytes of a complete sheet, which an operator command
// sends, and the time in which the administration API decodes and compares it.
func BenchmarkSheet(b *testing.B) {
	runSizes(b, "services", serviceSizes, func(b *testing.B, services int) {
		current := must(parser.Apply(nil, sheetEdits(services)))
		data := must(parser.Encode(must(parser.Apply(current, parser.Edits{setService(7, 9)}))))
		b.ReportAllocs()
		for b.Loop() {
			if edits := parser.Diff(current, must(parser.Decode(data))); len(edits) != 1 {
				b.Fatal(len(edits))
			}
		}
		b.ReportMetric(float64(len(data)), "B")
		b.ReportMetric(float64(len(data))/float64(services), "B/service")
	})
}

func compressed(payload []byte) int {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	must(w.Write(payload))
	if err := w.Close(); err != nil {
		panic(err)
	}
	return buf.Len()
}
