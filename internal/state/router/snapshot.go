package router

import (
	"slices"
	"sync/atomic"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// Snapshot is a configuration with the failure domains out of service, as of one
// position of the platform's store. It is immutable after Index.
type Snapshot struct {
	// Version is the version of the configuration. Zero means that none is known.
	Version identifier.Version `json:"version"`
	// Era and Offset are the position in the store up to which the snapshot includes all
	// changes.
	Era          identifier.Era             `json:"era,omitempty"`
	Offset       identifier.Offset          `json:"offset"`
	Routes       []Route                    `json:"routes"`
	Services     []Service                  `json:"services"`
	Limits       Limits                     `json:"limits"`
	OutOfService []identifier.FailureDomain `json:"out"`
	// Orders are the operator's roll-outs, as of Era and Offset.
	Orders   []RolloutOrder `json:"orders,omitempty"`
	Accounts []Account      `json:"accounts,omitempty"`
	// Control is what the daemons have agreed on; it has a position of its own.
	Control Control `json:"control,omitzero"`

	table    *Table
	services map[identifier.ServiceName]*Service
	accounts map[KeyDigest]*Account
}

// Index prepares the snapshot for lookups. Call it once before Adopt.
func (s *Snapshot) Index() *Snapshot {
	s.table = NewTable(s.Routes)
	s.services = make(map[identifier.ServiceName]*Service, len(s.Services))
	for i := range s.Services {
		s.services[s.Services[i].Name] = &s.Services[i]
	}
	s.accounts = indexAccounts(s.Accounts)
	return s
}

// Position returns the position in the store up to which the snapshot includes all
// changes.
func (s *Snapshot) Position() Position { return Position{Era: s.Era, Offset: s.Offset} }

// Lookup returns the route of a request.
func (s *Snapshot) Lookup(host, path string) (*Route, bool) { return s.table.Lookup(host, path) }

// RoutesTo reports whether requests of a host and path may go to a service.
func (s *Snapshot) RoutesTo(host, path string, service identifier.ServiceName) bool {
	route, found := s.Lookup(host, path)
	return found && slices.ContainsFunc(route.WeightedServices, func(p WeightedService) bool { return p.Service == service })
}

// Service returns the configuration of a service.
func (s *Snapshot) Service(name identifier.ServiceName) (*Service, bool) {
	service, found := s.services[name]
	return service, found
}

// IsOutOfService reports whether a failure domain is out of service.
func (s *Snapshot) IsOutOfService(domain identifier.FailureDomain) bool {
	return slices.Contains(s.OutOfService, domain)
}

// Holder keeps the newest snapshot. It is safe for concurrent use by readers and
// one writer at a time.
type Holder struct {
	current atomic.Pointer[Snapshot]
}

// NewHolder returns a holder with an empty snapshot.
func NewHolder() *Holder {
	h := &Holder{}
	h.current.Store((&Snapshot{}).Index())
	return h
}

// Snapshot returns the snapshot in force.
func (h *Holder) Snapshot() *Snapshot { return h.current.Load() }

// Adopt puts in force what is newer in a snapshot and reports whether anything was. The
// configuration is ordered by its version, failure domains and orders by their position,
// and Control by its own, so that none of them goes back.
func (h *Holder) Adopt(next *Snapshot) bool {
	for {
		current := h.current.Load()
		merged := current.merge(next)
		if merged == current {
			return false
		}
		if h.current.CompareAndSwap(current, merged) {
			return true
		}
	}
}

// merge returns a snapshot with the newer parts of two. It is s if nothing is newer in
// the other.
func (s *Snapshot) merge(next *Snapshot) *Snapshot {
	newer := next.Version > s.Version
	later := s.Position().Before(next.Position())
	control := s.Control.merge(next.Control)
	merged := s
	switch {
	case newer && (later || s.Version == 0):
		merged = next
	case newer:
		merged = next.at(s)
	case later:
		merged = s.at(next)
	}
	if merged == s && control.Position() == s.Control.Position() {
		return s
	}
	return merged.withControl(control)
}

// at returns the configuration of s with the position, the failure domains and the orders
// of another snapshot.
func (s *Snapshot) at(other *Snapshot) *Snapshot {
	merged := *s
	merged.Era, merged.Offset = other.Era, other.Offset
	merged.OutOfService, merged.Orders = other.OutOfService, other.Orders
	return &merged
}

// withControl returns a copy of s with another Control. Control is not compared by its
// position: at the same one, a merged Control may hold more than the store does.
func (s *Snapshot) withControl(control Control) *Snapshot {
	merged := *s
	merged.Control = control
	return &merged
}
