package estimator_test

import (
	"testing"

	"github.com/magnoliaknot/magnoliaknot/internal/state/estimator"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Guards against waits that end after the target or the deadline, and against a wait
// of zero, which the admitter treats as no bound.
func TestWaits(t *testing.T) {
	cases := []struct {
		name                                    string
		target, remaining, targetLeft, expected timer.Millis
		want                                    timer.Millis
	}{
		{"half of the time left without a target", 0, 1000, 0, 0, 500},
		{"until the target", 300, 1000, 300, 0, 300},
		{"the run may still end before the target", 300, 1000, 280, 100, 180},
		{"the run cannot end before the target", 300, 1000, 80, 100, 1},
		{"the target has passed", 300, 1000, 0, 100, 300},
		{"1 ms is left", 300, 1, 300, 0, 1},
	}
	for _, c := range cases {
		if got := estimator.MaxWaitForTarget(estimator.MaxWait(c.target, c.remaining), c.targetLeft, c.expected); got != c.want {
			t.Errorf("%s: %d ms, want %d", c.name, got, c.want)
		}
	}
}

// Guards against starting runs that cannot end in time or whose VM has become slow,
// and against refusing runs that probably end in time.
func TestStarts(t *testing.T) {
	cases := []struct {
		name           string
		expected, left timer.Millis
		assumed, known int32
		misses         bool
		slowed         bool
	}{
		{"nothing is known", 0, 500, 0, 700, false, false},
		{"enough time", 100, 500, 100, 100, false, false},
		{"about the time left", 110, 100, 100, 150, false, false},
		{"much longer than the time left", 700, 500, 100, 700, true, true},
		{"as slow as assumed", 700, 800, 700, 700, false, false},
	}
	for _, c := range cases {
		if got := estimator.MissesDeadline(c.expected, c.left); got != c.misses {
			t.Errorf("%s: misses deadline %v", c.name, got)
		}
		if got := estimator.Slowed(c.assumed, c.known); got != c.slowed {
			t.Errorf("%s: slowed %v", c.name, got)
		}
	}
}
