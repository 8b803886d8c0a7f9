package router

import (
	"net/netip"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// Control is what the daemons have agreed on through the platform's store: the progress of
// roll-outs and the daemon that coordinates quotas.
type Control struct {
	// Era and Offset are the position in the stream of these records.
	Era         identifier.Era    `json:"era,omitempty"`
	Offset      identifier.Offset `json:"offset"`
	Rollouts    []RolloutProgress `json:"rollouts,omitempty"`
	Coordinator Coordinator       `json:"coordinator,omitzero"`
}

// Coordinator is the daemon that divides the quotas of client accounts among all daemons.
type Coordinator struct {
	Node        identifier.InstanceID  `json:"node"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	// Address receives reports by UDP.
	Address identifier.Address `json:"address"`
	// Epoch numbers the coordinators. Grants of an earlier one are ignored.
	Epoch identifier.Epoch `json:"epoch"`
}

// maxEpoch is far above the number of coordinators that are ever named, and leaves room for
// further ones.
const maxEpoch = 1 << 62

// Check reports an error if a record cannot name a coordinator.
func (c Coordinator) Check() error {
	address, err := netip.ParseAddrPort(string(c.Address))
	if c.Node == "" || c.Epoch == 0 || c.Epoch > maxEpoch || err != nil || address.Port() == 0 {
		return Error.New("coordinator %.40q of epoch %d at %.40q", c.Node, c.Epoch, c.Address)
	}
	return nil
}

// Position returns the position up to which all records are included.
func (c Control) Position() Position { return Position{Era: c.Era, Offset: c.Offset} }

// merge returns the later of two. A final phase of a roll-out and a later coordinator are
// kept if the store has lost their records.
func (c Control) merge(next Control) Control {
	if !c.Position().Before(next.Position()) {
		return c
	}
	if next.Coordinator.Epoch < c.Coordinator.Epoch {
		next.Coordinator = c.Coordinator
	}
	if next.Era == c.Era {
		return next
	}
	for _, known := range c.Rollouts {
		if stored, found := next.Progress(known.Service); known.Phase.Final() && (!found || stored.precedes(known)) {
			next.Rollouts = replaceProgress(next.Rollouts, known)
		}
	}
	return next
}

// With returns Control after the record of a roll-out's progress at the given end of the
// stream.
func (c Control) With(progress RolloutProgress, end Position) Control {
	c.Rollouts = replaceProgress(c.Rollouts, progress)
	c.Era, c.Offset = end.Era, end.Offset
	return c
}

// replaceProgress returns a copy of a list with the progress of one service replaced or
// added.
func replaceProgress(list []RolloutProgress, progress RolloutProgress) []RolloutProgress {
	list = slices.Clone(list)
	at := slices.IndexFunc(list, func(p RolloutProgress) bool { return p.Service == progress.Service })
	if at < 0 {
		return append(list, progress)
	}
	list[at] = progress
	return list
}

// Progress returns the progress of a service's roll-out.
func (c Control) Progress(service identifier.ServiceName) (RolloutProgress, bool) {
	for _, progress := range c.Rollouts {
		if progress.Service == service {
			return progress, true
		}
	}
	return RolloutProgress{}, false
}
