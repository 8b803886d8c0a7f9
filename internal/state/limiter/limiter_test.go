package limiter_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/limiter"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestLimiter(t *testing.T) { tester.RunSpecs(t, "limiter") }

var _ = Describe("load-measuring budget", func() {
	It("guards against counters that omit refused messages", func() {
		l := limiter.New(limiter.Budget{MessagesPerSecond: 10, BytesPerSecond: 5000}, 0)
		Expect(l.Take(1000, limiter.Poll, 1, 900)).To(BeTrue())
		Expect(l.Take(1000, limiter.Poll, 1, 900)).To(BeFalse())
		Expect(l.Take(1000, limiter.Kind(9), 1, 1)).To(BeFalse())
		Expect(l.Counters(limiter.Poll)).To(Equal(limiter.Counters{1, 900, 1, 900}))
		Expect(l.Counters(limiter.ProbeSent)).To(BeZero())
	})
	It("guards against a lowered budget that leaves the old burst", func() {
		l := limiter.New(limiter.Budget{MessagesPerSecond: 200, BytesPerSecond: 5000}, 0)
		Expect(l.Take(1000, limiter.Poll, 30, 0)).To(BeTrue())
		l.SetBudget(2000, limiter.Budget{MessagesPerSecond: 10, BytesPerSecond: 5000})
		Expect(l.Take(2000, limiter.Poll, 3, 0)).To(BeFalse())
		Expect(l.Take(2000, limiter.Poll, 2, 0)).To(BeTrue())
	})
	for _, c := range []struct{ rate, want int64 }{{0, 0}, {1, 10}, {2, 20}, {3, 29}, {200, 1600}} {
		It("guards against a small budget that never refills", func() {
			l := limiter.New(limiter.Budget{MessagesPerSecond: c.rate, BytesPerSecond: 1 << 20}, 0)
			for now := timer.Millis(1); now <= 10*timer.Second; now++ {
				l.Take(now, limiter.ProbeSent, 1, 1)
			}
			Expect(l.Counters(limiter.ProbeSent).TakenMessages).To(BeNumerically(">=", c.want))
		})
	}
})

// amount is the amount taken at a time, or the amount allowed from a time on.
type amount struct {
	at              timer.Millis
	messages, bytes int64
}

// Guards against exceeding the budget within any second through bursts, borrowing,
// taking only messages or only bytes, repeated changes of the budget, or clock
// jumps.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rates, spans := rapid.Int64Range(0, 300), rapid.SampledFrom([]timer.Millis{0, 0, 1, 3, 40, 300, 3000, -500})
	tester.Check(t, func(t *rapid.T) {
		var now, latest timer.Millis
		var budgets, taken []amount
		l := limiter.New(limiter.Budget{}, now)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += spans.Draw(t, "span")
			latest = max(latest, now)
			if len(budgets) == 0 || rapid.IntRange(0, 30).Draw(t, "change") == 0 {
				next := amount{latest, rates.Draw(t, "messages"), 50 * rates.Draw(t, "bytes")}
				budgets = append(budgets, next)
				l.SetBudget(now, limiter.Budget{MessagesPerSecond: next.messages, BytesPerSecond: next.bytes})
			}
			got, size := amount{at: latest}, rapid.Int64Range(0, 400).Draw(t, "size")
			for got.messages < 1000 && l.Take(now, limiter.ProbeSent, 1, size) {
				got.messages, got.bytes = got.messages+1, got.bytes+size
			}
			taken = append(taken, got)

			var sum, bound amount
			for i := len(taken) - 1; i >= 0 && latest-taken[i].at < timer.Second; i-- {
				sum.messages, sum.bytes = sum.messages+taken[i].messages, sum.bytes+taken[i].bytes
			}
			for i, begun := len(budgets)-1, false; i >= 0 && !begun; i-- {
				bound.messages, bound.bytes = max(bound.messages, budgets[i].messages), max(bound.bytes, budgets[i].bytes)
				begun = latest-budgets[i].at >= timer.Second
			}
			if sum.messages > bound.messages || sum.bytes > bound.bytes {
				t.Fatalf("%+v taken within a second of %+v", sum, bound)
			}
		}
	})
}

func BenchmarkTake(b *testing.B) {
	b.ReportAllocs()
	l := limiter.New(limiter.Budget{MessagesPerSecond: 1 << 20, BytesPerSecond: 1 << 30}, 0)
	now := timer.Millis(0)
	for b.Loop() {
		now++
		l.Take(now, limiter.ProbeSent, 1, 64)
	}
}
