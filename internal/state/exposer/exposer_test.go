package exposer_test

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/exposer"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
)

// Guards against more requests to a new version than its share, over any number of daemons
// that learn of the shares late, in another order, repeatedly or never, and against a share
// that is not used.
func TestShare(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		shares := rapid.SliceOfN(rapid.Float64Range(0, 50), 1, 5).Draw(t, "shares")
		highest, total, taken := 0.0, 0, 0
		for _, share := range shares {
			highest = max(highest, share)
		}
		for range rapid.IntRange(1, 40).Draw(t, "daemons") {
			e := exposer.New()
			for range rapid.IntRange(1, 6).Draw(t, "messages") {
				share := rapid.SampledFrom(shares).Draw(t, "share")
				count, own := rapid.IntRange(0, 300).Draw(t, "requests"), 0
				for range count {
					if e.Take(share) {
						own++
					}
				}
				if expected := share / 100 * float64(count); float64(own) < math.Floor(expected-1) {
					t.Fatalf("%d of %d requests at %v %%", own, count, share)
				}
				total, taken = total+count, taken+own
			}
		}
		if float64(taken) > highest/100*float64(total) {
			t.Fatalf("%d of %d requests at no more than %v %%", taken, total, highest)
		}
	})
}

// Guards against a daemon that goes on sending to a version whose answers fail, against one
// that stops after few failures among many, and against a halt that outlasts its order.
func TestHalt(t *testing.T) {
	cases := []struct {
		name    string
		results string // f is a failure.
		want    bool
	}{
		{"four failures at once", "ffff", true},
		{"four of eight", "f.f.f..f", true},
		{"four of nine", "f.f..f..f", false},
		{"three of eight, many times", "fff.....fff.....fff.....", false},
		{"good answers after the halt", "ffff............", true},
	}
	for _, c := range cases {
		e := exposer.New()
		for _, result := range c.results {
			e.Observe(result == 'f')
		}
		if e.Halted() != c.want || e.Take(100) == c.want {
			t.Errorf("%s: halted %v", c.name, e.Halted())
		}
		if e.Reset(); e.Halted() || !e.Take(100) {
			t.Errorf("%s: halted for the next order", c.name)
		}
	}
}

// Guards against a share that is not a number or outside its range.
func TestInvalidShare(t *testing.T) {
	for share, want := range map[float64]bool{-5: false, 0: false, 1e300: true} {
		if exposer.New().Take(share) != want {
			t.Errorf("share %v: %v", share, !want)
		}
	}
	if exposer.New().Take(math.NaN()) {
		t.Error("a share that is not a number was used")
	}
}
