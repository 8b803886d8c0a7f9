package gossiper

import (
	"net/netip"

	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/spreader"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// AddMembers adds members that another source named, and introduces this daemon to
// some of them.
func (g *Gossiper) AddMembers(members []registrar.Member) {
	g.mu.Lock()
	now := g.config.Clock.Now()
	learned := false
	for _, m := range members {
		learned = g.table.Learn(now, m) || learned
	}
	var targets []registrar.Member
	if learned {
		g.updateSpread()
		targets = g.spread.Introduction()
	}
	g.mu.Unlock()
	for _, m := range targets {
		g.sendReport(m)
	}
}

// updateSpread passes the members to spread if they have changed. The lock must be
// held.
func (g *Gossiper) updateSpread() {
	if version := g.table.Version(); version != g.spreadVersion {
		g.spreadVersion = version
		g.spread.SetMembers(g.table.Members())
	}
}

// targets returns the members that a datagram is sent to.
func (g *Gossiper) targets(kind spreader.Kind) []registrar.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateSpread()
	return g.spread.Targets(kind, func(m registrar.Member) bool { _, uses := g.users[m.Incarnation]; return uses })
}

func (g *Gossiper) send(to []registrar.Member, data []byte, kind trafficKind) {
	for _, m := range to {
		address, err := netip.ParseAddrPort(string(m.Report))
		if err != nil {
			g.config.Logger.Warn("member address is invalid", "address", m.Report, "error", err.Error())
			continue
		}
		g.traffic.count(kind, m.FailureDomain == g.config.FailureDomain, len(data))
		_, _ = g.conn.WriteToUDPAddrPort(data, address) // The next datagram replaces a lost one.
	}
}

// demand is what the table says of the need for the report of an unknown member.
type demand struct {
	// sure says that the report is needed whatever services are in use.
	sure bool
	// ofService and inAll count the active members of its service and of all.
	ofService, inAll int
}

// demandFor returns the demand for the report of a status message's sender. The caller
// holds the lock.
func (g *Gossiper) demandFor(now timer.Millis, status statusMessage) demand {
	if g.table.Size() <= spreader.SmallFleet || status.Service == 0 || g.table.Knows(status.Incarnation) {
		return demand{sure: true}
	}
	return demand{ofService: g.table.ActiveOf(now, status.Service), inAll: g.table.ActiveCount(now)}
}

// wanted reports whether the report of a status message's sender is requested. The caller
// does not hold the lock: the answers of the owner may depend on other locks.
func (g *Gossiper) wanted(d demand, status statusMessage) bool {
	return d.sure || status.Position.ahead(g.config.Position()) || spreader.Wanted(d.ofService, d.inAll, g.config.Uses(status.Service))
}

// returnReport sends a daemon the report of another run of it, so that it can take a
// higher incarnation.
func (g *Gossiper) returnReport(to identifier.Address, known registrar.Member) {
	data, err := Report{Member: known}.encode()
	if err != nil {
		g.config.Logger.Error("report could not be encoded", "error", err.Error())
		return
	}
	known.Report = to
	g.send([]registrar.Member{known}, data, trafficReport)
}

// sendReport sends a report to a member that may not know this daemon.
func (g *Gossiper) sendReport(m registrar.Member) {
	if data, ok := g.report(g.own(), nil); ok {
		g.send([]registrar.Member{m}, data, trafficReport)
	}
}
