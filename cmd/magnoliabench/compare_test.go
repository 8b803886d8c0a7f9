package main

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/generator"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
)

func TestCompare(t *testing.T) { tester.RunSpecs(t, "compare") }

var _ = Describe("compare", func() {
	report := func(p99 int64, timely int) generator.Report {
		return generator.Report{
			Groups: []generator.Group{
				{Via: generator.Proxied, Kind: "k", Sent: 10, CompleteTimely: timely, Latency: generator.Percentiles{P99: p99}},
				{Via: generator.Direct, Kind: "k", Sent: 10, CompleteTimely: 10, Latency: generator.Percentiles{P99: 1000}},
			},
			Windows: []generator.Window{
				{Via: generator.Proxied, StartMs: 0, Sent: 5, CompleteTimely: 5, TimelyShare: 1, P99: p99},
				{Via: generator.Proxied, StartMs: 100, Sent: 5, CompleteTimely: timely - 5, TimelyShare: float64(timely-5) / 5, P99: p99},
			},
		}
	}
	s := series{name: "run", reports: []generator.Report{report(3000, 10), report(2000, 9)}}

	It("guards against a table that shows only the best round", func() {
		var out strings.Builder
		writeGroups(&out, s, false)
		Expect(out.String()).To(ContainSubstring("| run | proxied, k | 20 | 1 | 0 | 0 | 0.00 | 0.00 | 2.00 to 3.00 |"))
		Expect(out.String()).To(ContainSubstring("| run | added, k | 0 | 0 | 0 | 0 | 0.00 | 0.00 | 1.00 to 2.00 |"))
	})

	It("guards against a span that does not show its worst window", func() {
		var out strings.Builder
		writeSpans(&out, s, 1000, false)
		Expect(out.String()).To(Equal(
			"| run | 0.0 s | 10 | 9 to 10 | 0.9000 to 1.0000 | 0 | 0 | 0 to 1 | 0.800 to 1.000 | 2.0 to 3.0 |\n"))
	})
})
