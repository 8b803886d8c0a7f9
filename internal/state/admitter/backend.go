package admitter

import (
	"cmp"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// backend is what the backend server last announced.
type backend struct {
	incarnation identifier.Incarnation
	state       BackendState
	slots       int
	// proven means that it has announced itself since its last known crash.
	proven bool
}

// predecessor counts requests that a daemon before this one, or another path,
// sent to the backend server and that may still run. The reported count also
// holds this daemon's own requests, so it only ever lowers the number.
type predecessor struct {
	count int
	since timer.Millis
}

// foreign returns how many such requests occupy capacity. None can run longer
// than the maximum timeout.
func (a *Admitter) foreign() int {
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
		a.ramp.drop(a.now, a.limits.ColdLimit)
	case b.state == Starting && e.State == Ready:
		a.ramp.drop(a.now, a.limits.ColdLimit)
	}
	a.predecessor.count = min(a.predecessor.count, inFlight)
	*b = backend{incarnation: e.Incarnation, state: e.State, slots: int(max(0, e.Slots)), proven: true}
}

// lose reports the requests that ran in the crash of the backend server that
// ended a run, and marks them so that the crash is reported once.
func (a *Admitter) lose(ended run) BackendCrash {
	lost := BackendCrash{Uncertain: !ended.proven || a.foreign() > 0}
	for attempt, r := range a.running {
		if r.lost || r.incarnation != ended.incarnation {
			continue
		}
		r.lost = true
		a.running[attempt] = r
		lost.Running = append(lost.Running, Running{
			Attempt: attempt, Fingerprint: r.fingerprint, HasFingerprint: r.hasFingerprint, Solo: r.solo,
		})
	}
	// The order of a map would make the actions differ between runs.
	slices.SortFunc(lost.Running, func(x, y Running) int {
		return cmp.Or(cmp.Compare(x.Attempt.Origin, y.Attempt.Origin), cmp.Compare(x.Attempt.Sequence, y.Attempt.Sequence))
	})
	if ended.incarnation == a.backend.incarnation {
		a.backend.proven = false
	}
	return lost
}

// full is the limit of a warm backend server in normal operation.
func (a *Admitter) full() int { return max(0, min(a.limits.MaxInFlight, a.backend.slots)) }

// limit returns how many requests may run now.
func (a *Admitter) limit() int {
	full := a.full()
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
