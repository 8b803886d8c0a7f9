package loader_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/loader"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
)

func TestLoader(t *testing.T) { tester.RunSpecs(t, "loader") }

const valid = `{
  "node": "materials-1", "failure_domain": "aarhus", "region": "jutland",
  "addresses": {"ingress": "127.0.0.1:1", "peer": "127.0.0.1:2", "probe": "127.0.0.1:2",
    "local": "127.0.0.1:3", "administration": "127.0.0.1:4"},
  "log": {"url": "http://127.0.0.1:7000"}
}`

var _ = Describe("settings", func() {
	It("guards against an omitted optional setting that is refused or gets no default", func() {
		settings, err := loader.Decode([]byte(valid))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Limits.CallDepth).To(Equal(int64(8)))
	})

	cases := []struct {
		name     string
		settings string
		findings []string
	}{
		{"several problems", `{"node": "", "colour": 1, "log": {"url": "ftp://x", "retention_ms": "long"}, "seeds": ["x"]}`, []string{
			"node: is empty", "colour: is an unknown field", "log.url: is not an http", "log.retention_ms: is not a whole number",
			"seeds[0]: is not an IP address", "addresses.peer: is not an IP address",
		}},
		{"no JSON", `{"node":`, []string{"line 1, column 9"}},
		{"token in place of its hash", `{"operators": [{"name": "a", "token_sha256": "secret", "role": "king"}]}`, []string{
			`operators[0].token_sha256: is not 64 hexadecimal digits (found "(hidden)")`, "operators[0].role: is not one of",
		}},
	}
	for _, c := range cases {
		It("guards against findings reported one at a time: "+c.name, func() {
			_, err := loader.Decode([]byte(c.settings))
			for _, finding := range c.findings {
				Expect(err).To(MatchError(ContainSubstring(finding)))
			}
		})
	}
})
