package backendserver

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// State is the announced state of a backend server.
type State string

// States of a backend server. A crashed server is down and announces nothing.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Draining State = "draining"
	Down     State = "down"
)

// Load is what a backend server reports about itself.
type Load struct {
	State       State                  `json:"state"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Slots       identifier.Slots       `json:"slots"`
	Running     int                    `json:"running"`
	Queued      int                    `json:"queued"`
	InFlight    int                    `json:"in_flight"`
	Cold        bool                   `json:"cold"`
	Completed   uint64                 `json:"completed"`
}

type loadSample struct {
	at   timer.Millis
	load Load
}

// history keeps past loads, so that reported values can lag behind the current
// ones.
type history struct {
	lag     timer.Millis
	samples []loadSample
}

// record adds the load that is current from a time on.
func (h *history) record(now timer.Millis, load Load) {
	if last := len(h.samples) - 1; last >= 0 && h.samples[last].at == now {
		h.samples[last].load = load
		return
	}
	for len(h.samples) > 1 && h.samples[1].at <= now-h.lag {
		h.samples = h.samples[1:]
	}
	h.samples = append(h.samples, loadSample{at: now, load: load})
}

// last returns the time of the newest load.
func (h *history) last() timer.Millis { return h.samples[len(h.samples)-1].at }

// at returns the load that was current at now minus the lag, or the oldest known
// load.
func (h *history) at(now timer.Millis) Load {
	for i := len(h.samples) - 1; i > 0; i-- {
		if h.samples[i].at <= now-h.lag {
			return h.samples[i].load
		}
	}
	return h.samples[0].load
}
