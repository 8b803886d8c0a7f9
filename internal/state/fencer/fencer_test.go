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

func id(sequence uint64) identifier.AttemptID {
	return identifier.AttemptID{Origin: 7, Sequence: sequence}
}

var _ = Describe("bounds of the table", func() {
	It("guards against not_run for an attempt that ran and was forgotten on overflow", func() {
		table := fencer.New(fencer.Config{PerSender: 4})
		for n := uint64(1); n <= 8; n++ {
			Expect(table.Arrive(1, id(n))).To(Equal(fencer.Admitted))
			Expect(table.Started(1, id(n))).To(BeTrue())
			table.Finished(1, id(n))
		}
		Expect(table.Arrive(1, id(1))).To(Equal(fencer.Uncertain))
		Expect(table.Fence(1, id(1))).To(Equal(fencer.Unknown))
		Expect(table.Refused(1, id(1))).To(BeFalse())
	})
	It("guards against a sender beyond the bound that is admitted without record", func() {
		table := fencer.New(fencer.Config{Senders: 1})
		table.Arrive(1, id(1))
		other := identifier.AttemptID{Origin: 8, Sequence: 1}
		Expect(table.Arrive(1, other)).To(Equal(fencer.Uncertain))
		Expect(table.Refused(1, other)).To(BeFalse())
	})
	It("guards against records that are never released", func() {
		table := fencer.New(fencer.Config{})
		for n := range uint64(100) {
			table.Fence(1, id(n))
		}
		table.Fence(10*timer.Minute, id(200))
		table.Sweep(16 * timer.Minute)
		_, attempts := table.Size()
		Expect(attempts).To(Equal(1))
		Expect(table.Arrive(16*timer.Minute, id(50))).To(Equal(fencer.Fenced))
		table.Sweep(32 * timer.Minute)
		senders, attempts := table.Size()
		Expect([]int{senders, attempts}).To(Equal([]int{0, 0}))
	})
})

// history is what really happened to an attempt.
type history struct {
	started, running, queued, notRun bool
	last                             timer.Millis
}

// Guards against a second start of an attempt, a start after not_run was
// answered, not_run for an attempt that started, and a table above its bounds.
// Messages arrive repeated, reordered and up to 5 minutes late.
func TestFencerProperties(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		config := fencer.Config{PerSender: rapid.IntRange(1, 5).Draw(t, "perSender"), Total: rapid.IntRange(1, 8).Draw(t, "total"), Senders: 2, Retention: 6 * timer.Minute}
		table, now := fencer.New(config), timer.Second
		truth := map[identifier.AttemptID]*history{}
		ids := rapid.Custom(func(t *rapid.T) identifier.AttemptID {
			return identifier.AttemptID{Origin: identifier.Incarnation(rapid.Uint64Range(1, 3).Draw(t, "origin")), Sequence: rapid.Uint64Range(0, 8).Draw(t, "sequence")}
		})
		notRun := func(a identifier.AttemptID, h *history) {
			if h.started {
				t.Fatalf("not_run for %v, which started", a)
			}
			h.notRun = true
		}
		for range 200 {
			now += timer.Millis(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 50, 50, 50, 1000, 1000, 60_000}).Draw(t, "gap"))
			a := ids.Draw(t, "attempt")
			h := truth[a]
			if h == nil {
				h = &history{last: now}
				truth[a] = h
			}
			if now-h.last > 5*timer.Minute && !h.queued && !h.running {
				continue // connections live 5 minutes, so nothing of this attempt can arrive
			}
			event := rapid.SampledFrom([]int{0, 0, 0, 1, 1, 2, 2, 3, 4, 5}).Draw(t, "event")
			if event != 5 {
				h.last = now
			}
			switch event {
			case 0:
				switch verdict := table.Arrive(now, a); verdict {
				case fencer.Admitted:
					if h.notRun || h.started || h.queued {
						t.Fatalf("%v admitted again: %+v", a, *h)
					}
					h.queued = true
				case fencer.Fenced:
					notRun(a, h)
				}
			case 1:
				if table.Started(now, a) {
					if h.notRun || h.started {
						t.Fatalf("%v started after %+v", a, *h)
					}
					h.started, h.running, h.queued = true, true, false
				}
			case 2:
				table.Finished(now, a)
				h.running = false
			case 3:
				if table.Refused(now, a) {
					notRun(a, h)
					h.queued = false
				}
			case 4:
				if state := table.Fence(now, a); state == fencer.NotRun {
					notRun(a, h)
				} else if h.queued != (state == fencer.Queued) || h.running != (state == fencer.Running) {
					t.Fatalf("%v is %v but %+v", a, state, *h)
				}
			case 5:
				table.Sweep(now)
			}
			if senders, attempts := table.Size(); senders > config.Senders || attempts > config.Total {
				t.Fatalf("%d senders, %d attempts exceed %+v", senders, attempts, config)
			}
		}
	})
}

// BenchmarkMemory reports heap bytes per sender and per attempt.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ senders, attempts int }{{100, 10}, {1000, 100}, {100, 2000}} {
		b.Run(fmt.Sprintf("senders=%d/attempts=%d", size.senders, size.attempts), func(b *testing.B) {
			var perSender, perAttempt float64
			for b.Loop() {
				empty := heap()
				table := fencer.New(fencer.Config{})
				fill(table, size.senders, 1)
				one := heap()
				fill(table, size.senders, size.attempts)
				full := heap()
				perSender = float64(one-empty) / float64(size.senders)
				perAttempt = float64(full-empty) / float64(size.senders*size.attempts)
				runtime.KeepAlive(table)
			}
			b.ReportMetric(perSender, "B/sender")
			b.ReportMetric(perAttempt, "B/attempt")
		})
	}
}

func fill(table *fencer.Fencer, senders, attempts int) {
	for sequence := range attempts {
		for origin := range senders {
			a := identifier.AttemptID{Origin: identifier.Incarnation(origin), Sequence: uint64(sequence)}
			table.Arrive(1, a)
			table.Started(1, a)
			table.Finished(1, a)
		}
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
