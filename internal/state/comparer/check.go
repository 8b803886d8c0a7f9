package comparer

import (
	"encoding/json"
	"slices"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
)

// Error is the class of errors of this package.
var Error = errs.Class("comparer")

const (
	// MaxEncoded is the largest encoded report in bytes. It leaves room for the header of
	// a datagram of 1400 bytes.
	MaxEncoded = 1300
	// maxName bounds the names in a report, in bytes.
	maxName = 128
	// maxNamed is the number of routes that are counted by name.
	maxNamed = 8
	// OtherRoutes is the name under which all further routes are counted.
	OtherRoutes = "other"
)

// Check returns an error unless the report is one that a daemon may send.
func (r Report) Check() error {
	for _, name := range []string{string(r.Node), string(r.Service), string(r.Version), string(r.Target)} {
		if len(name) > maxName {
			return Error.New("name of %d bytes in a report, at most %d are allowed", len(name), maxName)
		}
	}
	if r.Node == "" || r.Service == "" {
		return Error.New("report without instance or service")
	}
	if r.Slots < 0 || r.Running < 0 || r.IdleForMs < 0 {
		return Error.New("negative value in a report of %s", r.Node)
	}
	switch r.Phase {
	case "", router.RolloutPending, router.RolloutRunning, router.RolloutDraining, router.RolloutCompleted, router.RolloutRolledBack:
	default:
		return Error.New("unknown phase %.20q in a report of %s", r.Phase, r.Node)
	}
	if len(r.Routes) > maxNamed+1 {
		return Error.New("%d routes in a report of %s, at most %d are allowed", len(r.Routes), r.Node, maxNamed+1)
	}
	for i := range r.Routes {
		if err := r.Routes[i].check(); err != nil {
			return Error.New("report of %s: %v", r.Node, err)
		}
		if slices.ContainsFunc(r.Routes[:i], func(c RouteCounts) bool { return c.Route == r.Routes[i].Route }) {
			return Error.New("route %q twice in a report of %s", r.Routes[i].Route, r.Node)
		}
	}
	return nil
}

// check returns an error unless the counts agree with each other.
func (c *RouteCounts) check() error {
	if len(c.Route) > maxName {
		return Error.New("route of %d bytes, at most %d are allowed", len(c.Route), maxName)
	}
	if c.Failed > c.Runs || c.Times.total() > c.Runs-c.Failed {
		return Error.New("%d failed and %d good of %d runs on route %q", c.Failed, c.Times.total(), c.Runs, c.Route)
	}
	return nil
}

// Encode returns the report as JSON of at most MaxEncoded bytes. If it does not fit, the
// least used routes are counted with the others.
func (r Report) Encode() ([]byte, error) {
	for {
		encoded, err := json.Marshal(r)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if len(encoded) <= MaxEncoded {
			return encoded, nil
		}
		if len(r.Routes) < 2 {
			return nil, Error.New("report of %d bytes, at most %d are allowed", len(encoded), MaxEncoded)
		}
		r.Routes = withoutLeastUsed(r.Routes)
	}
}

// withoutLeastUsed returns a copy in which the least used route is counted as OtherRoutes.
func withoutLeastUsed(routes []RouteCounts) []RouteCounts {
	routes = slices.Clone(routes)
	least := -1
	for i := range routes {
		if routes[i].Route != OtherRoutes && (least < 0 || routes[i].Runs < routes[least].Runs) {
			least = i
		}
	}
	if least < 0 {
		return routes[:1]
	}
	removed := routes[least]
	routes = slices.Delete(routes, least, least+1)
	other := slices.IndexFunc(routes, func(c RouteCounts) bool { return c.Route == OtherRoutes })
	if other < 0 {
		removed.Route = OtherRoutes
		return append(routes, removed)
	}
	routes[other].add(&removed)
	return routes
}

// add adds the runs of another route.
func (c *RouteCounts) add(other *RouteCounts) {
	c.Runs += other.Runs
	c.Failed += other.Failed
	c.Times.add(&other.Times)
}

// subtract removes the runs of an earlier state of the counts.
func (c *RouteCounts) subtract(earlier *RouteCounts) {
	c.Runs -= min(c.Runs, earlier.Runs)
	c.Failed -= min(c.Failed, earlier.Failed)
	c.Times.subtract(&earlier.Times)
}
