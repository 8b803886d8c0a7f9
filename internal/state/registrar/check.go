package registrar

import (
	"net/netip"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// Error is the class of errors of this package.
var Error = errs.Class("registrar")

const (
	// maxName bounds the names in a description, which travel in datagrams.
	maxName = 256
	// maxSlots bounds the concurrency that a description may name.
	maxSlots = 100_000
)

// Check reports an error if a description cannot be that of a daemon. Descriptions in the
// directory may come from another writer.
func (m *Member) Check() error {
	for _, name := range []string{
		string(m.Node), string(m.FailureDomain), string(m.Region), string(m.Service), string(m.Version), string(m.Backend),
	} {
		if len(name) > maxName {
			return Error.New("name of %d bytes, at most %d are allowed", len(name), maxName)
		}
	}
	if m.Node == "" || m.Service == "" {
		return Error.New("node %q of service %q", m.Node, m.Service)
	}
	for _, address := range []identifier.Address{m.Peer, m.Report} {
		parsed, err := netip.ParseAddrPort(string(address))
		if err != nil || parsed.Port() == 0 {
			return Error.New("address %.40q is not an IP address with a port", address)
		}
	}
	if !m.Incarnation.Plausible() {
		return Error.New("incarnation %d is not a time of this century", m.Incarnation)
	}
	if m.Slots < 0 || m.Slots > maxSlots {
		return Error.New("%d slots are not between 0 and %d", m.Slots, maxSlots)
	}
	load := m.Load
	if min(load.Running, load.Queued, load.Limit, load.SlowdownPercent, load.StartDelayMs) < 0 {
		return Error.New("load %+v has a negative number", load)
	}
	return nil
}
