package explainer_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/explainer"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
)

func TestExplainer(t *testing.T) { tester.RunSpecs(t, "explainer") }

const (
	ended   = `{"time":"2026-05-11T12:00:01.300Z","level":"INFO","msg":"request ended","node":"a","request":"r1","outcome":"not_run","reason":"overloaded","status":503,"attempts":2}`
	attempt = `  0.100 a {"time":"2026-05-11T12:00:01.100Z","level":"INFO","msg":"attempt ended","node":"a","request":"r1","instance":"b","result":"not_run","reason":"overloaded"}`
	refused = `{"time":"2026-05-11T12:00:01.050Z","level":"INFO","msg":"admission ended","node":"b","request":"r1","result":"refused","reason":"overloaded","running":6,"limit":6}`
	other   = `{"time":"2026-05-11T12:00:01.000Z","level":"INFO","msg":"request ended","node":"a","request":"r11","outcome":"complete","status":200}`
)

var _ = Describe("an explanation", func() {
	It("guards against lines of other requests, lines out of order and a missing cause", func() {
		explanation, err := explainer.Explain("r1", strings.NewReader(ended+"\n"+other+"\n"+attempt), strings.NewReader(refused+"\nno JSON {\n"))
		Expect(err).NotTo(HaveOccurred())
		lines := strings.Split(strings.TrimSpace(explanation), "\n")
		Expect(lines).To(HaveLen(5))
		Expect(lines[0]).To(HavePrefix("12:00:01.050  b  admission ended: limit=6"))
		Expect(lines[1]).To(ContainSubstring("instance=b"))
		Expect(lines[4]).To(Equal("ended with status 503: refused; it has not run and never will; the wait for a slot would have been too long"))
	})

	It("guards against an outcome that the logs do not show", func() {
		explanation, err := explainer.Explain("r1", strings.NewReader(refused))
		Expect(err).NotTo(HaveOccurred())
		Expect(explanation).To(ContainSubstring("no log line shows how it ended"))
		_, err = explainer.Explain("r2", strings.NewReader(refused))
		Expect(err).To(HaveOccurred())
	})
})
