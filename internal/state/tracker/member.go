package tracker

import (
	"net/netip"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// State is the state of a backend server as its daemon announced it.
type State uint8

// States of a member.
const (
	Starting State = iota + 1
	Ready
	Draining
)

var stateNames = [...]string{Starting: "starting", Ready: "ready", Draining: "draining"}

// String returns the name of the state on the wire.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return ""
	}
	return stateNames[s]
}

// MarshalText encodes the state by name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes the name of a state.
func (s *State) UnmarshalText(text []byte) error {
	for state := Starting; state <= Draining; state++ {
		if string(text) == stateNames[state] {
			*s = state
			return nil
		}
	}
	return Error.New("unknown state %q", text)
}

// Member is one instance and the daemon beside it, as announced.
type Member struct {
	Instance      identifier.InstanceID    `json:"instance"`
	Incarnation   identifier.Incarnation   `json:"incarnation"`
	Revision      uint32                   `json:"revision,omitempty"`
	Service       identifier.ServiceName   `json:"service"`
	FailureDomain identifier.FailureDomain `json:"failure_domain"`
	Region        identifier.Region        `json:"region"`
	Class         identifier.InstanceClass `json:"instance_class"`
	Slots         identifier.Slots         `json:"slots"`
	// Peer is the address for messages between daemons, Probe the UDP address
	// for load probes.
	Peer  identifier.Address `json:"peer"`
	Probe identifier.Address `json:"probe,omitempty"`
	State State              `json:"state"`
}

// maxNameBytes bounds the length of names, so that one record cannot use up the
// memory meant for the table.
const maxNameBytes = 256

// Check adds a finding for each field that cannot be used.
func (m Member) Check(place string, findings *reporter.Findings) {
	checkKey(place, m.Instance, m.Incarnation, findings)
	checkName(place+".service", string(m.Service), findings)
	checkName(place+".failure_domain", string(m.FailureDomain), findings)
	checkName(place+".region", string(m.Region), findings)
	checkName(place+".instance_class", string(m.Class), findings)
	if m.Slots < 1 {
		findings.Add(place+".slots", m.Slots, "must be at least 1")
	}
	if m.State < Starting || m.State > Draining {
		findings.Add(place+".state", m.State, "is not a state")
	}
	checkAddress(place+".peer", m.Peer, findings)
	if m.Probe != "" {
		checkAddress(place+".probe", m.Probe, findings)
	}
}

func checkKey(place string, instance identifier.InstanceID, incarnation identifier.Incarnation, findings *reporter.Findings) {
	checkName(place+".instance", string(instance), findings)
	if incarnation == 0 {
		findings.Add(place+".incarnation", incarnation, "must be at least 1")
	}
}

func checkName(place, name string, findings *reporter.Findings) {
	if name == "" || len(name) > maxNameBytes {
		findings.Add(place, name, "must have 1 to 256 bytes")
	}
}

func checkAddress(place string, address identifier.Address, findings *reporter.Findings) {
	if _, err := netip.ParseAddrPort(string(address)); err != nil {
		findings.Add(place, address, "is not an IP address and port")
	}
}

// Entry is a member with its last renewal.
type Entry struct {
	Member
	// RenewedOffset is the offset of its last join or renewal.
	RenewedOffset identifier.Offset
	// RenewedAge is the time since then during which the log was readable.
	RenewedAge timer.Millis
}
