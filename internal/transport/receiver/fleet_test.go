package receiver

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/state/selector"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// countingPolicy counts the events that it receives.
type countingPolicy struct {
	selector.Policy
	events int
}

func (c *countingPolicy) Step(now timer.Millis, event selector.Event) {
	c.events++
	c.Policy.Step(now, event)
}

var _ = Describe("the fleet of a service", func() {
	cases := []struct {
		policy PolicyName
		probes bool
	}{
		{PolicyPowerOfChoices, true},
		{PolicyLeastReported, true},
		{PolicyRandom, false},
		{PolicyRoundRobin, false},
	}
	for _, c := range cases {
		It("guards against a policy without the probes it uses, and events that are counted twice: "+string(c.policy), func() {
			f := newFleet(fleetConfig{self: "caller", domain: "aarhus", policy: c.policy}, &parser.Service{}, 1)
			counting := &countingPolicy{Policy: f.probeSelector}
			f.setMembers(1, []tracker.Member{{Instance: "a"}, {Instance: "b"}})
			_, _, found := f.pick(1, nil)
			Expect(found).To(BeTrue())
			Expect(len(f.probeTargets(2)) > 0).To(Equal(c.probes))
			if c.policy == PolicyPowerOfChoices {
				f.policy = counting
				f.recordAttemptEnd(3, identifier.InstanceID("a"), 0, selector.Complete)
				Expect(counting.events).To(Equal(1))
				Expect(f.baseline).To(BeFalse(), "the policy receives each event twice")
			}
		})
	}
})
