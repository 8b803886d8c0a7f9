package dispatcher

import (
	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/orderer"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Backend is the state that the backend server announced.
type Backend struct {
	ID identifier.BackendID
	// Incarnation is the start time in Unix ms. Zero in an announcement of a leave
	// means that the announcement does not say.
	Incarnation identifier.Incarnation
	// Presumed says that Incarnation is the time of the leave of a run whose start is not
	// known.
	Presumed bool
	// Sequence orders the announcements of one incarnation.
	Sequence uint64
	Slots    identifier.Slots
	Version  identifier.ServiceVersion
	State    admitter.BackendState
	// ColdFor is how long it stays cold.
	ColdFor timer.Millis
}

// Announce applies an announcement of the backend server. It returns false if the
// announcement is older than the known state.
func (a *Admission) Announce(b Backend) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.announce(b)
}

// announce applies an announcement. The caller holds the lock.
func (a *Admission) announce(b Backend) bool {
	now, known := a.config.Clock.Now(), a.backend
	unknown := !a.order.Known() && b.Incarnation == 0
	run, verdict := a.order.Accept(now, a.config.Clock.Wall(), orderer.Announcement{
		Backend: b.ID, Start: b.Incarnation, Presumed: b.Presumed, Sequence: b.Sequence, Leaving: b.State == admitter.Draining,
	})
	switch verdict {
	case orderer.Outdated:
		return false
	case orderer.Unconfirmed:
		a.verify(now, b)
		return false
	case orderer.Current:
	}
	a.pending = nil
	b.Incarnation, b.Presumed = a.order.Start(), a.order.Presumed()
	if b.Slots == 0 && known.ID == b.ID {
		b.Slots = known.Slots // A leave does not report slots.
	}
	if b.Version == "" && known.ID == b.ID {
		b.Version = known.Version
	}
	a.backend = b
	if b.State == admitter.Draining && run != a.leftRun {
		a.leftRun = run
		a.config.OnLeave()
	}
	if unknown {
		a.config.Logger.Info("leave of an unannounced backend server", "backend", b.ID)
		return true
	}
	a.down = false
	if run != a.notices.run {
		a.notices = notices{run: run}
		a.step(now, admitter.RateLimit{})
		if a.healthPath() != "" {
			go a.startCheck()
		}
	}
	a.coldStart.updateFromAnnouncement(now, a.boundCold(b.ColdFor))
	if known.ID != b.ID || known.State != b.State {
		a.config.Logger.Info("backend server announced", "backend", b.ID, "state", b.State.String(), "slots", b.Slots)
	}
	a.step(now, admitter.Announce{Incarnation: identifier.Incarnation(run), Slots: b.Slots, State: b.State})
	a.applyLimits(now)
	a.config.OnChange()
	return true
}

// verify checks whether an announcement that may come from another writer holds. The caller
// holds the lock.
func (a *Admission) verify(now timer.Millis, b Backend) {
	a.config.Logger.Warn("announcement of another run is not confirmed yet", "known", a.backend.ID, "known_start", a.backend.Incarnation, "backend", b.ID, "start", b.Incarnation, "state", b.State.String())
	if b.ID == a.backend.ID {
		// If it holds, the backend server is cold.
		a.coldStart.updateFromAnnouncement(now, a.boundCold(b.ColdFor))
		a.setStartRateLimit(now)
	} else {
		a.pending = &b
	}
	if a.healthPath() != "" {
		a.beginCheck()
	}
}

// Backend returns the known state of the backend server.
func (a *Admission) Backend() Backend {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.backend
}
