package retrier_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/retrier"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

var _ = Describe("a window budget", func() {
	config := retrier.WindowBudgetConfig{Span: 10 * timer.Second, Ratio: 0.1, Extra: 5}

	It("guards against a restarted daemon that spends the extra repeats again within a window", func() {
		w := retrier.NewWindowBudget(config, timer.Minute)
		Expect(w.Take(timer.Minute)).To(BeFalse())
		Expect(w.Take(timer.Minute + 2*timer.Second)).To(BeTrue())
		Expect(w.Take(timer.Minute + 2*timer.Second)).To(BeFalse())
	})

	It("guards against repeats allowed for requests that have left the window", func() {
		w := retrier.NewWindowBudget(config, 0)
		for range 100 {
			w.RecordRequest(timer.Minute)
		}
		taken := 0
		for w.Take(timer.Minute) {
			taken++
		}
		Expect(taken).To(Equal(15))
		Expect(w.Take(timer.Minute + 9*timer.Second)).To(BeFalse())
		for range 5 {
			Expect(w.Take(timer.Minute + 11*timer.Second)).To(BeTrue())
		}
		Expect(w.Take(timer.Minute + 11*timer.Second)).To(BeFalse())
	})
})

// Guards against more repeats in any window than Ratio and Extra allow.
func TestWindowBound(t *testing.T) {
	config := retrier.WindowBudgetConfig{Span: 1000, Ratio: 0.25, Extra: 3}
	tester.Check(t, func(t *rapid.T) {
		w := retrier.NewWindowBudget(config, 0)
		type event struct {
			at     timer.Millis
			repeat bool
		}
		var events []event
		now := timer.Millis(0)
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now += timer.Millis(rapid.IntRange(0, 40).Draw(t, "gap"))
			if rapid.Bool().Draw(t, "repeat") {
				if w.Take(now) {
					events = append(events, event{now, true})
				}
				continue
			}
			w.RecordRequest(now)
			events = append(events, event{now, false})
		}
		for _, first := range events {
			requests, repeats := 0.0, 0.0
			for _, e := range events {
				switch {
				case e.at < first.at-config.Span/10 || e.at >= first.at+config.Span*9/10:
				case e.repeat && e.at >= first.at:
					repeats++
				case !e.repeat:
					requests++
				}
			}
			if repeats > config.Ratio*requests+2*config.Extra {
				t.Fatalf("%v repeats in the window from %d ms for %v requests", repeats, first.at, requests)
			}
		}
	})
}
