package decoder_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/decoder"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

func TestDecoder(t *testing.T) { tester.RunSpecs(t, "decoder") }

var _ = Describe("a floating-point field", func() {
	cases := []struct {
		text  string
		value float64
		valid bool
	}{
		{`{"ratio": 0.25}`, 0.25, true},
		{`{"ratio": 6}`, 6, true},
		{`{"ratio": -1.5e2}`, -150, true},
		{`{"ratio": "1"}`, 0, false},
		{`{"ratio": null}`, 0, false},
		{`{"ratio": 1e999}`, 0, false},
	}
	for _, c := range cases {
		It("guards against a wrong or wrongly accepted value: "+c.text, func() {
			var target struct {
				Ratio float64 `json:"ratio"`
			}
			var findings reporter.Findings
			decoder.Decode([]byte(c.text), &target, &findings, decoder.Options{Root: "settings"}, func(*reporter.Findings) {})
			Expect(findings.Empty()).To(Equal(c.valid))
			if c.valid {
				Expect(target.Ratio).To(Equal(c.value))
			}
		})
	}
})
