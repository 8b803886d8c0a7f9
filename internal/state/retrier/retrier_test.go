package retrier_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/retrier"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestRetrier(t *testing.T) { tester.RunSpecs(t, "retrier") }

// moment is an event and the actions that must follow it.
type moment struct {
	at    timer.Millis
	event retrier.Event
	want  []retrier.Action
}

func do(actions ...retrier.Action) []retrier.Action { return actions }

var (
	once   = retrier.Config{Deadline: 2000, MaxAttempts: 3}
	hedged = retrier.Config{Deadline: 2000, MaxAttempts: 3, Idempotent: true, HedgeDelay: 40}
	keyed  = retrier.Config{Deadline: 2000, MaxAttempts: 3, Idempotent: true, Keyed: true, HedgeDelay: 40}
	begin  = moment{0, retrier.Begin{}, do(retrier.Send{Attempt: 1}, retrier.Wake{At: 250})}
	second = retrier.Send{Attempt: 2, Exclude: 1}
	silent = moment{250, retrier.Timer{}, do(retrier.Query{Attempt: 1}, retrier.Wake{At: 500})}
	broken = moment{10, retrier.Unknown{Attempt: 1}, do(retrier.Query{Attempt: 1})}
)

func unknown(reason retrier.Reason) retrier.Finish {
	return retrier.Finish{Outcome: retrier.OutcomeUnknown, Reason: reason}
}

func refused(reason retrier.Reason, after timer.Millis) retrier.Finish {
	return retrier.Finish{Outcome: retrier.OutcomeNotRun, Reason: reason, RetryAfter: after}
}

var cases = []struct {
	guards  string
	config  retrier.Config
	moments []moment
}{
	{"a complete answer that is not passed on", once, []moment{
		begin,
		{9, retrier.Answered{Attempt: 1, Complete: true}, do(retrier.Finish{Attempt: 1})},
		{10, retrier.NotRun{Attempt: 1}, nil},
	}},
	{"a silent connection that costs more than one stall", once, []moment{
		begin, silent,
		{251, retrier.FenceResult{Attempt: 1, State: retrier.FenceNotRun}, do(retrier.CancelAttempt{Attempt: 1}, second)},
	}},
	{"a long request that is given up or queried too often", once, []moment{
		begin, silent,
		{251, retrier.FenceResult{Attempt: 1, State: retrier.FenceRunning}, nil},
		{500, retrier.Timer{}, do(retrier.Query{Attempt: 1}, retrier.Wake{At: 1000})},
		{1000, retrier.Timer{}, do(retrier.Query{Attempt: 1}, retrier.Wake{At: 2000})},
		{2000, retrier.Timer{}, do(retrier.CancelAttempt{Attempt: 1}, unknown("deadline"))},
	}},
	{"a caller that waits for the lost answer of a finished attempt", once, []moment{
		begin, silent,
		{251, retrier.FenceResult{Attempt: 1, State: retrier.FenceFinished}, nil},
		{501, retrier.Timer{}, do(retrier.CancelAttempt{Attempt: 1}, unknown("no_answer"))},
	}},
	{"a second run after a broken connection", once, []moment{
		begin, broken,
		{11, retrier.FenceResult{Attempt: 1, State: retrier.FenceRunning}, do(unknown("no_answer"))},
	}},
	{"a caller that waits until the deadline for a daemon that is gone", once, []moment{
		begin, broken,
		{260, retrier.Timer{}, do(retrier.Query{Attempt: 1}, retrier.Wake{At: 510})},
		{510, retrier.Timer{}, do(unknown("no_answer"))},
	}},
	{"a refusal without its reason and shortest hint", once, []moment{
		begin,
		{1, retrier.NotRun{Attempt: 1, Reason: "overloaded", RetryAfter: 30}, do(second)},
		{2, retrier.NoInstance{Attempt: 2}, do(refused("overloaded", 30))},
	}},
	{"retries of a request that every instance refuses", once, []moment{
		begin, {1, retrier.NotRun{Attempt: 1, Reason: "quarantined"}, do(refused("quarantined", 0))},
	}},
	{"a hedge that is late or outlives the answer", hedged, []moment{
		{0, retrier.Begin{}, do(retrier.Send{Attempt: 1}, retrier.Wake{At: 40})},
		{40, retrier.Timer{}, do(retrier.Send{Attempt: 2, Exclude: 1, Hedge: true}, retrier.Wake{At: 250})},
		{45, retrier.Answered{Attempt: 2, Complete: true}, do(retrier.CancelAttempt{Attempt: 1}, retrier.Finish{Attempt: 2})},
	}},
	{"an idempotent request that waits for proof", hedged, []moment{
		{0, retrier.Begin{}, do(retrier.Send{Attempt: 1}, retrier.Wake{At: 40})},
		{10, retrier.Unknown{Attempt: 1}, do(second)},
	}},
	{"work for a caller that has gone", once, []moment{
		begin, {9, retrier.CallerGone{}, do(retrier.CancelAttempt{Attempt: 1}, unknown("caller_gone"))},
	}},
	{"a claim whose answer is lost with its caller", keyed, []moment{
		begin,
		{9, retrier.CallerGone{}, nil},
		{20, retrier.Answered{Attempt: 1, Complete: true}, do(retrier.Finish{Attempt: 1})},
	}},
}

var _ = Describe("requests", func() {
	for _, c := range cases {
		It("guards against "+c.guards, func() {
			request := retrier.New(c.config, retrier.Budgets{Retries: plenty{}, Hedges: plenty{}, Queries: plenty{}})
			for _, m := range c.moments {
				Expect(request.Step(m.at, m.event)).To(HaveExactElements(m.want), "at %d", m.at)
			}
		})
	}
	It("guards against a minimum that adds to the percentage, or is missing when idle", func() {
		b := retrier.NewBudget(retrier.BudgetConfig{Percent: 10}, 0)
		taken := 0
		drain := func(now timer.Millis) {
			for b.Take(now) {
				taken++
			}
		}
		for now := timer.Millis(0); now < 10*timer.Second; now += 10 {
			b.Earn(now)
			drain(now)
		}
		Expect(taken).To(BeNumerically("~", 101, 1))
		for now := 10 * timer.Second; now <= 20*timer.Second; now += 100 {
			drain(now)
		}
		Expect(taken).To(BeNumerically("~", 110, 1))
	})
})

// Guards against a hedge or stall delay that misses the true quantile by more
// than a bucket, or keeps to old latencies.
func TestLatencies(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		var l retrier.Latencies
		micros := rapid.SliceOfN(rapid.IntRange(0, 1<<rapid.IntRange(4, 30).Draw(t, "scale")), 100, 400).Draw(t, "micros")
		for i := range 2 * len(micros) {
			now := timer.Millis(i/len(micros)) * 10 * timer.Minute
			l.Observe(now, time.Duration(micros[i%len(micros)]+(1<<31)*(1-i/len(micros)))*time.Microsecond)
		}
		slices.Sort(micros)
		n := len(micros)
		p95, p99 := float64(micros[n-1-n*5/100])/1000, float64(micros[n-1-n/100])/1000
		hedge, stall := float64(l.HedgeDelay()), float64(l.StallTimeout())
		if hedge < p95 || hedge > 1.25*p95+1.01 || stall < 2*p99 || stall > max(250, 2.5*p99+2.02) {
			t.Fatalf("hedge %v for %v, stall %v for %v", hedge, p95, stall, p99)
		}
	})
}

func BenchmarkHappyPath(b *testing.B) {
	budget := retrier.NewBudget(retrier.BudgetConfig{Percent: 10}, 0)
	budgets := retrier.Budgets{Retries: budget, Hedges: budget, Queries: budget}
	b.ReportAllocs()
	for b.Loop() {
		request := retrier.New(hedged, budgets)
		request.Step(0, retrier.Begin{})
		request.Step(5, retrier.Answered{Attempt: 1, Complete: true})
	}
}
