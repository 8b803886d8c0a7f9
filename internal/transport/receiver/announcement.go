package receiver

import (
	"encoding/json"
	"net/netip"

	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

// Announcement is the state that a backend server reports every second.
type Announcement struct {
	Service     identifier.ServiceName `json:"service"`
	Address     identifier.Address     `json:"address"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Slots       identifier.Slots       `json:"slots"`
	Connections int                    `json:"connections"`
	State       tracker.State          `json:"state"`
	// InFlight is the backend server's own count of running requests.
	InFlight int `json:"in_flight,omitempty"`
}

// Bounds of an announcement.
const (
	maxSlots       = 100_000
	maxConnections = 1_000_000
)

// DecodeAnnouncement decodes and checks an announcement and returns all findings.
func DecodeAnnouncement(data []byte) (Announcement, []reporter.Finding) {
	var findings reporter.Findings
	var a Announcement
	if err := json.Unmarshal(data, &a); err != nil {
		findings.Add("announcement", len(data), err.Error())
		return a, findings.List()
	}
	if a.Service == "" {
		findings.Add("service", a.Service, "is empty")
	}
	if _, err := netip.ParseAddrPort(string(a.Address)); err != nil {
		findings.Add("address", a.Address, "is not an IP address and port")
	}
	if a.Incarnation == 0 {
		findings.Add("incarnation", a.Incarnation, "is zero")
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		findings.Add("slots", a.Slots, "is not between 1 and 100000")
	}
	if a.Connections < 1 || a.Connections > maxConnections {
		findings.Add("connections", a.Connections, "is not between 1 and 1000000")
	}
	if a.State.String() == "" {
		findings.Add("state", a.State, "is missing")
	}
	if a.InFlight < 0 {
		findings.Add("in_flight", a.InFlight, "is negative")
	}
	return a, findings.List()
}

func (a Announcement) event() admitter.Announce {
	states := map[tracker.State]admitter.BackendState{
		tracker.Starting: admitter.Starting, tracker.Ready: admitter.Ready, tracker.Draining: admitter.Draining,
	}
	return admitter.Announce{
		Incarnation: a.Incarnation, Slots: a.Slots, State: states[a.State], InFlight: a.InFlight,
	}
}
