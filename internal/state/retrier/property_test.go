package retrier_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/retrier"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// progress is what truly became of an attempt.
type progress int

const (
	traveling progress = iota // May still arrive at admission and start.
	dead                      // Has not run and never will.
	running
	finished
)

// network is a request with the truth about its attempts and the events on
// their way to it.
type network struct {
	t        *rapid.T
	config   retrier.Config
	request  *retrier.Retrier
	now      timer.Millis
	latest   timer.Millis
	wakeAt   timer.Millis
	attempts []progress
	answers  map[retrier.Attempt]bool
	queries  []retrier.Attempt
	events   []retrier.Event
	begun    bool
	ended    bool
}

func (n *network) step(event retrier.Event) {
	n.latest = max(n.latest, n.now)
	switch event.(type) {
	case retrier.Timer:
		n.wakeAt = 0
	case retrier.Begin:
		n.begun = true
	}
	for _, action := range n.request.Step(n.now, event) {
		if n.ended {
			n.t.Fatalf("%#v after the end", action)
		}
		n.handle(action)
	}
	if n.begun && !n.ended && (n.wakeAt <= 0 || n.wakeAt > n.config.Deadline) {
		n.t.Fatalf("no timer by the deadline after %#v", event)
	}
}

func (n *network) handle(action retrier.Action) {
	switch a := action.(type) {
	case retrier.Send:
		if n.latest >= n.config.Deadline || int(a.Attempt) != len(n.attempts)+1 || a.Exclude != a.Attempt-1 ||
			int(a.Attempt) > min(max(n.config.MaxAttempts, 1), 8) {
			n.t.Fatalf("%#v at %d", a, n.latest)
		}
		repeatable := n.config.Idempotent && !n.config.Keyed && !n.config.Solo
		if !repeatable && !n.allDead() {
			n.t.Fatalf("sent again while an attempt may run: %v", n.attempts)
		}
		n.attempts = append(n.attempts, traveling)
	case retrier.Query:
		n.queries = append(n.queries, a.Attempt)
	case retrier.Wake:
		n.wakeAt = a.At
	case retrier.Finish:
		n.ended = true
		if a.Outcome == retrier.OutcomeNotRun && !n.allDead() {
			n.t.Fatalf("not run, but %v", n.attempts)
		}
		if (a.Outcome == retrier.OutcomeComplete) != n.answers[a.Attempt] {
			n.t.Fatalf("%#v with answers %v", a, n.answers)
		}
	}
}

func (n *network) allDead() bool {
	for _, p := range n.attempts {
		if p != dead {
			return false
		}
	}
	return true
}

// move lets one attempt make progress or lose its connection.
func (n *network) move() {
	if len(n.attempts) == 0 {
		return
	}
	number := retrier.Attempt(rapid.IntRange(1, len(n.attempts)).Draw(n.t, "attempt"))
	p := &n.attempts[number-1]
	choice := rapid.IntRange(0, 5).Draw(n.t, "move")
	switch {
	case choice == 0:
		n.events = append(n.events, retrier.Unknown{Attempt: number})
	case *p == traveling && choice <= 2:
		*p = running
	case *p == traveling && choice == 3:
		*p = dead
		n.events = append(n.events, retrier.NoInstance{Attempt: number})
	case *p == traveling:
		*p = dead
		n.events = append(n.events, retrier.NotRun{Attempt: number, Reason: "overloaded"})
	case *p == running:
		*p = finished
		n.events = append(n.events, retrier.Answered{Attempt: number, Complete: choice > 1})
	}
}

// fence lets admission answer a query.
func (n *network) fence() {
	if len(n.queries) == 0 {
		return
	}
	number := n.queries[0]
	n.queries = n.queries[1:]
	state := retrier.FenceUnknown
	if rapid.IntRange(0, 3).Draw(n.t, "reached") > 0 {
		p := &n.attempts[number-1]
		if *p == traveling {
			*p = dead
		}
		state = map[progress]retrier.FenceState{
			dead: retrier.FenceNotRun, running: retrier.FenceRunning, finished: retrier.FenceFinished,
		}[*p]
	}
	n.events = append(n.events, retrier.FenceResult{Attempt: number, State: state})
}

// deliver hands over any event on its way, and may repeat or lose it.
func (n *network) deliver() {
	if len(n.events) == 0 {
		return
	}
	i := rapid.IntRange(0, len(n.events)-1).Draw(n.t, "event")
	event, fate := n.events[i], rapid.IntRange(0, 5).Draw(n.t, "fate")
	if fate > 0 {
		n.events = append(n.events[:i], n.events[i+1:]...)
	}
	if fate == 1 {
		return
	}
	if a, answer := event.(retrier.Answered); answer && a.Complete && !n.ended {
		n.answers[a.Attempt] = true
	}
	n.step(event)
}

func (n *network) run() {
	for range rapid.IntRange(1, 60).Draw(n.t, "steps") {
		switch rapid.IntRange(0, 9).Draw(n.t, "kind") {
		case 0:
			n.step(retrier.Timer{})
		case 1:
			n.now += rapid.SampledFrom([]timer.Millis{1, 60, 250, 3000, -200}).Draw(n.t, "span")
		case 2:
			n.now = max(n.now, n.wakeAt)
			n.step(retrier.Timer{})
		case 3, 4, 5:
			n.move()
		case 6:
			n.fence()
		case 7, 8:
			n.deliver()
		case 9:
			if rapid.IntRange(0, 9).Draw(n.t, "gone") == 0 {
				n.step(retrier.CallerGone{})
			} else {
				n.step(retrier.Begin{})
			}
		}
	}
	n.now = max(n.now, n.config.Deadline)
	n.step(retrier.Timer{})
	if !n.ended {
		n.t.Fatalf("no end at the deadline")
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
			n := &network{t: t, answers: map[retrier.Attempt]bool{}}
			n.config = retrier.Config{
				Deadline:     2000,
				Idempotent:   rapid.Bool().Draw(t, "idempotent"),
				Keyed:        rapid.IntRange(0, 3).Draw(t, "keyed") == 0,
				Solo:         rapid.IntRange(0, 3).Draw(t, "solo") == 0,
				MaxAttempts:  rapid.IntRange(0, 9).Draw(t, "max attempts"),
				StallTimeout: rapid.SampledFrom([]timer.Millis{0, 30}).Draw(t, "stall"),
				HedgeDelay:   rapid.SampledFrom([]timer.Millis{0, 60}).Draw(t, "hedge"),
			}
			n.request = retrier.New(n.config, retrier.Budgets{Retries: plenty{}, Hedges: plenty{}, Queries: plenty{}})
			n.run()
		}
	})
}

// plenty is a budget that never runs out.
type plenty struct{}

func (plenty) Take(timer.Millis) bool { return true }

// account is a budget that may be taken from only as its rule allows.
type account struct {
	*retrier.Budget
	balance, lowest float64 // Taken less the most that can have been earned.
}

// Guards against retries, hedges or queries beyond their budgets, whatever
// becomes of the attempts: in no window more than the burst, the percentage of
// requests and one a second, also when time jumps.
func TestRequestsStayWithinBudgets(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		percent, burst := rapid.IntRange(0, 100).Draw(t, "percent"), rapid.IntRange(1, 5).Draw(t, "burst")
		var accounts [3]account
		for i := range accounts {
			accounts[i].Budget = retrier.NewBudget(retrier.BudgetConfig{Percent: percent, Burst: burst}, 0)
		}
		now, latest := timer.Millis(0), timer.Millis(0)
		for range rapid.IntRange(1, 100).Draw(t, "requests") {
			before := latest
			now += rapid.SampledFrom([]timer.Millis{0, 0, 0, 1, 400, 90000, -3000}).Draw(t, "span")
			latest = max(latest, now)
			for i := range accounts {
				a := &accounts[i]
				a.Earn(now)
				a.balance -= float64(latest-before)/1000 + float64(percent)/100
				a.lowest = min(a.lowest, a.balance)
			}
			request := retrier.New(retrier.Config{
				Deadline: now + 1000, Idempotent: rapid.Bool().Draw(t, "idempotent"), MaxAttempts: 8, StallTimeout: 1, HedgeDelay: 1,
			}, retrier.Budgets{Retries: accounts[0], Hedges: accounts[1], Queries: accounts[2]})
			actions := request.Step(now, retrier.Begin{})
			for last := retrier.Attempt(1); last < 9; last++ {
				for _, action := range actions {
					switch a := action.(type) {
					case retrier.Send:
						if a.Hedge {
							accounts[1].balance++
						} else if a.Attempt > 1 {
							accounts[0].balance++
						}
					case retrier.Query:
						accounts[2].balance++
					}
				}
				event := rapid.SampledFrom([]retrier.Event{retrier.NotRun{Attempt: last}, retrier.Unknown{Attempt: last}, retrier.Timer{}}).Draw(t, "event")
				now++
				actions = request.Step(now, event)
			}
			for i, a := range accounts {
				// A request lasts 8 ms, which earn up to 0.008.
				if a.balance-a.lowest > float64(burst)+0.01 || percent == 0 && a.balance > 0 {
					t.Fatalf("budget %d: %.2f more taken than earned, burst %d", i, a.balance-a.lowest, burst)
				}
			}
		}
	})
}
