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

// historyChanges fills the recent ids, the audit trail and the state hashes,
// which keep at most 4,000 entries.
const historyChanges = 4000

// BenchmarkConfigurationMemory reports the heap of a fold with its view, first
// with one record folded, then with a full history.
func BenchmarkConfigurationMemory(b *testing.B) {
	for _, count := range []int{0, historyChanges} {
		b.Run(fmt.Sprintf("changes=%d", count), func(b *testing.B) {
			forEach(b, "services", serviceSizes, func(b *testing.B, services int) {
				var used int64
				for b.Loop() {
					list := changes(services, count)
					before := heap()
					c := foldConfiguration(list)
					used = heap() - before
					runtime.KeepAlive(list)
					runtime.KeepAlive(c)
				}
				b.ReportMetric(float64(used), "B")
				b.ReportMetric(float64(used)/float64(services), "B/service")
			})
		})
	}
}

// BenchmarkConfigurationApply reports one change through fold and view.
func BenchmarkConfigurationApply(b *testing.B) {
	forEach(b, "services", serviceSizes, func(b *testing.B, services int) {
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

// BenchmarkChangeRecord reports the bytes of a change as appended, as the log
// answers it (base64 in JSON) and as a relay answers it.
func BenchmarkChangeRecord(b *testing.B) {
	forEach(b, "edits", []int{1, 10, 100}, func(b *testing.B, edits int) {
		var payload []byte
		for b.Loop() {
			payload = changePayload(1, 1, firstEdits(edits)[2+targetDomains:]...)
		}
		record := &peerv1.Record{Offset: 1_000_000, Payload: payload}
		b.ReportMetric(float64(len(payload)), "B/record")
		b.ReportMetric(float64(len(payload))/float64(edits), "B/edit")
		b.ReportMetric(float64(len(payload)+2)/3*4, "B/log-answer")
		b.ReportMetric(float64(proto.Size(record)), "B/relay-answer")
	})
}

// BenchmarkConfigurationCheckpoint reports the bytes of a checkpoint with an
// empty, an ordinary and a full-length audit trail.
func BenchmarkConfigurationCheckpoint(b *testing.B) {
	long := strings.Repeat("x", 1000)
	for _, c := range []struct {
		name    string
		count   int
		comment string
	}{{"audit=none", 0, ""}, {"audit=1000", 2000, ""}, {"audit=1000-long-comments", 2000, long}} {
		b.Run(c.name, func(b *testing.B) {
			forEach(b, "services", serviceSizes, func(b *testing.B, services int) {
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

// BenchmarkConfigurationRestore reports what a newcomer spends on a checkpoint.
func BenchmarkConfigurationRestore(b *testing.B) {
	forEach(b, "services", serviceSizes, func(b *testing.B, services int) {
		payload := must(foldConfiguration(changes(services, 2000)).Checkpoint())
		b.ReportAllocs()
		for b.Loop() {
			if moved, err := holder.NewConfiguration(discard).Restore(payload); err != nil || !moved {
				b.Fatal(moved, err)
			}
		}
	})
}

// BenchmarkSheet reports the bytes and the time of a whole sheet, which an
// operator command sends and an administration API decodes.
func BenchmarkSheet(b *testing.B) {
	forEach(b, "services", serviceSizes, func(b *testing.B, services int) {
		current := must(parser.Apply(nil, firstEdits(services)))
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
