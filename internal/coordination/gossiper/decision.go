package gossiper

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

// decisionDelay is how long a daemon that seems to be the deciding one waits for answers
// of better ranked members that it has not heard.
const decisionDelay = 300 * timer.Millis(1)

// decision is the time since which this daemon seems to be the deciding one.
type decision struct {
	first bool
	since timer.Millis
}

// observe returns the time for which this daemon has been first.
func (d *decision) observe(now timer.Millis, first bool) timer.Millis {
	if !first || !d.first {
		d.since = now
	}
	d.first = first
	return now - d.since
}

// Deciding reports whether this daemon decides on roll-outs: it is the first by rank of
// those that reach the store. Called repeatedly, it asks better ranked members
// that have not reported lately whether they still run.
func (g *Gossiper) Deciding() bool {
	own := g.config.Self()
	g.mu.Lock()
	now := g.config.Clock.Now()
	first, unheard := g.table.Deciding(now, own)
	span := g.decision.observe(now, first)
	g.mu.Unlock()
	g.send(unheard, []byte{kindReportRequest}, trafficRequest)
	return first && (len(unheard) == 0 || span >= decisionDelay)
}
