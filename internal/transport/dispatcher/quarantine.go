package dispatcher

import (
	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// handleCrash reports to the quarantiner which requests ran when the backend
// server crashed.
func (a *Admission) handleCrash(now timer.Millis, act admitter.BackendCrash) {
	crash := quarantiner.Crash{Uncertain: act.Uncertain}
	for _, r := range act.Running {
		crash.Running = append(crash.Running, quarantiner.Running{
			Fingerprint: r.Fingerprint, HasFingerprint: r.HasFingerprint, Solo: r.Solo,
		})
	}
	a.order.Gone()
	a.config.Logger.Warn("backend server crashed", "backend", a.backend.ID, "running", len(act.Running), "uncertain", act.Uncertain)
	a.quarantine(now, crash)
}

func (a *Admission) quarantine(now timer.Millis, event quarantiner.Event) {
	var broadcast []quarantiner.Entry
	for _, action := range a.quarantiner.Step(a.config.Clock.Wall(), event, nil) {
		switch act := action.(type) {
		case quarantiner.Broadcast:
			broadcast = append(broadcast, act.Entry)
			a.config.Logger.Warn("sending quarantine entry to other daemons", "fingerprint", act.Entry.Fingerprint, "kind", act.Entry.Kind)
		case quarantiner.VerdictChanged:
			a.step(now, admitter.Restrict{
				Fingerprint: act.Fingerprint, TimeLeft: act.TimeLeft,
				Solo: act.Verdict == quarantiner.RunSolo, Refuse: act.Verdict == quarantiner.Refuse,
			})
		}
	}
	if len(broadcast) > 0 {
		a.config.BroadcastQuarantine(broadcast)
	}
}

// QuarantineEntries returns up to limit entries that restrict requests.
func (a *Admission) QuarantineEntries(limit int) []quarantiner.Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.quarantiner.InForce(a.config.Clock.Wall(), limit)
}

// AddQuarantineEntries applies quarantine entries of another daemon of the service and
// returns those that changed a verdict.
func (a *Admission) AddQuarantineEntries(entries []quarantiner.Entry) []quarantiner.Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	var added []quarantiner.Entry
	for _, entry := range entries {
		before, _ := a.quarantiner.Verdict(a.config.Clock.Wall(), entry.Fingerprint)
		a.quarantine(a.config.Clock.Now(), quarantiner.Remote{Entry: entry})
		if after, _ := a.quarantiner.Verdict(a.config.Clock.Wall(), entry.Fingerprint); after != before {
			added = append(added, entry)
		}
	}
	return added
}
