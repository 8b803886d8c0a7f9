package receiver

import (
	"testing"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/tester"
)

// Guards against requests that are routed by another path than fasthttp's, by which they
// were routed before.
func TestPathOf(t *testing.T) {
	parts := []string{"/", "a", "bc", ".", "..", "/..", "/./", "//", "%2e", "%2F", "%41", "%zz", " ", "?", "#", "x=1"}
	tester.Check(t, func(t *rapid.T) {
		target := "/"
		for _, part := range rapid.SliceOfN(rapid.SampledFrom(parts), 0, 8).Draw(t, "parts") {
			target += part
		}
		var uri fasthttp.URI
		if err := uri.Parse([]byte("h"), []byte(target)); err != nil {
			return
		}
		if got, want := pathOf([]byte(target)), string(uri.Path()); got != want {
			t.Fatalf("%q: path %q, want %q", target, got, want)
		}
	})
}
