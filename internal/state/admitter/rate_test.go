package admitter_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// newWithSlots returns an Admitter with a ready backend server.
func newWithSlots(now timer.Millis, slots int) *admitter.Admitter {
	a := admitter.New()
	a.Step(now, admitter.Limits{Version: 1, MaxInFlight: slots, MaxQueue: 100, ColdLimit: slots, RampCompletions: 1, MaxTimeout: timer.Minute}, nil)
	a.Step(now, admitter.DomainState{RampShare: 1}, nil)
	a.Step(now, admitter.Contact{SoleMember: true}, nil)
	a.Step(now, admitter.Announce{Incarnation: 1, Slots: identifier.Slots(slots), State: admitter.Ready}, nil)
	return a
}

func attemptID(n int) identifier.AttemptID {
	return identifier.AttemptID{Origin: 1, Sequence: uint64(n)}
}

// startedSequences returns the sequence numbers of the attempts that startedSequences.
func startedSequences(actions []admitter.Action) []int {
	var list []int
	for _, action := range actions {
		if s, ok := action.(admitter.Start); ok {
			list = append(list, int(s.Attempt.Sequence))
		}
	}
	return list
}

var _ = Describe("the queue of an admission", func() {
	It("guards against urgent attempts queued behind others, and against a changed order within one priority", func() {
		a := newWithSlots(0, 1)
		a.Step(0, admitter.Arrive{Attempt: attemptID(0), Remaining: 9000}, nil)
		for n, priority := range []int{2, 1, 0, 1} {
			a.Step(1, admitter.Arrive{Attempt: attemptID(n + 1), Remaining: 9000, Priority: priority}, nil)
		}
		var order []int
		for running := 0; len(order) < 4; running = order[len(order)-1] {
			order = append(order, startedSequences(a.Step(2, admitter.Complete{Attempt: attemptID(running)}, nil))...)
		}
		Expect(order).To(Equal([]int{3, 2, 4, 1}))
	})

	It("guards against an attempt that is queued for longer than its MaxWait", func() {
		a := newWithSlots(0, 1)
		a.Step(0, admitter.Arrive{Attempt: attemptID(0), Remaining: 9000}, nil)
		Expect(a.Step(0, admitter.Arrive{Attempt: attemptID(1), Remaining: 9000, MaxWait: 100}, nil)).To(BeEmpty())
		Expect(a.Step(99, admitter.Tick{}, nil)).To(BeEmpty())
		actions := a.Step(100, admitter.Tick{}, nil)
		Expect(actions).To(HaveLen(1))
		refused := actions[0].(admitter.Refuse)
		Expect(refused.Attempt).To(Equal(attemptID(1)))
		Expect(refused.Reason).NotTo(Equal(classifier.Deadline), "its deadline has not passed")
	})

	It("guards against exceeding the start rate when a daemon restarts within a second", func() {
		a := newWithSlots(0, 50)
		a.Step(0, admitter.StartRateLimit{PerSecond: 10, Exhausted: true}, nil)
		Expect(startedSequences(a.Step(1, admitter.Arrive{Attempt: attemptID(1), Remaining: 9000}, nil))).To(BeEmpty())
		Expect(startedSequences(a.Step(600, admitter.Tick{}, nil))).To(BeEmpty())
		Expect(startedSequences(a.Step(1002, admitter.Tick{}, nil))).To(Equal([]int{1}))
	})

	It("guards against a start rate that ignores the starts before it was set", func() {
		a := newWithSlots(0, 50)
		for n := range 8 {
			a.Step(0, admitter.Arrive{Attempt: attemptID(n), Remaining: 9000}, nil)
		}
		a.Step(500, admitter.StartRateLimit{PerSecond: 10}, nil)
		count := 0
		for n := range 8 {
			count += len(startedSequences(a.Step(500, admitter.Arrive{Attempt: attemptID(100 + n), Remaining: 9000}, nil)))
		}
		Expect(count).To(Equal(2))
	})
})

// Guards against more starts within any second than the rate limit of a cold
// backend server allows.
func TestStartRateLimit(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		rate := rapid.IntRange(1, 20).Draw(t, "rate")
		a := newWithSlots(0, 100)
		a.Step(0, admitter.StartRateLimit{PerSecond: rate}, nil)
		var starts []timer.Millis
		now := timer.Millis(0)
		for n := range 200 {
			now += timer.Millis(rapid.IntRange(0, 120).Draw(t, "gap"))
			var event admitter.Event = admitter.Tick{}
			if rapid.Bool().Draw(t, "arrives") {
				event = admitter.Arrive{Attempt: attemptID(n), Remaining: 5000}
			}
			for _, s := range startedSequences(a.Step(now, event, nil)) {
				starts = append(starts, now)
				a.Step(now, admitter.Complete{Attempt: attemptID(s)}, nil)
			}
		}
		for i := range starts {
			if i+rate < len(starts) && starts[i+rate]-starts[i] <= timer.Second {
				t.Fatalf("%d starts between %d and %d ms at %d a second", rate+1, starts[i], starts[i+rate], rate)
			}
		}
	})
}
