package selector_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/state/selector"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

var _ = Describe("the least expected time", func() {
	load := func(running, limit, slowdown int32) selector.Load {
		return selector.Load{InFlight: running, Limit: limit, SlowdownPercent: slowdown, ReceivedAt: 1000}
	}
	cold := load(0, 6, 100)
	cold.Cold = true
	cases := []struct {
		name        string
		here, there selector.Load
		want        identifier.InstanceID
	}{
		{"the own failure domain at equal load", load(1, 6, 100), load(1, 6, 100), "here"},
		{"a slow VM", load(0, 6, 700), load(3, 6, 100), "there"},
		{"an instance at its limit", load(6, 6, 100), load(2, 6, 100), "there"},
		{"an instance above the knee", load(5, 6, 100), load(1, 6, 100), "there"},
		{"a cold instance", cold, load(1, 6, 100), "there"},
		{"a slow VM is better than one that is slow and at its limit", load(0, 6, 700), load(12, 6, 700), "here"},
	}
	for _, c := range cases {
		It("guards against an attempt at the instance with the longer expected time: "+c.name, func() {
			policy := selector.NewLeastExpectedTime("d1", rand.New(rand.NewPCG(1, 1)))
			policy.Step(1000, selector.InstancesChanged{Instances: []selector.Instance{
				{ID: "here", Domain: "d1", Slots: 6}, {ID: "there", Domain: "d2", Slots: 6},
			}})
			policy.Step(1000, selector.LoadReported{Instance: "here", Load: c.here})
			policy.Step(1000, selector.LoadReported{Instance: "there", Load: c.there})
			for range 10 {
				picked, found := policy.Pick(1001, selector.Exclusions{})
				Expect(found).To(BeTrue())
				Expect(picked).To(Equal(c.want))
			}
			picked, found := policy.Pick(1001, selector.Exclusions{Tried: []identifier.InstanceID{c.want}})
			Expect(found).To(BeTrue())
			Expect(picked).NotTo(Equal(c.want))
		})
	}

	It("guards against a pick without instances", func() {
		policy := selector.NewLeastExpectedTime("d1", rand.New(rand.NewPCG(1, 1)))
		_, found := policy.Pick(1, selector.Exclusions{})
		Expect(found).To(BeFalse())
	})

	It("guards against sending all attempts to one instance between two reports", func() {
		policy := selector.NewLeastExpectedTime("d1", rand.New(rand.NewPCG(1, 1)))
		policy.Step(1000, selector.InstancesChanged{Instances: []selector.Instance{
			{ID: "a", Domain: "d1", Slots: 6}, {ID: "b", Domain: "d1", Slots: 6},
		}})
		counts := map[identifier.InstanceID]int{}
		for range 8 {
			picked, _ := policy.Pick(1001, selector.Exclusions{})
			policy.Step(1001, selector.AttemptSent{Instance: picked})
			counts[picked]++
		}
		Expect(counts["a"]).To(Equal(4))
	})
})
