package dispatcher

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against log lines as long as a caller chooses.
func TestShorten(t *testing.T) {
	for _, length := range []int{0, 1, maxLogged, maxLogged + 1, 16 << 10} {
		text := strings.Repeat("a", length)
		got := shorten([]byte(text))
		if length <= maxLogged && got != text {
			t.Errorf("%d bytes: %q", length, got)
		}
		if len(got) > maxLogged+len("...") {
			t.Errorf("%d bytes become %d", length, len(got))
		}
	}
}

// Guards against metrics that grow with the names that others choose.
func TestLabels(t *testing.T) {
	l := newLabels(3)
	seen := map[string]bool{}
	for n := range 100 {
		seen[l.label(fmt.Sprint("name-", n))] = true
	}
	if len(seen) != 4 || !seen[otherLabel] || l.label("name-1") != "name-1" {
		t.Errorf("labels %v", seen)
	}
}
