package simulator

import (
	"math/rand/v2"

	"github.com/magnoliaknot/magnoliaknot/internal/state/selector"
)

// Policies are the decisions that are compared.
type Policies struct {
	Name string
	// NewSelector returns a sender's placement.
	NewSelector func(*rand.Rand) selector.Policy
	// LoadCheck sends an attempt back when the VM is much slower than its sender
	// assumed.
	LoadCheck bool
	// LimitAtKnee limits the runs at a time to those that do not slow each other down.
	LimitAtKnee bool
	// BoundWait lets an attempt wait only while it may end before the target.
	BoundWait bool
	// RefuseTooSlow refuses what cannot end before the deadline.
	RefuseTooSlow bool
	// FreeRefusals is how many instances may refuse before the request does.
	FreeRefusals int
}

// CurrentPolicies are the policies of the daemons.
func CurrentPolicies() Policies {
	return Policies{
		Name: "current",
		NewSelector: func(r *rand.Rand) selector.Policy {
			return selector.NewFilter(selector.NewLeastExpectedTime("", r))
		},
		LoadCheck: true, LimitAtKnee: true, BoundWait: true, RefuseTooSlow: true, FreeRefusals: 2,
	}
}

// AlternativePolicies returns policies that differ from the current ones in one decision.
func AlternativePolicies() []Policies {
	without := func(name string, change func(p *Policies)) Policies {
		p := CurrentPolicies()
		p.Name = name
		change(&p)
		return p
	}
	return []Policies{
		without("random placement", func(p *Policies) {
			p.NewSelector = func(r *rand.Rand) selector.Policy { return selector.NewFilter(selector.NewRandom(r)) }
		}),
		without("least reported", func(p *Policies) {
			p.NewSelector = func(r *rand.Rand) selector.Policy { return selector.NewFilter(selector.NewLeastReported(r)) }
		}),
		without("no load check", func(p *Policies) { p.LoadCheck = false }),
		without("no limit at the knee", func(p *Policies) { p.LimitAtKnee = false }),
		without("wait until the deadline", func(p *Policies) { p.BoundWait = false }),
		without("start what is hopeless", func(p *Policies) { p.RefuseTooSlow = false }),
		without("one refusal ends it", func(p *Policies) { p.FreeRefusals = 0 }),
		without("four refusals", func(p *Policies) { p.FreeRefusals = 4 }),
	}
}
