package simulator

import (
	"math/rand/v2"

	"github.com/magnoliaknot/magnoliaknot/internal/state/selector"
)

// Policies selects the variant of each decision that is compared.
type Policies struct {
	Name string
	// NewSelector returns the placement policy of a sender.
	NewSelector func(*rand.Rand) selector.Policy
	// LoadCheck sends an attempt back when the VM is much slower than its sender
	// assumed.
	LoadCheck bool
	// LimitAtKnee limits the concurrent runs to the number at which they do not slow
	// each other down.
	LimitAtKnee bool
	// BoundWait lets an attempt wait only while it can still end within the target.
	BoundWait bool
	// RefuseTooSlow refuses attempts that cannot end before the deadline.
	RefuseTooSlow bool
	// FairQueue passes the accounts to the queues of the instances.
	FairQueue bool
	// FreeRefusals is the number of refused attempts of a request that do not count
	// as attempts.
	FreeRefusals int
}

// CurrentPolicies returns the policies that the daemons use.
func CurrentPolicies() Policies {
	return Policies{
		Name: "current",
		NewSelector: func(r *rand.Rand) selector.Policy {
			return selector.NewFilter(selector.NewLeastExpectedTime("", r))
		},
		LoadCheck: true, LimitAtKnee: true, BoundWait: true, RefuseTooSlow: true, FairQueue: true, FreeRefusals: 2,
	}
}

// AlternativePolicies returns policies that each differ from the current ones in one
// decision.
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
		without("no refusal as too slow", func(p *Policies) { p.RefuseTooSlow = false }),
		ByArrivalPolicies(),
		without("no free refusals", func(p *Policies) { p.FreeRefusals = 0 }),
		without("four free refusals", func(p *Policies) { p.FreeRefusals = 4 }),
	}
}
