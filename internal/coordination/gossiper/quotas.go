package gossiper

import (
	"net/netip"

	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/throttler"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// Kinds of datagrams of quotas, stored in the first byte.
const (
	// kindUse is a throttler.UseReport.
	kindUse = 'u'
	// kindGrant is a throttler.Grant.
	kindGrant = 'U'
)

// SendUse sends a report of the use of quotas to the coordinator. The next report replaces a
// lost one.
func (g *Gossiper) SendUse(to identifier.Address, report throttler.UseReport) {
	address, err := netip.ParseAddrPort(string(to))
	if err != nil {
		g.config.Logger.Warn("address of the coordinator is invalid", "address", to, "error", err.Error())
		return
	}
	g.sendQuota(address, report.Encode([]byte{kindUse}), trafficUse)
}

// SendGrant answers a report of the use of quotas.
func (g *Gossiper) SendGrant(to netip.AddrPort, grant throttler.Grant) {
	g.sendQuota(to, grant.Encode([]byte{kindGrant}), trafficGrant)
}

func (g *Gossiper) sendQuota(to netip.AddrPort, data []byte, kind trafficKind) {
	g.traffic.count(kind, g.sameDomain(to), len(data))
	_, _ = g.conn.WriteToUDPAddrPort(data, to)
}

// sameDomain reports whether the member with a report address is in the failure domain
// of this daemon. The domain of an address without a known member counts as another one.
func (g *Gossiper) sameDomain(address netip.AddrPort) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if version := g.table.Version(); g.domains == nil || version != g.domainsVersion {
		g.domainsVersion, g.domains = version, reportDomains(g.table.Members())
	}
	domain, known := g.domains[address]
	return known && domain == g.config.FailureDomain
}

// reportDomains returns the failure domains by report address.
func reportDomains(members []registrar.Member) map[netip.AddrPort]identifier.FailureDomain {
	domains := make(map[netip.AddrPort]identifier.FailureDomain, len(members))
	for _, m := range members {
		if address, err := netip.ParseAddrPort(string(m.Report)); err == nil {
			domains[address] = m.FailureDomain
		}
	}
	return domains
}

func (g *Gossiper) receiveUse(data []byte, from netip.AddrPort) error {
	report, err := throttler.DecodeUseReport(data)
	if err != nil {
		return Error.Wrap(err)
	}
	if g.config.Used != nil {
		g.config.Used(report, from)
	}
	return nil
}

func (g *Gossiper) receiveGrant(data []byte) error {
	grant, err := throttler.DecodeGrant(data)
	if err != nil {
		return Error.Wrap(err)
	}
	if g.config.Granted != nil {
		g.config.Granted(grant)
	}
	return nil
}
