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
	It("guards against counters that miss what was refused", func() {
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
	cases := []struct {
		rate int64
		want int
	}{{0, 0}, {1, 10}, {2, 20}, {3, 29}, {200, 1600}}
	for _, c := range cases {
		It("guards against a small budget that never fills", func() {
			l := limiter.New(limiter.Budget{MessagesPerSecond: c.rate, BytesPerSecond: 1 << 20}, 0)
			taken := 0
			for now := timer.Millis(1); now <= 10*timer.Second; now++ {
				if l.Take(now, limiter.ProbeSent, 1, 1) {
					taken++
				}
			}
			Expect(taken).To(BeNumerically(">=", c.want))
		})
	}
})

type taking struct {
	at              timer.Millis
	messages, bytes int64
}

// drain takes one message after another until the first refusal, which presses
// on the budget harder than random amounts do.
func drain(l *limiter.Limiter, now timer.Millis, bytes int64) (total taking) {
	for total.messages < 1000 && l.Take(now, limiter.ProbeSent, 1, bytes) {
		total.messages++
		total.bytes += bytes
	}
	return total
}

// Guards against a budget that is exceeded within some second, by bursts, by
// borrowing, by half-taken pairs, by repeated changes of the budget, or by time
// that jumps.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		rates := rapid.Int64Range(0, 300)
		now, latest := timer.Millis(0), timer.Millis(0)
		l := limiter.New(limiter.Budget{}, now)
		var taken []taking
		var budgets []taking // Each in force from its time on.
		spans := rapid.SampledFrom([]timer.Millis{0, 0, 1, 3, 40, 300, 3000, -500})
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += spans.Draw(t, "span")
			latest = max(latest, now)
			if len(budgets) == 0 || rapid.IntRange(0, 30).Draw(t, "change") == 0 {
				next := taking{latest, rates.Draw(t, "messages"), 50 * rates.Draw(t, "bytes")}
				budgets = append(budgets, next)
				l.SetBudget(now, limiter.Budget{MessagesPerSecond: next.messages, BytesPerSecond: next.bytes})
			}
			got := drain(l, now, rapid.Int64Range(0, 400).Draw(t, "size"))
			got.at = latest
			taken = append(taken, got)

			var sum, bound taking
			for i := len(taken) - 1; i >= 0 && latest-taken[i].at < timer.Second; i-- {
				sum.messages += taken[i].messages
				sum.bytes += taken[i].bytes
			}
			for i := len(budgets) - 1; i >= 0; i-- {
				bound.messages = max(bound.messages, budgets[i].messages)
				bound.bytes = max(bound.bytes, budgets[i].bytes)
				if latest-budgets[i].at >= timer.Second {
					break
				}
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
