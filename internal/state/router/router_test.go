package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestRouter(t *testing.T) { tester.RunSpecs(t, "router") }

var _ = Describe("a routing table", func() {
	table := router.NewTable([]router.Route{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "root", Host: "B.example", PathPrefix: "/"},
	})
	cases := []struct{ name, host, path, route string }{
		{"the longest prefix wins", "a.example", "/x/y/z", "long"},
		{"a prefix with a final slash matches whole path segments", "a.example", "/x/yz", "short"},
		{"a path without the final slash of the prefix does not match", "a.example", "/x", ""},
		{"the port of the host is ignored", "a.example:80", "/x/1", "short"},
		{"the case of the host is ignored", "b.EXAMPLE", "/q", "root"},
		{"an unknown host has no route", "c.example", "/x/1", ""},
		{"dot segments of a path are not resolved", "a.example", "/q/../x/1", ""},
	}
	for _, c := range cases {
		It("guards against a request that goes to another route: "+c.name, func() {
			route, found := table.Lookup(c.host, c.path)
			Expect(found).To(Equal(c.route != ""))
			if found {
				Expect(route.Name).To(Equal(c.route))
			}
		})
	}
})

var _ = Describe("a holder", func() {
	at := func(era identifier.Era, offset identifier.Offset) router.Position {
		return router.Position{Era: era, Offset: offset}
	}
	cases := []struct {
		name     string
		version  identifier.Version
		position router.Position
		// kept and keptAt are the version and the position in force afterwards.
		kept   identifier.Version
		keptAt router.Position
	}{
		{"a later version", 6, at(2, 20), 6, at(2, 20)},
		{"a later position of the same version", 5, at(2, 11), 5, at(2, 11)},
		{"the same version and position", 5, at(2, 10), 5, at(2, 10)},
		{"an earlier version from a later position", 4, at(2, 11), 5, at(2, 11)},
		{"a later version from an earlier position", 6, at(2, 9), 6, at(2, 10)},
		{"a later version from a lower offset of a later era", 6, at(3, 4), 6, at(3, 4)},
		{"an earlier version from a lower offset of a later era", 4, at(3, 4), 5, at(3, 4)},
		{"an earlier version from a higher offset of an earlier era", 4, at(1, 40), 5, at(2, 10)},
		{"a later version from a higher offset of an earlier era", 6, at(1, 40), 6, at(2, 10)},
	}
	for _, c := range cases {
		It("guards against a configuration or a failure domain that goes back: "+c.name, func() {
			snapshot := func(version identifier.Version, position router.Position) *router.Snapshot {
				s := &router.Snapshot{
					Version: version, Era: position.Era, Offset: position.Offset,
					Routes:       []router.Route{{Name: fmt.Sprint(version), Host: "h", PathPrefix: "/"}},
					OutOfService: []identifier.FailureDomain{identifier.FailureDomain(fmt.Sprint(position))},
				}
				return s.Index()
			}
			holder := router.NewHolder()
			Expect(holder.Adopt(snapshot(5, at(2, 10)))).To(BeTrue())
			changed := c.kept != 5 || c.keptAt != at(2, 10)
			Expect(holder.Adopt(snapshot(c.version, c.position))).To(Equal(changed))
			got := holder.Snapshot()
			Expect(got.Version).To(Equal(c.kept))
			Expect(got.Position()).To(Equal(c.keptAt))
			route, found := got.Lookup("h", "/x")
			Expect(found).To(BeTrue())
			Expect(route.Name).To(Equal(fmt.Sprint(c.kept)))
			Expect(got.IsOutOfService(identifier.FailureDomain(fmt.Sprint(c.keptAt)))).To(BeTrue())
			Expect(holder.Adopt(snapshot(c.version, c.position))).To(BeFalse(), "adopted twice")
		})
	}
})

var _ = Describe("the progress of roll-outs in a holder", func() {
	progress := func(target identifier.ServiceVersion, phase router.RolloutPhase, started int) router.RolloutProgress {
		return router.RolloutProgress{Service: "s", Target: target, Phase: phase, StartedAt: timer.Millis(started)}
	}
	control := func(era identifier.Era, offset identifier.Offset, list ...router.RolloutProgress) router.Control {
		return router.Control{Era: era, Offset: offset, Rollouts: list}
	}
	done := progress("v2", router.RolloutCompleted, 20)
	cases := []struct {
		name         string
		before, next router.Control
		target       identifier.ServiceVersion
		phase        router.RolloutPhase
		at           router.Position
	}{
		{"an earlier offset", control(1, 5, done), control(1, 4, progress("v2", router.RolloutRunning, 20)), "v2", router.RolloutCompleted, router.Position{Era: 1, Offset: 5}},
		{"an earlier era", control(2, 1, done), control(1, 9, progress("v2", router.RolloutRunning, 20)), "v2", router.RolloutCompleted, router.Position{Era: 2, Offset: 1}},
		{"a later offset", control(1, 5, done), control(1, 6, progress("v3", router.RolloutPending, 10)), "v3", router.RolloutPending, router.Position{Era: 1, Offset: 6}},
		{"a later era without the record", control(1, 5, done), control(2, 0), "v2", router.RolloutCompleted, router.Position{Era: 2}},
		{"a later era with an earlier phase", control(1, 5, done), control(2, 3, progress("v2", router.RolloutRunning, 20)), "v2", router.RolloutCompleted, router.Position{Era: 2, Offset: 3}},
		{"a later era with the order before", control(1, 5, done), control(2, 3, progress("v1", router.RolloutCompleted, 10)), "v2", router.RolloutCompleted, router.Position{Era: 2, Offset: 3}},
		{"a later era with a later order", control(1, 5, done), control(2, 3, progress("v3", router.RolloutRunning, 30)), "v3", router.RolloutRunning, router.Position{Era: 2, Offset: 3}},
		{"a later era and an unfinished roll-out", control(1, 5, progress("v2", router.RolloutDraining, 20)), control(2, 3, progress("v2", router.RolloutRunning, 20)), "v2", router.RolloutRunning, router.Position{Era: 2, Offset: 3}},
	}
	for _, c := range cases {
		for _, version := range []identifier.Version{0, 1, 2} {
			It(fmt.Sprintf("guards against a finished roll-out that goes back: %s, with version %d", c.name, version), func() {
				holder := router.NewHolder()
				holder.Adopt((&router.Snapshot{Version: 1, Era: 1, Offset: 1, Control: c.before}).Index())
				holder.Adopt((&router.Snapshot{Version: version, Era: 1, Offset: identifier.Offset(version), Control: c.next}).Index())
				got := holder.Snapshot().Control
				stored, found := got.Progress("s")
				Expect(found).To(BeTrue())
				Expect(stored.Target).To(Equal(c.target))
				Expect(stored.Phase).To(Equal(c.phase))
				Expect(got.Position()).To(Equal(c.at))
			})
		}
	}
})

// Guards against shares that differ from the weights after any whole number of
// rounds, with any start position.
func TestSplitterShares(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 99), 2, 4).Draw(t, "weights")
		seed := rapid.Uint64().Draw(t, "seed")
		route := &router.Route{Name: "r"}
		total := 0
		for i, w := range weights {
			route.WeightedServices = append(route.WeightedServices, router.WeightedService{Service: identifier.ServiceName(rune('a' + i)), Weight: w})
			total += w
		}
		splitter := router.NewSplitter(rand.New(rand.NewPCG(seed, seed)))
		counts := map[identifier.ServiceName]int{}
		for n := 1; n <= 3*total; n++ {
			counts[splitter.Pick(route)]++
			if n%total != 0 {
				continue
			}
			for _, p := range route.WeightedServices {
				if counts[p.Service] != n/total*p.Weight {
					t.Fatalf("service %s received %d of %d requests for a weight of %d of %d", p.Service, counts[p.Service], n, p.Weight, total)
				}
			}
		}
	})
}
