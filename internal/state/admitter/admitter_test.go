package admitter_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestAdmitter(t *testing.T) { tester.RunSpecs(t, "admitter") }

var defaultLimits = admitter.Limits{Version: 1, MaxInFlight: 8, MaxQueue: 40, ColdLimit: 2, RampCompletions: 5, MaxTimeout: 10_000}

// newReady returns an Admitter at time 1 whose backend server has announced itself.
func newReady(limits admitter.Limits, inFlight int) *admitter.Admitter {
	a := admitter.New()
	a.Step(1, limits, nil)
	a.Step(1, admitter.DomainState{RampShare: 1}, nil)
	a.Step(1, admitter.Contact{SoleMember: true}, nil)
	a.Step(1, admitter.Announce{Incarnation: 1, Slots: 10, State: admitter.Ready, InFlight: inFlight}, nil)
	return a
}

func id(sequence int) identifier.AttemptID {
	return identifier.AttemptID{Origin: 1, Sequence: uint64(sequence)}
}

func arrive(sequence int) admitter.Arrive {
	return admitter.Arrive{Attempt: id(sequence), Remaining: 5000}
}

// runAttempts runs attempts one after another, with a tick before each.
func runAttempts(a *admitter.Admitter, now timer.Millis, count int, gap, latency timer.Millis, result admitter.Result) timer.Millis {
	for range count {
		now += gap
		a.Step(now, admitter.Tick{}, nil)
		a.Step(now, arrive(int(now)), nil)
		a.Step(now, admitter.Complete{Attempt: id(int(now)), Result: result, Latency: latency}, nil)
	}
	return now
}

var _ = Describe("a cold backend server", func() {
	It("guards against a ramp that ends after a burst of short completions, or that counts shed attempts", func() {
		a := newReady(defaultLimits, 0)
		now := runAttempts(a, 1, 100, 1, 1, admitter.OK)
		now = runAttempts(a, now, 100, 50, 1, admitter.Shed)
		Expect(a.Load().Limit).To(Equal(2))
		runAttempts(a, now, 100, 50, 1, admitter.OK)
		Expect(a.Load()).To(Equal(admitter.Load{Limit: 8, MeanLatency: 1}))
	})
	cases := []struct {
		name    string
		count   int
		result  admitter.Result
		latency timer.Millis
		cold    bool
	}{
		{"consecutive failures", 5, admitter.Failed, 4, true},
		{"too few failures", 4, admitter.Failed, 4, false},
		{"consecutive long time-outs", 5, admitter.TimedOut, 900, true},
		{"short time-outs set by callers", 20, admitter.TimedOut, 4, false},
		{"consecutive slow answers", 5, admitter.OK, 25, true},
		{"too few slow answers", 4, admitter.OK, 25, false},
		{"slightly slower answers", 20, admitter.OK, 15, false},
		{"a refused connection", 1, admitter.ConnectionRefused, 0, true},
		{"a crash", 1, admitter.Crashed, 0, true},
		{"shed load", 20, admitter.Shed, 0, false},
	}
	for _, c := range cases {
		It("guards against a change to cold that is missed or has no cause: "+c.name, func() {
			a := newReady(defaultLimits, 0)
			now := runAttempts(a, 1, 120, 50, 4, admitter.OK)
			Expect(a.Load().Cold).To(BeFalse())
			runAttempts(a, now, c.count, 50, c.latency, c.result)
			Expect(a.Load().Cold).To(Equal(c.cold))
		})
	}
	It("guards against exceeding the limit while requests of a previous daemon run", func() {
		a := newReady(defaultLimits, 5)
		Expect(a.Step(2, arrive(1), nil)).To(BeEmpty())
		a.Step(3, admitter.Announce{Incarnation: 1, Slots: 10, State: admitter.Ready, InFlight: 1}, nil)
		Expect(a.Load().InFlight).To(Equal(2))
		b := newReady(defaultLimits, 5)
		for now := timer.Millis(50); now < 10_000; now += 50 {
			Expect(b.Step(now, admitter.Tick{}, nil)).To(BeEmpty())
		}
		Expect(b.Step(10_001, arrive(1), nil)).To(HaveExactElements(admitter.Start{Attempt: id(1), Remaining: 5000}))
	})
})

var _ = Describe("a crash", func() {
	It("guards against attributing a crash to requests that started after it, and against solo runs on a crashed server", func() {
		a := newReady(defaultLimits, 0)
		for n := range 3 {
			a.Step(1, arrive(n), nil)
		}
		crashed := func(n int) []admitter.Action {
			return a.Step(1, admitter.Complete{Attempt: id(n), Result: admitter.Crashed}, nil)
		}
		Expect(crashed(0)).To(HaveExactElements(admitter.BackendCrash{Running: []admitter.Running{{Attempt: id(0)}, {Attempt: id(1)}}}))
		Expect(a.Step(1, admitter.Restrict{}, nil)).To(BeEmpty())
		Expect(crashed(1)).To(HaveExactElements(HaveField("Attempt", id(2))))
		Expect(crashed(2)).To(HaveExactElements(admitter.BackendCrash{Running: []admitter.Running{{Attempt: id(2)}}, Uncertain: true}))
		Expect(a.Step(1, admitter.Arrive{Attempt: id(4), Remaining: 100, Solo: true}, nil)).To(BeEmpty())
		Expect(a.Step(1, admitter.Announce{Incarnation: 2, Slots: 10, State: admitter.Ready}, nil)).To(HaveExactElements(HaveField("Attempt", id(4))))
	})
})

var _ = Describe("the queue", func() {
	It("guards against queueing attempts whose remaining time is shorter than the wait", func() {
		a := newReady(defaultLimits, 0)
		now := runAttempts(a, 1, 20, 1, 400, admitter.OK)
		a.Step(now, arrive(1), nil)
		a.Step(now, arrive(2), nil)
		short := a.Step(now, admitter.Arrive{Attempt: id(3), Remaining: 150}, nil)
		Expect(short).To(HaveExactElements(admitter.Refuse{Attempt: id(3), Reason: classifier.Cold, RetryAfter: 200}))
		Expect(a.Step(now, arrive(4), nil)).To(BeEmpty())
	})
	It("guards against starvation of attempts that must run alone, and of the others by them", func() {
		a := newReady(defaultLimits, 0)
		ends, last := map[identifier.AttemptID]timer.Millis{}, map[bool]timer.Millis{}
		for now := timer.Millis(10); now < 30_000; now += 10 {
			actions := a.Step(now, arrive(int(now)), nil) // more of each kind arrive than can run
			actions = a.Step(now, admitter.Arrive{Attempt: id(int(now) + 1), Remaining: 5000, Solo: true}, actions)
			for attempt, end := range ends {
				if end == now {
					actions = a.Step(now, admitter.Complete{Attempt: attempt, Latency: 200}, actions)
				}
			}
			for _, action := range a.Step(now, admitter.Tick{}, actions) {
				if start, ok := action.(admitter.Start); ok {
					ends[start.Attempt] = now + 200
					last[start.Solo] = now
				}
			}
			Expect(now - min(last[true], last[false])).To(BeNumerically("<", 2000))
		}
	})
})

// BenchmarkArriveComplete completes attempts in order, with some others waiting.
func BenchmarkArriveComplete(b *testing.B) {
	for _, waiting := range []int{0, 39} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			a := newReady(defaultLimits, 0)
			actions := make([]admitter.Action, 0, 8)
			for n := 0; b.Loop(); n++ {
				actions = a.Step(1, arrive(n), actions[:0])
				actions = a.Step(1, admitter.Complete{Attempt: id(n - waiting), Result: admitter.Shed}, actions[:0])
			}
		})
	}
}
