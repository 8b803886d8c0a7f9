package identifier_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Guards against a restarted process that counts as older than its earlier run.
func TestNewIncarnationOrder(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		wall := timer.Millis(rapid.Int64Range(0, 1<<41).Draw(t, "wall"))
		earlier, later := identifier.NewIncarnation(wall), identifier.NewIncarnation(wall+1)
		if earlier >= later {
			t.Fatalf("%d at %d, %d a millisecond later", earlier, wall, later)
		}
	})
}

// Guards against daemons of one fleet that share an incarnation, so that pulses and
// attempts of one count for another's: of 300 in 100 ms, none in 20 starts.
func TestNewIncarnationDistinct(t *testing.T) {
	shared := 0
	for range 20 {
		seen := map[identifier.Incarnation]bool{}
		for i := range 300 {
			incarnation := identifier.NewIncarnation(timer.Millis(i % 100))
			if seen[incarnation] {
				shared++
			}
			seen[incarnation] = true
		}
	}
	// One is shared once in 700 runs of this test, two once in a million.
	if shared > 1 {
		t.Errorf("%d incarnations were shared", shared)
	}
}
