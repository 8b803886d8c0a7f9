package gossiper

import (
	"math/rand/v2"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
)

type pendingEntry struct {
	entry     quarantiner.Entry
	sendsLeft int
}

// BroadcastQuarantine adds quarantine entries to the next reports.
func (g *Gossiper) BroadcastQuarantine(entries []quarantiner.Entry) {
	g.queueEntries(entries, reportsPerEntry)
}

// queueEntries adds entries to a number of the next reports. A daemon that passes on
// entries of another one does so once, since others do too.
func (g *Gossiper) queueEntries(entries []quarantiner.Entry, reports int) {
	g.mu.Lock()
	for _, entry := range entries {
		g.entries = append(g.entries, pendingEntry{entry, reports})
	}
	g.mu.Unlock()
	g.TriggerBroadcast()
}

// dueEntries returns the quarantine entries of the next report and counts their
// repeats.
func (g *Gossiper) dueEntries() []quarantiner.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	var due []quarantiner.Entry
	kept := g.entries[:0]
	for i, pending := range g.entries {
		if i < maxEntries {
			due = append(due, pending.entry)
			pending.sendsLeft--
		}
		if pending.sendsLeft > 0 {
			kept = append(kept, pending)
		}
	}
	g.entries = kept
	return due
}

// sendEntries sends the quarantine entries that are due to members of the own service,
// which pass new ones on.
func (g *Gossiper) sendEntries(own registrar.Member) {
	entries := g.dueEntries()
	if len(entries) == 0 {
		return
	}
	g.mu.Lock()
	g.updateSpread()
	targets := g.spread.OfService(own.Service)
	g.mu.Unlock()
	if data, ok := g.report(own, entries); ok {
		g.send(targets, data, trafficReport)
	}
}

// maxBringers is the mean number of members that bring a returned one up to date, so that
// what is sent after a restart of all does not grow with the square of the fleet.
const maxBringers = 4

// bringUpToDate sends the entries in force to members of the own service that may have
// missed some: all quarantines, and as many suspects as fit into the last datagram.
func (g *Gossiper) bringUpToDate(returned []registrar.Member) {
	if len(returned) == 0 {
		return
	}
	own := g.own()
	g.mu.Lock()
	members := g.table.ActiveOf(g.config.Clock.Now(), registrar.KeyOf(own.Service))
	g.mu.Unlock()
	returned = slices.DeleteFunc(returned, func(m registrar.Member) bool {
		return m.Service != own.Service || rand.IntN(max(1, members)) >= maxBringers
	})
	if len(returned) == 0 {
		return
	}
	for entries := range slices.Chunk(g.config.InForce(), maxEntries) {
		if data, ok := g.report(own, entries); ok {
			g.send(returned, data, trafficReport)
		}
		if entries[len(entries)-1].Kind != quarantiner.Quarantined {
			return
		}
	}
}
