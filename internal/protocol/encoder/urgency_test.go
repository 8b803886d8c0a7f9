package encoder_test

import (
	"strings"
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
			Nested:          rapid.Bool().Draw(t, "nested"),
			Account:         rapid.Uint32().Draw(t, "account"),
		}
		parsed, err := encoder.ParseUrgency(u.String())
		if err != nil || parsed != u {
			t.Fatalf("%v parsed as %v, %v", u, parsed, err)
		}
	})
}

// Guards against a new part in the urgency of a deployment without accounts, which
// earlier daemons refuse, and against a malformed account that is taken for another one.
func TestUrgencyForms(t *testing.T) {
	cases := []struct {
		text  string
		want  encoder.Urgency
		valid bool
	}{
		{"1 200 100 300", encoder.Urgency{Priority: 1, MaxWait: 200, Slowdown: 100, TargetRemaining: 300}, true},
		{"0 0 0 0 i", encoder.Urgency{Idempotent: true}, true},
		{"0 0 0 0 n", encoder.Urgency{Nested: true}, true},
		{"0 0 0 0 i n a4294967295", encoder.Urgency{Idempotent: true, Nested: true, Account: 1<<32 - 1}, true},
		{"0 0 0 0 a7", encoder.Urgency{Account: 7}, true},
		{"0 0 0 0 a0", encoder.Urgency{}, false},
		{"0 0 0 0 a", encoder.Urgency{}, false},
		{"0 0 0 0 a-1", encoder.Urgency{}, false},
		{"0 0 0 0 a4294967296", encoder.Urgency{}, false},
		{"0 0 0 0 7", encoder.Urgency{}, false},
		{"0 0 0 0 n i", encoder.Urgency{}, false},
		{"0 0 0 0 n n", encoder.Urgency{}, false},
		{"0 0 0 0 a7 a8", encoder.Urgency{}, false},
		{"0 0 0 0 a7 i", encoder.Urgency{}, false},
	}
	for _, c := range cases {
		u, err := encoder.ParseUrgency(c.text)
		if (err == nil) != c.valid || u != c.want {
			t.Errorf("%q parsed as %+v, %v; want %+v, valid %v", c.text, u, err, c.want, c.valid)
		}
		if c.valid && u.String() != c.text {
			t.Errorf("%+v encoded as %q, want %q", u, u.String(), c.text)
		}
	}
}

// Guards against a malformed urgency that makes an attempt idempotent.
func FuzzParseUrgency(f *testing.F) {
	for _, text := range []string{"0 0 0 0", "1 200 100 300 i", "-1 2 3 4", "1", "1 2 3 4 x", "1 2 -3 4", "1 2 3 -4", "1 2 3 4 i i", "1 2 3 4 i n a5", "1 2 3 4 a0"} {
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

// Guards against a header of another daemon whose parts take many times its bytes.
func TestLongUrgency(t *testing.T) {
	for _, text := range []string{strings.Repeat("1 ", 8000), strings.Repeat(" ", 16000) + "1 1 1 1"} {
		if allocations := testing.AllocsPerRun(10, func() { _, _ = encoder.ParseUrgency(text) }); allocations > 10 {
			t.Errorf("%v allocations for %d bytes", allocations, len(text))
		}
		if _, err := encoder.ParseUrgency(text); err == nil {
			t.Errorf("%.20q with %d bytes was accepted", text, len(text))
		}
	}
}
