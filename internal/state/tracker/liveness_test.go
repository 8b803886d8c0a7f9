package tracker_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// domainTracker returns a tracker of "i-0" with count members, all in its domain.
func domainTracker(count int) *tracker.Tracker {
	tr := newTracker("i-0")
	records := make([]tracker.Record, 0, count)
	for n := range count {
		records = append(records, tracker.Join{Member: member(2*n, 1, 0)})
	}
	payload, err := tracker.EncodeBatch(records)
	Expect(err).NotTo(HaveOccurred())
	Expect(tr.Apply(0, payload)).To(Succeed())
	return tr
}

func fold(tr *tracker.Tracker, record tracker.Record) {
	payload, err := tracker.EncodeBatch([]tracker.Record{record})
	Expect(err).NotTo(HaveOccurred())
	folded, _ := tr.Folded()
	Expect(tr.Apply(folded+1, payload)).To(Succeed())
}

func suspected(instance, watcher identifier.InstanceID, incarnation identifier.Incarnation) tracker.Suspected {
	return tracker.Suspected{Suspect: tracker.Suspect{Instance: instance, Incarnation: incarnation, Watcher: watcher}}
}

var _ = Describe("local liveness", func() {
	It("guards against a removal on the suspicion of only one watcher", func() {
		tr := domainTracker(6)
		Expect(tr.Step(1000, suspected("i-2", "i-4", 1))).To(BeEmpty())
		Expect(tr.Step(3000, suspected("i-2", "i-4", 1))).To(BeEmpty())
		Expect(tr.Step(3000, suspected("i-2", "i-2", 1))).To(BeEmpty())
		Expect(tr.Step(3000, suspected("i-2", "i-1", 1))).To(BeEmpty(), "watcher that is not a member")
		Expect(tr.Step(3000, suspected("i-2", "i-6", 2))).To(BeEmpty(), "another incarnation")
		Expect(tr.Step(20_000, suspected("i-2", "i-6", 1))).To(BeEmpty(), "long after the first")
		Expect(tr.Step(21_000, suspected("i-2", "i-4", 1))).To(Equal([]tracker.Action{
			tracker.AppendLeave{Leave: tracker.Leave{Instance: "i-2", Incarnation: 1}},
		}))
	})

	It("guards against members that remain when their whole failure domain is lost, and against a region that removes another", func() {
		tr := domainTracker(3)
		otherRegion := member(9, 1, 0)
		otherRegion.Region, otherRegion.FailureDomain = "southeast", "d-9"
		for _, m := range []tracker.Member{member(1, 1, 0), member(3, 1, 0), otherRegion} {
			fold(tr, tracker.Join{Member: m})
		}
		for _, m := range tr.Watched("i-1") {
			Expect(m.Region).To(Equal(member(1, 1, 0).Region))
		}
		Expect(tr.Step(1000, suspected("i-2", "i-9", 1))).To(BeEmpty())
		Expect(tr.Step(1000, suspected("i-2", "i-1", 1))).To(BeEmpty())
		Expect(tr.Step(1000, suspected("i-2", "i-3", 1))).To(HaveLen(1))
		Expect(tr.SuspicionReaders("i-2")).To(ContainElements(HaveField("Instance", identifier.InstanceID("i-1")), HaveField("Instance", identifier.InstanceID("i-3"))))
	})

	It("guards against a suspicion before five seconds of failed checks", func() {
		tr := domainTracker(6)
		watched := tr.Watched("i-0")[0].Instance
		for now := timer.Millis(1000); now < 6000; now += 1000 {
			Expect(tr.Step(now, tracker.Observed{Instance: watched})).To(BeEmpty())
		}
		Expect(tr.Step(6000, tracker.Observed{Instance: watched})).To(HaveLen(1))
		Expect(tr.Step(7000, tracker.Observed{Instance: watched})).To(BeEmpty())
		Expect(tr.Step(8000, tracker.Observed{Instance: watched})).To(HaveLen(1), "repeated in case it was lost")
		tr.Step(8500, tracker.Observed{Instance: watched, Alive: true})
		Expect(tr.Step(9000, tracker.Observed{Instance: watched})).To(BeEmpty())
	})

	It("guards against a suspicion by a daemon that is not a watcher", func() {
		tr := domainTracker(6)
		watched := tr.Watched("i-0")
		for n := 2; n < 12; n += 2 {
			other := identifier.InstanceID(fmt.Sprintf("i-%d", n))
			if slices.ContainsFunc(watched, func(m tracker.Member) bool { return m.Instance == other }) {
				continue
			}
			tr.Step(1000, tracker.Observed{Instance: other})
			Expect(tr.Step(9000, tracker.Observed{Instance: other})).To(BeEmpty())
		}
	})

	It("guards against traffic to an instance that refused a connection", func() {
		tr := domainTracker(2)
		Expect(tr.Usable("i-2", 1000)).To(BeTrue())
		tr.Step(1000, tracker.Refused{Instance: "i-2"})
		Expect(tr.Usable("i-2", 1999)).To(BeFalse())
		Expect(tr.Usable("i-2", 2000)).To(BeTrue(), "one more attempt")
		tr.Step(2000, tracker.Refused{Instance: "i-2"})
		Expect(tr.Usable("i-2", 3999)).To(BeFalse(), "the ejection time doubles")
		tr.Step(3999, tracker.Observed{Instance: "i-2", Alive: true})
		Expect(tr.Usable("i-2", 3999)).To(BeTrue())
	})

	It("guards against an ejection that applies to a later incarnation", func() {
		tr := domainTracker(2)
		tr.Step(1000, tracker.Refused{Instance: "i-2"})
		fold(tr, tracker.Join{Member: member(2, 2, 0)})
		Expect(tr.Usable("i-2", 1000)).To(BeTrue())
	})

	It("guards against a daemon that does not notice its own removal", func() {
		tr := domainTracker(2)
		_, removed := tr.Removed("i-0", 1)
		Expect(removed).To(BeFalse())
		Expect(tr.Present("i-0", 1)).To(BeTrue())
		fold(tr, tracker.Leave{Instance: "i-0", Incarnation: 3})
		above, removed := tr.Removed("i-0", 1)
		Expect(removed).To(BeTrue())
		Expect(above).To(BeEquivalentTo(3))
		Expect(tr.Present("i-0", 1)).To(BeFalse())
	})

	It("guards against the removal of living members after a log outage, and against entries that are never removed", func() {
		tr := domainTracker(3)
		var actions []tracker.Action
		now := timer.Second
		tick := func(span timer.Millis, confirmed bool) {
			for end := now + span; now < end; now += timer.Second {
				actions = append(actions, tr.Step(now, tracker.Ticked{LogConfirmed: confirmed})...)
			}
		}
		tick(3*timer.Hour, false)
		tick(timer.Hour/2, true)
		Expect(actions).To(BeEmpty())
		fold(tr, tracker.Renew{Instance: "i-2", Incarnation: 1})
		tick(timer.Hour*3/4, true)
		Expect(actions).To(ContainElement(tracker.AppendLeave{Leave: tracker.Leave{Instance: "i-4", Incarnation: 1}}))
		Expect(actions).NotTo(ContainElement(tracker.AppendLeave{Leave: tracker.Leave{Instance: "i-2", Incarnation: 1}}))
	})

	It("guards against a checkpoint of 34,000 members that is too large for one append", func() {
		payload, err := filled(4_000).Checkpoint()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(payload) * 34 / 4).To(BeNumerically("<", appender.DefaultMaxPayload))
	})
})
