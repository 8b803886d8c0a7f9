package identifier_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Guards against a restarted process whose incarnation is lower than that of its
// earlier run.
func TestNewIncarnationOrder(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		wall := timer.Millis(rapid.Int64Range(0, 1<<41).Draw(t, "wall"))
		earlier, later := identifier.NewIncarnation(wall), identifier.NewIncarnation(wall+1)
		if earlier >= later {
			t.Fatalf("%d at %d, %d a millisecond later", earlier, wall, later)
		}
	})
}

// Guards against daemons that share an incarnation, so that status updates and
// attempts of one are attributed to another: 20 starts of 300 daemons within 100 ms.
func TestNewIncarnationDistinct(t *testing.T) {
	collisions := 0
	for range 20 {
		seen := map[identifier.Incarnation]bool{}
		for i := range 300 {
			incarnation := identifier.NewIncarnation(timer.Millis(i % 100))
			if seen[incarnation] {
				collisions++
			}
			seen[incarnation] = true
		}
	}
	// One collision has a probability of 1 in 700 per run of this test, two have
	// one in a million.
	if collisions > 1 {
		t.Errorf("%d incarnations were shared by two daemons", collisions)
	}
}
