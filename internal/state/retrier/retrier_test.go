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

func actionList(actions ...retrier.Action) []retrier.Action { return actions }

var (
	notIdempotent = retrier.Config{Deadline: 2000, MaxAttempts: 3}
	hedged        = retrier.Config{Deadline: 2000, MaxAttempts: 3, Idempotent: true, HedgeDelay: 40}
	keyed         = retrier.Config{Deadline: 2000, MaxAttempts: 3, Idempotent: true, Keyed: true, HedgeDelay: 40}
	begin         = step{0, retrier.Begin{}, actionList(retrier.Send{Attempt: 1}, retrier.Wake{At: 250})}
	second        = retrier.Send{Attempt: 2, ExcludeUpTo: 1}
	stalled       = step{250, retrier.Timer{}, actionList(retrier.Query{Attempt: 1}, retrier.Wake{At: 500})}
	broken        = step{10, retrier.Unknown{Attempt: 1}, actionList(retrier.Query{Attempt: 1})}
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
	{"a complete answer that does not reach the caller", notIdempotent, []step{
		begin,
		{9, retrier.Answered{Attempt: 1, Complete: true}, actionList(retrier.Finish{Attempt: 1})},
		{10, retrier.NotRun{Attempt: 1}, nil},
	}},
	{"a connection without an answer that delays the retry beyond one stall timeout", notIdempotent, []step{
		begin, stalled,
		{251, retrier.FenceResult{Attempt: 1, State: retrier.FenceNotRun}, actionList(retrier.CancelAttempt{Attempt: 1}, second)},
	}},
	{"a long request that is given up or queried too often", notIdempotent, []step{
		begin, stalled,
		{251, retrier.FenceResult{Attempt: 1, State: retrier.FenceRunning}, nil},
		{500, retrier.Timer{}, actionList(retrier.Query{Attempt: 1}, retrier.Wake{At: 1000})},
		{1000, retrier.Timer{}, actionList(retrier.Query{Attempt: 1}, retrier.Wake{At: 2000})},
		{2000, retrier.Timer{}, actionList(retrier.CancelAttempt{Attempt: 1}, unknown("deadline"))},
	}},
	{"a caller that waits for the lost answer of a finished attempt", notIdempotent, []step{
		begin, stalled,
		{251, retrier.FenceResult{Attempt: 1, State: retrier.FenceFinished}, nil},
		{501, retrier.Timer{}, actionList(retrier.CancelAttempt{Attempt: 1}, unknown("no_answer"))},
	}},
	{"a second run after a broken connection", notIdempotent, []step{
		begin, broken,
		{11, retrier.FenceResult{Attempt: 1, State: retrier.FenceRunning}, actionList(unknown("no_answer"))},
	}},
	{"a caller that waits until the deadline for a daemon that has stopped", notIdempotent, []step{
		begin, broken,
		{260, retrier.Timer{}, actionList(retrier.Query{Attempt: 1}, retrier.Wake{At: 510})},
		{510, retrier.Timer{}, actionList(unknown("no_answer"))},
	}},
	{"an answer that omits the reason and the shortest retry time of the refusals", notIdempotent, []step{
		begin,
		{1, retrier.NotRun{Attempt: 1, Reason: "overloaded", RetryAfter: 30}, actionList(second)},
		{2, retrier.NoInstance{Attempt: 2}, actionList(refused("overloaded", 30))},
	}},
	{"retries of a request that every instance refuses", notIdempotent, []step{
		begin, {1, retrier.NotRun{Attempt: 1, Reason: "quarantined"}, actionList(refused("quarantined", 0))},
	}},
	{"a hedge that is sent late, or an attempt that is not cancelled after the answer", hedged, []step{
		{0, retrier.Begin{}, actionList(retrier.Send{Attempt: 1}, retrier.Wake{At: 40})},
		{40, retrier.Timer{}, actionList(retrier.Send{Attempt: 2, ExcludeUpTo: 1, Hedge: true}, retrier.Wake{At: 250})},
		{45, retrier.Answered{Attempt: 2, Complete: true}, actionList(retrier.CancelAttempt{Attempt: 1}, retrier.Finish{Attempt: 2})},
	}},
	{"an idempotent request that is retried only after a query", hedged, []step{
		{0, retrier.Begin{}, actionList(retrier.Send{Attempt: 1}, retrier.Wake{At: 40})},
		{10, retrier.Unknown{Attempt: 1}, actionList(second)},
	}},
	{"an attempt that continues after its caller has disconnected", notIdempotent, []step{
		begin, {9, retrier.CallerGone{}, actionList(retrier.CancelAttempt{Attempt: 1}, unknown("caller_gone"))},
	}},
	{"a claim whose answer is lost with its caller", keyed, []step{
		begin,
		{9, retrier.CallerGone{}, nil},
		{20, retrier.Answered{Attempt: 1, Complete: true}, actionList(retrier.Finish{Attempt: 1})},
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
	It("guards against a minimum refill that is added to the percentage, or is missing without requests", func() {
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

// Guards against a hedge delay or stall timeout that differs from the true
// quantile by more than a bucket, or that old latencies still affect.
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
			t.Fatalf("hedge delay %v ms for a 95th percentile of %v ms, stall timeout %v ms for a 99th percentile of %v ms", hedge, p95, stall, p99)
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

// Actual states of an attempt at admission. An attempt that has not arrived may
// still arrive and start; one that is not run never starts.
const (
	notArrived = retrier.FenceUnknown
	notRun     = retrier.FenceNotRun
	running    = retrier.FenceRunning
	finished   = retrier.FenceFinished
)

// simulation is a request with the actual states of its attempts and the events
// that are not delivered yet.
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
			n.Fatalf("action %#v after the request has ended", action)
		}
		n.handle(action)
	}
	if len(n.attempts) > 0 && !n.ended && (n.wakeAt <= 0 || n.wakeAt > n.config.Deadline) {
		n.Fatalf("no timer is set for the deadline or earlier after %#v", event)
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
			n.Fatalf("%#v must not be sent at %d ms with attempts %v", a, n.latest, n.attempts)
		}
	case retrier.Query:
		n.queries = append(n.queries, a.Attempt)
	case retrier.Wake:
		n.wakeAt = a.At
	case retrier.Finish:
		n.ended = true
		if a.Outcome == retrier.OutcomeNotRun && !proven || (a.Outcome == retrier.OutcomeComplete) != n.answers[a.Attempt] {
			n.Fatalf("%#v contradicts attempts %v and answers %v", a, n.attempts, n.answers)
		}
	}
}

// move advances one attempt or closes its connection.
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

// fence answers the oldest query as admission does, or drops it.
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

// deliver passes a random pending event to the request. It may also repeat or
// drop it.
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
		n.Fatalf("the request has not ended at the deadline")
	}
	for _, event := range append(n.events, retrier.Begin{}, retrier.Timer{}, retrier.Answered{Attempt: 1, Complete: true}) {
		n.step(event)
	}
}

// Guards against a request that runs twice, a false "not run", a missing or
// second Finish, and attempts after the deadline, with lost, late, repeated and
// reordered events and clock jumps.
func TestRequests(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		// Some faults show in one of 100 requests only, so each check runs several.
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

// unlimitedBudget is a budget that allows everything.
type unlimitedBudget struct{}

func (unlimitedBudget) Take(timer.Millis) bool { return true }

// Guards against retries, hedges or queries beyond their budgets for any results
// of the attempts: no window may have more than the burst, the percentage of
// requests and one a second together, also when the clock jumps.
func TestRequestsStayWithinBudgets(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		percent, burst := rapid.IntRange(0, 100).Draw(t, "percent"), rapid.IntRange(1, 5).Draw(t, "burst")
		var budgets [3]*retrier.Budget
		var balances, lowest [3]float64 // Tokens taken less the largest possible refill.
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
				// A request lasts 8 ms, which add up to 0.008 tokens.
				if balance-lowest[i] > float64(burst)+0.01 || percent == 0 && balance > 0 {
					t.Fatalf("budget %d: tokens taken exceed the refill by %.2f, burst %d", i, balance-lowest[i], burst)
				}
			}
		}
	})
}
