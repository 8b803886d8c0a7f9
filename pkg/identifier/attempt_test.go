package identifier_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

func TestIdentifier(t *testing.T) {
	tester.RunSpecs(t, "identifier")
}

var _ = Describe("attempt ids on the wire", func() {
	cases := []struct {
		text  string
		valid bool
	}{
		{"1f-2", true},
		{"0-0", true},
		{"12", false},
		{"x-2", false},
		{"1-", false},
		{"1-2-3", false},
	}
	for _, c := range cases {
		It("guards against a malformed id that parses as another attempt: "+c.text, func() {
			_, err := identifier.ParseAttemptID(c.text)
			Expect(err == nil).To(Equal(c.valid))
		})
	}
})

// Guards against two attempts that have the same text form.
func TestAttemptIDRoundTrip(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		id := identifier.AttemptID{
			Origin:   identifier.Incarnation(rapid.Uint64().Draw(t, "origin")),
			Sequence: rapid.Uint64().Draw(t, "sequence"),
		}
		parsed, err := identifier.ParseAttemptID(id.String())
		if err != nil || parsed != id {
			t.Fatalf("%v parsed as %v, %v", id, parsed, err)
		}
	})
}
