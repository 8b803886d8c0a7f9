package retrier_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/retrier"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestRetrier(t *testing.T) { tester.RunSpecs(t, "retrier") }

// step is an event and the actions that must follow it.
type step struct {
	at    timer.Millis
	event retrier.Event
	want  []retrier.Action
}

func actions(actions ...retrier.Action) []retrier.Action { return actions }

var (
	notIdempotent = retrier.Config{Deadline: 2000, MaxAttempts: 3}
	hedged        = retrier.Config{Deadline: 2000, MaxAttempts: 3, Idempotent: true, HedgeDelay: 40}
	keyed         = retrier.Config{Deadline: 2000, MaxAttempts: 3, Idempotent: true, Keyed: true, HedgeDelay: 40}
	begin         = step{0, retrier.Begin{}, actions(retrier.Send{Attempt: 1}, retrier.Wake{At: 250})}
	second        = retrier.Send{Attempt: 2, ExcludeUpTo: 1}
	stalled       = step{250, retrier.Timer{}, actions(retrier.Query{Attempt: 1}, retrier.Wake{At: 500})}
	broken        = step{10, retrier.Unknown{Attempt: 1}, actions(retrier.Query{Attempt: 1})}
)

func unknown(reason classifier.Reason) retrier.Finish {
	return retrier.Finish{Outcome: retrier.OutcomeUnknown, Reason: reason}
}

func refused(reason classifier.Reason, after timer.Millis) retrier.Finish {
	return retrier.Finish{Outcome: retrier.OutcomeNotRun, Reason: reason, RetryAfter: after}
}

var cases = []struct {
	guards string
	config retrier.Config
	steps  []step
}{
	{"a complete answer that is not passed on", notIdempotent, []step{
		begin,
		{9, retrier.Answered{Attempt: 1, Complete: true}, actions(retrier.Finish{Attempt: 1})},
		{10, retrier.NotRun{Attempt: 1}, nil},
	}},
	{"a silent connection that costs more than one stall", notIdempotent, []step{
		begin, stalled,
		{251, retrier.FenceResult{Attempt: 1, State: retrier.FenceNotRun}, actions(retrier.CancelAttempt{Attempt: 1}, second)},
	}},
	{"a long request that is given up or queried too often", notIdempotent, []step{
		begin, stalled,
		{251, retrier.FenceResult{Attempt: 1, State: retrier.FenceRunning}, nil},
		{500, retrier.Timer{}, actions(retrier.Query{Attempt: 1}, retrier.Wake{At: 1000})},
		{1000, retrier.Timer{}, actions(retrier.Query{Attempt: 1}, retrier.Wake{At: 2000})},
		{2000, retrier.Timer{}, actions(retrier.CancelAttempt{Attempt: 1}, unknown("deadline"))},
	}},
	{"a caller that waits for the lost answer of a finished attempt", notIdempotent, []step{
		begin, stalled,
		{251, retrier.FenceResult{Attempt: 1, State: retrier.FenceFinished}, nil},
		{501, retrier.Timer{}, actions(retrier.CancelAttempt{Attempt: 1}, unknown("no_answer"))},
	}},
	{"a second run after a broken connection", notIdempotent, []step{
		begin, broken,
		{11, retrier.FenceResult{Attempt: 1, State: retrier.FenceRunning}, actions(unknown("no_answer"))},
	}},
	{"a caller that waits until the deadline for a daemon that is gone", notIdempotent, []step{
		begin, broken,
		{260, retrier.Timer{}, actions(retrier.Query{Attempt: 1}, retrier.Wake{At: 510})},
		{510, retrier.Timer{}, actions(unknown("no_answer"))},
	}},
	{"a refusal without its reason and shortest hint", notIdempotent, []step{
		begin,
		{1, retrier.NotRun{Attempt: 1, Reason: "overloaded", RetryAfter: 30}, actions(second)},
		{2, retrier.NoInstance{Attempt: 2}, actions(refused("overloaded", 30))},
	}},
	{"retries of a request that every instance refuses", notIdempotent, []step{
		begin, {1, retrier.NotRun{Attempt: 1, Reason: "quarantined"}, actions(refused("quarantined", 0))},
	}},
	{"a hedge that is late or outlives the answer", hedged, []step{
		{0, retrier.Begin{}, actions(retrier.Send{Attempt: 1}, retrier.Wake{At: 40})},
		{40, retrier.Timer{}, actions(retrier.Send{Attempt: 2, ExcludeUpTo: 1, Hedge: true}, retrier.Wake{At: 250})},
		{45, retrier.Answered{Attempt: 2, Complete: true}, actions(retrier.CancelAttempt{Attempt: 1}, retrier.Finish{Attempt: 2})},
	}},
	{"an idempotent request that waits for proof", hedged, []step{
		{0, retrier.Begin{}, actions(retrier.Send{Attempt: 1}, retrier.Wake{At: 40})},
		{10, retrier.Unknown{Attempt: 1}, actions(second)},
	}},
	{"work for a caller that has gone", notIdempotent, []step{
		begin, {9, retrier.CallerGone{}, actions(retrier.CancelAttempt{Attempt: 1}, unknown("caller_gone"))},
	}},
	{"a claim whose answer is lost with its caller", keyed, []step{
		begin,
		{9, retrier.CallerGone{}, nil},
		{20, retrier.Answered{Attempt: 1, Complete: true}, actions(retrier.Finish{Attempt: 1})},
	}},
}

var _ = Describe("requests", func() {
	for _, c := range cases {
		It("guards against "+c.guards, func() {
			request := retrier.New(c.config, retrier.Budgets{Retries: unlimitedBudget{}, Hedges: unlimitedBudget{}, Queries: unlimitedBudget{}})
			for _, m := range c.steps {
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
			b.RecordRequest(now)
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

// What truly became of an attempt, as admission sees it. An notArrived attempt may
// still arrive and start; one that is not run never will.
const (
	notArrived = retrier.FenceUnknown
	notRun     = retrier.FenceNotRun
	running    = retrier.FenceRunning
	finished   = retrier.FenceFinished
)

// simulation is a request with the truth about its attempts and the events on
// their way to it.
type simulation struct {
	*rapid.T
	config              retrier.Config
	request             *retrier.Retrier
	now, latest, wakeAt timer.Millis
	attempts            []retrier.FenceState
	answers             map[retrier.Attempt]bool
	queries             []retrier.Attempt
	events              []retrier.Event
	ended               bool
}

func (n *simulation) draw(sides int) int { return rapid.IntRange(0, sides-1).Draw(n.T, "roll") }

func (n *simulation) step(event retrier.Event) {
	n.latest = max(n.latest, n.now)
	if _, timed := event.(retrier.Timer); timed {
		n.wakeAt = 0
	}
	for _, action := range n.request.Step(n.now, event) {
		if n.ended {
			n.Fatalf("%#v after the end", action)
		}
		n.handle(action)
	}
	if len(n.attempts) > 0 && !n.ended && (n.wakeAt <= 0 || n.wakeAt > n.config.Deadline) {
		n.Fatalf("no timer by the deadline after %#v", event)
	}
}

func (n *simulation) handle(action retrier.Action) {
	proven := true
	for _, state := range n.attempts {
		proven = proven && state == notRun
	}
	switch a := action.(type) {
	case retrier.Send:
		repeatable := n.config.Idempotent && !n.config.Keyed && !n.config.Solo
		n.attempts = append(n.attempts, notArrived)
		if a != (retrier.Send{Attempt: retrier.Attempt(len(n.attempts)), ExcludeUpTo: retrier.Attempt(len(n.attempts) - 1), Hedge: a.Hedge}) ||
			n.latest >= n.config.Deadline || int(a.Attempt) > min(max(n.config.MaxAttempts, 1), 8) || !repeatable && !proven {
			n.Fatalf("%#v sent at %d among %v", a, n.latest, n.attempts)
		}
	case retrier.Query:
		n.queries = append(n.queries, a.Attempt)
	case retrier.Wake:
		n.wakeAt = a.At
	case retrier.Finish:
		n.ended = true
		if a.Outcome == retrier.OutcomeNotRun && !proven || (a.Outcome == retrier.OutcomeComplete) != n.answers[a.Attempt] {
			n.Fatalf("%#v with attempts %v and answers %v", a, n.attempts, n.answers)
		}
	}
}

// move lets one attempt make progress or lose its connection.
func (n *simulation) move(number retrier.Attempt) {
	state, choice := &n.attempts[number-1], n.draw(6)
	switch {
	case choice == 0:
		n.events = append(n.events, retrier.Unknown{Attempt: number})
	case *state == notArrived && choice <= 2:
		*state = running
	case *state == notArrived && choice == 3:
		*state = notRun
		n.events = append(n.events, retrier.NoInstance{Attempt: number})
	case *state == notArrived:
		*state = notRun
		n.events = append(n.events, retrier.NotRun{Attempt: number, Reason: "overloaded"})
	case *state == running:
		*state = finished
		n.events = append(n.events, retrier.Answered{Attempt: number, Complete: choice > 1})
	}
}

// fence lets admission answer the oldest query, or loses it.
func (n *simulation) fence() {
	number, state := n.queries[0], notArrived
	n.queries = n.queries[1:]
	if actual := &n.attempts[number-1]; n.draw(4) > 0 {
		if *actual == notArrived {
			*actual = notRun
		}
		state = *actual
	}
	n.events = append(n.events, retrier.FenceResult{Attempt: number, State: state})
}

// deliver hands over any event on its way, and may repeat or lose it.
func (n *simulation) deliver() {
	i, outcome := n.draw(len(n.events)), n.draw(6)
	event := n.events[i]
	if outcome > 0 {
		n.events = append(n.events[:i], n.events[i+1:]...)
	}
	if outcome == 1 {
		return
	}
	if a, answer := event.(retrier.Answered); answer && a.Complete {
		n.answers[a.Attempt] = true
	}
	n.step(event)
}

func (n *simulation) run() {
	for range 1 + n.draw(60) {
		switch kind := n.draw(10); {
		case kind == 0:
			n.step(retrier.Timer{})
		case kind == 1:
			n.now += rapid.SampledFrom([]timer.Millis{1, 60, 250, 3000, -200}).Draw(n.T, "span")
		case kind == 2:
			n.now = max(n.now, n.wakeAt)
			n.step(retrier.Timer{})
		case kind <= 5 && len(n.attempts) > 0:
			n.move(retrier.Attempt(1 + n.draw(len(n.attempts))))
		case kind == 6 && len(n.queries) > 0:
			n.fence()
		case kind <= 8 && len(n.events) > 0:
			n.deliver()
		case n.draw(10) == 0:
			n.step(retrier.CallerGone{})
		default:
			n.step(retrier.Begin{})
		}
	}
	n.now = max(n.now, n.config.Deadline)
	n.step(retrier.Timer{})
	if !n.ended {
		n.Fatalf("no end at the deadline")
	}
	for _, event := range append(n.events, retrier.Begin{}, retrier.Timer{}, retrier.Answered{Attempt: 1, Complete: true}) {
		n.step(event)
	}
}

// Guards against a request that runs twice, a false "not run", a missing or
// second end, and attempts after the deadline, for lost, late, repeated and
// reordered events and time that jumps.
func TestRequests(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		// One in 100 requests meets some of the faults, so each check runs several.
		for range 10 {
			n := &simulation{T: t, answers: map[retrier.Attempt]bool{}}
			n.config = retrier.Config{
				Deadline:     2000,
				Idempotent:   n.draw(2) == 0,
				Keyed:        n.draw(4) == 0,
				Solo:         n.draw(4) == 0,
				MaxAttempts:  n.draw(10),
				StallTimeout: 30 * timer.Millis(n.draw(2)),
				HedgeDelay:   60 * timer.Millis(n.draw(2)),
			}
			n.request = retrier.New(n.config, retrier.Budgets{Retries: unlimitedBudget{}, Hedges: unlimitedBudget{}, Queries: unlimitedBudget{}})
			n.run()
		}
	})
}

// unlimitedBudget is a budget that never runs out.
type unlimitedBudget struct{}

func (unlimitedBudget) Take(timer.Millis) bool { return true }

// Guards against retries, hedges or queries beyond their budgets, whatever
// becomes of the attempts: in no window more than the burst, the percentage of
// requests and one a second, also when time jumps.
func TestRequestsStayWithinBudgets(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		percent, burst := rapid.IntRange(0, 100).Draw(t, "percent"), rapid.IntRange(1, 5).Draw(t, "burst")
		var budgets [3]*retrier.Budget
		var balances, lowest [3]float64 // Taken less the most that can have been earned.
		for i := range budgets {
			budgets[i] = retrier.NewBudget(retrier.BudgetConfig{Percent: percent, Burst: burst}, 0)
		}
		var now, latest timer.Millis
		for range rapid.IntRange(1, 100).Draw(t, "requests") {
			before := latest
			now += rapid.SampledFrom([]timer.Millis{0, 0, 0, 1, 400, 90000, -3000}).Draw(t, "span")
			latest = max(latest, now)
			for i, b := range budgets {
				b.RecordRequest(now)
				balances[i] -= float64(latest-before)/1000 + float64(percent)/100
				lowest[i] = min(lowest[i], balances[i])
			}
			request := retrier.New(retrier.Config{
				Deadline: now + 1000, Idempotent: rapid.Bool().Draw(t, "idempotent"), MaxAttempts: 8, StallTimeout: 1, HedgeDelay: 1,
			}, retrier.Budgets{Retries: budgets[0], Hedges: budgets[1], Queries: budgets[2]})
			event := retrier.Event(retrier.Begin{})
			for number := retrier.Attempt(1); number < 9; number++ {
				for _, action := range request.Step(now, event) {
					switch a := action.(type) {
					case retrier.Send:
						if a.Hedge {
							balances[1]++
						} else if a.Attempt > 1 {
							balances[0]++
						}
					case retrier.Query:
						balances[2]++
					}
				}
				event = rapid.SampledFrom([]retrier.Event{retrier.NotRun{Attempt: number}, retrier.Unknown{Attempt: number}, retrier.Timer{}}).Draw(t, "event")
				now++
			}
			for i, balance := range balances {
				// A request lasts 8 ms, which earn up to 0.008.
				if balance-lowest[i] > float64(burst)+0.01 || percent == 0 && balance > 0 {
					t.Fatalf("budget %d: %.2f more taken than earned, burst %d", i, balance-lowest[i], burst)
				}
			}
		}
	})
}
