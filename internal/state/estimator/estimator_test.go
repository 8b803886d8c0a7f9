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

// load plays runs on a server with a number of slots whose runs take longer by a
// factor above four fifths of them. A share of the runs makes calls, which take
// longer when the fleet is busy.
func load(e *estimator.Estimator, slots int, factor float64, now *timer.Millis) {
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
		{"a knee at 6 slots", 6, 1.7, 4, "5 and 6 runs at a time are slower"},
		{"a knee at 5 slots", 5, 1.7, 4, "5 runs at a time are slower"},
		{"a knee at 13 slots", 13, 1.7, 10, "11 and more are slower"},
		{"no knee", 18, 1, 18, "calls that take longer are no knee"},
		{"a slight one", 6, 1.1, 6, "all slots still do more work"},
	}
	for _, c := range knees {
		It("guards against more runs at a time than are fastest, and against idle slots: "+c.name+", "+c.description, func() {
			e := estimator.New()
			now := timer.Millis(0)
			Expect(e.Limit(now, c.slots)).To(Equal(c.slots))
			load(e, c.slots, c.factor, &now)
			Expect(e.Limit(now, c.slots)).To(Equal(c.limit))
		})
	}

	It("guards against a limit that outlives its cause", func() {
		e := estimator.New()
		now := timer.Millis(0)
		load(e, 6, 1.7, &now)
		Expect(e.Limit(now+timer.Minute, 6)).To(Equal(6))
		now += timer.Minute
		load(e, 6, 1, &now)
		Expect(e.Limit(now, 6)).To(Equal(6))
	})

	It("guards against an expectation from a few runs, or without the slowdown", func() {
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
