package admitter

import (
	"cmp"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// backend is the last announcement of the backend server.
type backend struct {
	incarnation identifier.Incarnation
	state       BackendState
	slots       int
	// announcedSinceCrash means that it has announced itself since its last known
	// crash.
	announcedSinceCrash bool
}

// predecessor counts requests that a previous daemon, or another path, sent to
// the backend server and that may still be running. The count that the server
// reports includes this daemon's own requests, so it may only lower the number.
type predecessor struct {
	count int
	since timer.Millis
}

// predecessorRunning returns how many such requests occupy capacity. None can run
// longer than the maximum timeout.
func (a *Admitter) predecessorRunning() int {
	p := &a.predecessor
	if p.count > 0 && a.limits.Version > 0 && a.now-p.since >= a.limits.MaxTimeout {
		p.count = 0
	}
	return p.count
}

func (a *Admitter) announce(e Announce) {
	b := &a.backend
	first := b.state == Unannounced
	if e.State < Starting || e.State > Draining {
		return
	}
	if !first && (e.Incarnation < b.incarnation || (e.Incarnation == b.incarnation && e.State < b.state)) {
		return
	}
	inFlight := max(0, e.InFlight)
	renewed := first || e.Incarnation > b.incarnation
	switch {
	case renewed:
		a.predecessor = predecessor{count: inFlight, since: a.now}
		a.ramp.reset(a.now, a.limits.ColdLimit)
	case b.state == Starting && e.State == Ready:
		a.ramp.reset(a.now, a.limits.ColdLimit)
	}
	a.predecessor.count = min(a.predecessor.count, inFlight)
	*b = backend{incarnation: e.Incarnation, state: e.State, slots: int(max(0, e.Slots)), announcedSinceCrash: true}
}

// recordCrash returns the attempts that were running when the backend server
// crashed and marks them, so that the crash is reported once. The given run is the
// one whose end revealed the crash.
func (a *Admitter) recordCrash(ended run) BackendCrash {
	crash := BackendCrash{Uncertain: !ended.announcedSinceCrash || a.predecessorRunning() > 0}
	for attempt, r := range a.running {
		if r.crashReported || r.incarnation != ended.incarnation {
			continue
		}
		r.crashReported = true
		a.running[attempt] = r
		crash.Running = append(crash.Running, Running{
			Attempt: attempt, Fingerprint: r.fingerprint, HasFingerprint: r.hasFingerprint, Solo: r.solo,
		})
	}
	// Sorted, since the iteration order of a map would make the actions differ
	// between executions.
	slices.SortFunc(crash.Running, func(x, y Running) int {
		return cmp.Or(cmp.Compare(x.Attempt.Origin, y.Attempt.Origin), cmp.Compare(x.Attempt.Sequence, y.Attempt.Sequence))
	})
	if ended.incarnation == a.backend.incarnation {
		a.backend.announcedSinceCrash = false
	}
	return crash
}

// warmLimit is the limit of a backend server that is not cold, in a failure domain
// with its full share.
func (a *Admitter) warmLimit() int { return max(0, min(a.limits.MaxInFlight, a.backend.slots)) }

// limit returns how many attempts may run at this time.
func (a *Admitter) limit() int {
	full := a.warmLimit()
	limit := full
	if a.ramp.cold {
		limit = min(limit, a.ramp.limit)
	}
	switch share := a.domain.RampShare; {
	case a.domain.Out:
		return 0
	case share >= 1:
		return limit
	case share > 0:
		return min(limit, max(1, int(share*float64(full))))
	default:
		return min(limit, 1)
	}
}
