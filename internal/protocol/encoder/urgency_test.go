package encoder_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Guards against an urgency that another daemon decodes differently.
func TestUrgencyRoundTrip(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		u := encoder.Urgency{
			Priority:        rapid.IntRange(0, 1<<20).Draw(t, "priority"),
			MaxWait:         timer.Millis(rapid.Int64Range(0, int64(timer.Day)).Draw(t, "wait")),
			Idempotent:      rapid.Bool().Draw(t, "idempotent"),
			TargetRemaining: timer.Millis(rapid.Int64Range(0, int64(timer.Day)).Draw(t, "target")),
			Slowdown:        rapid.Int32Range(0, 1<<30).Draw(t, "slowdown"),
		}
		parsed, err := encoder.ParseUrgency(u.String())
		if err != nil || parsed != u {
			t.Fatalf("%v parsed as %v, %v", u, parsed, err)
		}
	})
}

// Guards against a malformed urgency that makes an attempt idempotent.
func FuzzParseUrgency(f *testing.F) {
	for _, text := range []string{"0 0 0 0", "1 200 100 300 i", "-1 2 3 4", "1", "1 2 3 4 x", "1 2 -3 4", "1 2 3 -4", "1 2 3 4 i i"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		u, err := encoder.ParseUrgency(text)
		if err != nil && u != (encoder.Urgency{}) {
			t.Fatalf("%q parsed as %v together with an error", text, u)
		}
		if err == nil && (u.Priority < 0 || u.MaxWait < 0) {
			t.Fatalf("%q parsed as %v, want an error", text, u)
		}
	})
}
