package comparer

import (
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// maxWaiting bounds the further routes whose use is counted.
	maxWaiting = 64
	// replaceFactor is how many times the runs of the least used named route another one
	// needs to replace it. A lower one would let routes of about the same use alternate.
	replaceFactor = 2
	usualSpeed    = 100
)

// Collector counts the ended runs of one backend server by route, for reports. It counts
// maxNamed routes by name and the rest as OtherRoutes. Counts never decrease: a route that
// replaces another starts at zero, its earlier runs remain those of OtherRoutes.
//
// A Collector is not safe for concurrent use.
type Collector struct {
	named []RouteCounts
	// uses counts all runs of the named routes, waiting those of others.
	uses    []uint64
	waiting map[string]uint64
	other   RouteCounts
}

// NewCollector returns a Collector without runs.
func NewCollector() *Collector {
	return &Collector{waiting: map[string]uint64{}, other: RouteCounts{Route: OtherRoutes}}
}

// Record counts an ended run.
func (c *Collector) Record(route string, r Run) {
	counts := c.counts(route[:min(len(route), maxName)])
	counts.Runs++
	switch {
	case r.Failed:
		counts.Failed++
	case !r.Cold:
		speed := timer.Millis(max(usualSpeed, r.SlowdownPercent))
		counts.Times[bucketOf(r.Duration*usualSpeed/speed)]++
	}
}

// counts returns the counts that a run of a route belongs to.
func (c *Collector) counts(route string) *RouteCounts {
	if route == OtherRoutes {
		return &c.other
	}
	for i := range c.named {
		if c.named[i].Route == route {
			c.uses[i]++
			return &c.named[i]
		}
	}
	if len(c.named) < maxNamed {
		c.named, c.uses = append(c.named, RouteCounts{Route: route}), append(c.uses, 1)
		return &c.named[len(c.named)-1]
	}
	if _, known := c.waiting[route]; !known && len(c.waiting) >= maxWaiting {
		return &c.other
	}
	c.waiting[route]++
	least := slices.Index(c.uses, slices.Min(c.uses))
	if c.waiting[route] <= replaceFactor*c.uses[least] {
		return &c.other
	}
	use := c.waiting[route]
	delete(c.waiting, route)
	c.waiting[c.named[least].Route] = c.uses[least]
	c.named[least], c.uses[least] = RouteCounts{Route: route}, use
	return &c.named[least]
}

// Routes returns the counts of the most used routes and, if there are any, of the others.
func (c *Collector) Routes() []RouteCounts {
	routes := slices.Clone(c.named)
	if c.other.Runs > 0 {
		routes = append(routes, c.other)
	}
	return routes
}
