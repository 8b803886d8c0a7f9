package admitter_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Guards against more starts in any 4 s than one and a half times the named rate and 5,
// also across restarts of the daemon and limits that are named anew.
func TestRateLimit(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 60).Draw(t, "rate")
		limited := func(now timer.Millis) *admitter.Admitter {
			a := newWithSlots(now, 100)
			a.Step(now, admitter.RateLimit{Limited: true, Rate: admitter.Rate(rate)}, nil)
			return a
		}
		now := timer.Millis(0)
		a := limited(now)
		var starts []timer.Millis
		for n := range rapid.IntRange(1, 600).Draw(t, "events") {
			now += timer.Millis(rapid.IntRange(0, 120).Draw(t, "pause"))
			switch rapid.IntRange(0, 60).Draw(t, "event") {
			case 0:
				a = limited(now)
			case 1:
				a.Step(now, admitter.RateLimit{Limited: true, Rate: admitter.Rate(rate)}, nil)
			default:
				actions := a.Step(now, admitter.Arrive{Attempt: attemptID(n), Remaining: 9000, MaxWait: 300}, nil)
				for _, sequence := range startedSequences(actions) {
					starts = append(starts, now)
					a.Step(now, admitter.Complete{Attempt: attemptID(sequence)}, nil)
				}
			}
		}
		first := 0
		for last := range starts {
			for starts[last]-starts[first] > 4*timer.Second {
				first++
			}
			if got := last - first + 1; float64(got) > 1.5*4*rate+5 {
				t.Fatalf("%d starts in 4 s with a limit of %.2f a second", got, rate)
			}
		}
	})
}

// Guards against attempts that wait for a start which the limit allows only after their
// time, and against callers that are all told to return at the same moment.
func TestRateLimitRefusals(t *testing.T) {
	a := newWithSlots(0, 100)
	a.Step(0, admitter.RateLimit{Limited: true, Rate: 10}, nil)
	last := timer.Millis(0)
	for n := range 5 {
		actions := a.Step(0, admitter.Arrive{Attempt: attemptID(n), Remaining: 9000, MaxWait: 50}, nil)
		if len(actions) != 1 {
			t.Fatalf("attempt %d: actions %v", n, actions)
		}
		refusal, refused := actions[0].(admitter.Refuse)
		if !refused || refusal.Reason != classifier.RateLimited || refusal.RetryAfter < last+100 {
			t.Fatalf("attempt %d: %+v after a return in %d ms", n, actions[0], last)
		}
		last = refusal.RetryAfter
	}
}

// Guards against a limit that stays in force after it was lifted, and against one of zero
// that nothing can lift since nothing starts.
func TestRateLimitLifted(t *testing.T) {
	a := newWithSlots(0, 100)
	a.Step(0, admitter.RateLimit{Limited: true}, nil)
	if got := startedSequences(a.Step(900, admitter.Arrive{Attempt: attemptID(1), Remaining: 9000, MaxWait: 8000}, nil)); len(got) > 0 {
		t.Fatalf("started %v", got)
	}
	now := timer.Millis(900)
	for ; len(startedSequences(a.Step(now, admitter.Tick{}, nil))) == 0; now += 50 {
		if now > 5*timer.Second {
			t.Fatal("nothing started within 5 s")
		}
	}
	a.Step(now, admitter.RateLimit{}, nil)
	for n := range 50 {
		if got := startedSequences(a.Step(now, admitter.Arrive{Attempt: attemptID(n + 2), Remaining: 9000}, nil)); len(got) != 1 {
			t.Fatalf("attempt %d did not start after the limit was lifted", n)
		}
	}
}
