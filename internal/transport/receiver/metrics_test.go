package receiver_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/state/limiter"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/receiver"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

var _ = Describe("metrics of the load-measuring budget", func() {
	It("guards against a budget whose use or refusals operators cannot see", func() {
		clock := timer.NewManual(0, 0)
		measuring := receiver.NewMeasuringBudget(clock)
		measuring.SetBudget(limiter.Budget{MessagesPerSecond: 10, BytesPerSecond: 1000})
		clock.Advance(timer.Second)
		Expect(measuring.TakeProbe(64)).To(BeTrue())
		Expect(measuring.TakeProbe(64)).To(BeFalse())
		var out strings.Builder
		measuring.WriteMetrics(&out)
		for _, line := range []string{
			`magnoliaknot_measuring_messages_total{kind="probe_sent",result="taken"} 2`,
			`magnoliaknot_measuring_messages_total{kind="probe_sent",result="refused"} 2`,
			`magnoliaknot_measuring_bytes_total{kind="probe_sent",result="taken"} 64`,
			`magnoliaknot_measuring_bytes_total{kind="probe_sent",result="refused"} 64`,
		} {
			Expect(out.String()).To(ContainSubstring(line + "\n"))
		}
	})
})
