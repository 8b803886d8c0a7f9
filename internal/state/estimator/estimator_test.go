package estimator_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/state/estimator"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestEstimator(t *testing.T) { tester.RunSpecs(t, "estimator") }

// observeRuns observes simulated runs on a server whose runs take longer by a factor when
// more than four fifths of its slots are busy. Some of the runs make calls, which
// take longer when the fleet is busy.
func observeRuns(e *estimator.Estimator, slots int, factor float64, now *timer.Millis) {
	random := rand.New(rand.NewPCG(3, 3))
	for range 400 {
		*now += 10
		running := 1 + random.IntN(slots)
		took := 80 * (0.8 + 0.4*random.Float64())
		busy := float64(running) / float64(slots)
		if busy > 0.8 {
			took *= factor
		}
		if random.Float64() < 0.6 {
			took += 200 * busy
		}
		e.Observe(*now, estimator.Run{Route: "r", Running: running, Slots: slots, Duration: timer.Millis(took), SlowdownPercent: 100})
	}
}

var _ = Describe("an estimator", func() {
	knees := []struct {
		name        string
		slots       int
		factor      float64
		limit       int
		description string
	}{
		{"a knee at 6 slots", 6, 1.7, 4, "5 and 6 concurrent runs are slower"},
		{"a knee at 5 slots", 5, 1.7, 4, "5 concurrent runs are slower"},
		{"a knee at 13 slots", 13, 1.7, 10, "11 and more concurrent runs are slower"},
		{"no knee", 18, 1, 18, "slower calls do not count as a knee"},
		{"a slight knee", 6, 1.1, 6, "all slots still give the highest throughput"},
	}
	for _, c := range knees {
		It("guards against more concurrent runs than give the highest throughput, and against unused slots: "+c.name+", "+c.description, func() {
			e := estimator.New()
			now := timer.Millis(0)
			Expect(e.Limit(now, c.slots)).To(Equal(c.slots))
			observeRuns(e, c.slots, c.factor, &now)
			Expect(e.Limit(now, c.slots)).To(Equal(c.limit))
		})
	}

	It("guards against a limit that stays in force after its cause has ended", func() {
		e := estimator.New()
		now := timer.Millis(0)
		observeRuns(e, 6, 1.7, &now)
		Expect(e.Limit(now+timer.Minute, 6)).To(Equal(6))
		now += timer.Minute
		observeRuns(e, 6, 1, &now)
		Expect(e.Limit(now, 6)).To(Equal(6))
	})

	It("guards against an estimate from too few runs, or one that ignores the slowdown", func() {
		e := estimator.New()
		for range 7 {
			e.Observe(1, estimator.Run{Route: "r", Running: 1, Slots: 6, Duration: 100, SlowdownPercent: 100})
		}
		Expect(e.Expected("r", 100)).To(BeZero())
		for range 20 {
			e.Observe(1, estimator.Run{Route: "r", Running: 1, Slots: 6, Duration: 700, SlowdownPercent: 700})
		}
		Expect(e.Expected("r", 100)).To(BeNumerically("~", 100, 1))
		Expect(e.Expected("r", 300)).To(BeNumerically("~", 300, 1))
		Expect(e.Expected("other", 100)).To(BeZero())
	})
})
