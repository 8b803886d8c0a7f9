package fencer_test

import (
	"fmt"
	"runtime"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/fencer"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestFencer(t *testing.T) { tester.RunSpecs(t, "fencer") }

var _ = It("guards against records that are never removed", func() {
	table := fencer.New(fencer.Config{})
	for n := range uint64(100) {
		table.Fence(1, identifier.AttemptID{Sequence: n})
	}
	table.Fence(10*timer.Minute, identifier.AttemptID{Sequence: 200})
	table.Sweep(16 * timer.Minute)
	senders, attempts := table.Size()
	Expect([]int{senders, attempts}).To(Equal([]int{1, 1}))
	Expect(table.Arrive(16*timer.Minute, identifier.AttemptID{Sequence: 50})).To(Equal(fencer.Fenced))
	table.Sweep(32 * timer.Minute)
	Expect(table.Size()).To(BeZero())
})

// history is the actual course of an attempt.
type history struct {
	queued, running, notRun bool
	starts                  int
	last                    timer.Millis
}

// Guards against a second start of an attempt, a start after not_run was
// answered, not_run for an attempt that started, and a table above its bounds.
// Messages arrive repeated, reordered and up to 5 minutes late.
func TestFencerProperties(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		config := fencer.Config{PerSender: rapid.IntRange(1, 5).Draw(t, "perSender"), Total: rapid.IntRange(1, 8).Draw(t, "total"), Senders: 2, Retention: 6 * timer.Minute}
		table, now := fencer.New(config), timer.Second
		histories := map[identifier.AttemptID]*history{}
		for range 200 {
			now += timer.Millis(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 50, 50, 50, 1000, 1000, 60_000}).Draw(t, "gap"))
			a := identifier.AttemptID{Origin: identifier.Incarnation(rapid.IntRange(1, 3).Draw(t, "origin")), Sequence: rapid.Uint64Range(0, 8).Draw(t, "sequence")}
			if histories[a] == nil {
				histories[a] = &history{last: now}
			}
			h := histories[a]
			event := rapid.SampledFrom([]int{0, 0, 0, 1, 1, 2, 2, 3, 4, 5}).Draw(t, "event")
			// Connections live 5 minutes, so no message of an older attempt can arrive.
			if event == 5 || (now-h.last > 5*timer.Minute && !h.queued && !h.running) {
				table.Sweep(now)
				continue
			}
			h.last = now
			before := *h
			switch event {
			case 0:
				verdict := table.Arrive(now, a)
				if verdict == fencer.Admitted && (h.notRun || h.queued || h.starts > 0) {
					t.Fatalf("%v admitted again: %+v", a, before)
				}
				h.queued = h.queued || verdict == fencer.Admitted
				h.notRun = h.notRun || verdict == fencer.Fenced
			case 1:
				if table.Started(now, a) {
					h.starts, h.running, h.queued = h.starts+1, true, false
				}
			case 2:
				table.Finished(now, a)
				h.running = false
			case 3:
				if table.Refused(now, a) {
					h.notRun, h.queued = true, false
				}
			case 4:
				state := table.Fence(now, a)
				h.notRun = h.notRun || state == fencer.NotRun
				if h.queued != (state == fencer.Queued) || h.running != (state == fencer.Running) {
					t.Fatalf("fence of %v returned %v, model is %+v", a, state, before)
				}
			}
			senders, attempts := table.Size()
			if h.starts > 1 || (h.notRun && h.starts > 0) || senders > config.Senders || attempts > config.Total {
				t.Fatalf("%v: %+v after event %d on %+v, %d senders, %d attempts", a, *h, event, before, senders, attempts)
			}
		}
	})
}

// BenchmarkMemory reports heap bytes per sender, with its attempts, and per attempt.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ senders, attempts int }{{1000, 1}, {1000, 100}, {100, 2000}} {
		b.Run(fmt.Sprintf("senders=%d/attempts=%d", size.senders, size.attempts), func(b *testing.B) {
			var used float64
			for b.Loop() {
				empty := heap()
				table := fencer.New(fencer.Config{})
				for n := range size.senders * size.attempts {
					a := identifier.AttemptID{Origin: identifier.Incarnation(n % size.senders), Sequence: uint64(n)}
					table.Arrive(1, a)
					table.Started(1, a)
				}
				used = float64(heap() - empty)
				runtime.KeepAlive(table)
			}
			b.ReportMetric(used/float64(size.senders), "B/sender")
			b.ReportMetric(used/float64(size.senders*size.attempts), "B/attempt")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
