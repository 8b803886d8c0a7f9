package simulator

import (
	"math/rand/v2"

	"github.com/magnoliaknot/magnoliaknot/internal/state/selector"
)

// Policies are the decisions that are compared.
type Policies struct {
	Name string
	// Place returns a sender's placement.
	Place func(*rand.Rand) selector.Policy
	// LoadCheck sends an attempt back when the VM is much slower than its sender
	// assumed.
	LoadCheck bool
	// Knee limits the runs at a time to those that do not slow each other down.
	Knee bool
	// BoundWait lets an attempt wait only while it may end before the target.
	BoundWait bool
	// RefuseHopeless refuses what cannot end before the deadline.
	RefuseHopeless bool
	// FreeRefusals is how many instances may refuse before the request does.
	FreeRefusals int
}

// Current are the policies of the daemons.
func Current() Policies {
	return Policies{
		Name: "current",
		Place: func(r *rand.Rand) selector.Policy {
			return selector.NewFilter(selector.NewLeastExpectedTime("", r))
		},
		LoadCheck: true, Knee: true, BoundWait: true, RefuseHopeless: true, FreeRefusals: 2,
	}
}

// Alternatives returns policies that differ from the current ones in one decision.
func Alternatives() []Policies {
	without := func(name string, change func(p *Policies)) Policies {
		p := Current()
		p.Name = name
		change(&p)
		return p
	}
	return []Policies{
		without("random placement", func(p *Policies) {
			p.Place = func(r *rand.Rand) selector.Policy { return selector.NewFilter(selector.NewRandom(r)) }
		}),
		without("least reported", func(p *Policies) {
			p.Place = func(r *rand.Rand) selector.Policy { return selector.NewFilter(selector.NewLeastReported(r)) }
		}),
		without("no load check", func(p *Policies) { p.LoadCheck = false }),
		without("no limit at the knee", func(p *Policies) { p.Knee = false }),
		without("wait until the deadline", func(p *Policies) { p.BoundWait = false }),
		without("start what is hopeless", func(p *Policies) { p.RefuseHopeless = false }),
		without("one refusal ends it", func(p *Policies) { p.FreeRefusals = 0 }),
		without("four refusals", func(p *Policies) { p.FreeRefusals = 4 }),
	}
}
