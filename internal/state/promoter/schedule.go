package promoter

import (
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// firstShare is the first share as a part of the exposure share, so that a version that
	// is bad from the start stays below it also while its verdict takes effect.
	firstShare = 0.8
	percent    = 100

	// The following are parts of the time from the order to its deadline.

	// warmUntil is when the share is no longer limited to what warm instances can serve.
	warmUntil = 0.8
	// minStep is the shortest step. A step that began late ends late, but the last one
	// leaves a fifth of the time for draining.
	minStep = 0.08
	// maxOverdue is how long a step that is due waits for evidence.
	maxOverdue = 0.15
	// maxHeld is how long it waits while the runs of a route or a window are probably those of
	// a bad version. Such evidence is often short-lived on a day with other faults.
	maxHeld = 0.22
	// drainUntil is when draining ends even if an old instance has work left: a version
	// that is not completed in time costs more than the last runs.
	drainUntil = 0.92
	// startUntil is when an instance of the target must accept requests, or the version is
	// rolled back. A daemon that has just begun to decide waits for minStart in any case.
	startUntil = 0.8
	minStart   = 0.15
	// minDrain is the shortest time of draining in that case.
	minDrain = 0.06
	// drainReports is the number of reports of each instance before a version that gets all
	// requests is completed.
	drainReports = 3
	// signAt is the part of a step after which the sign of the evidence decides.
	signAt = 0.6
)

// step is a share of the first attempts and when it is due, as a part of the time from the
// order to its deadline.
type step struct {
	from    float64
	percent float64
}

// steps are the shares after the first one. Draining follows a share of 100 %.
var steps = [...]step{{0.45, 25}, {0.55, 50}, {0.65, 100}}

// schedule is the timetable of the step in force.
type schedule struct {
	// begun is when this daemon saw the step begin, in Unix ms.
	begun timer.Millis
	// start and duration are those of the order.
	start, duration timer.Millis
}

func (s schedule) part(part float64) timer.Millis { return timer.Millis(part * float64(s.duration)) }

// due returns when a step may begin.
func (s schedule) due(from float64) timer.Millis {
	return max(s.start+s.part(from), s.begun+s.part(minStep))
}

// signDue returns when the sign of the evidence decides on the step that follows.
func (s schedule) signDue(next step) timer.Millis {
	return s.begun + timer.Millis(signAt*float64(s.due(next.from)-s.begun))
}

// overdue reports whether a step has been due for a part of the time.
func (s schedule) overdue(wall timer.Millis, next step, part float64) bool {
	return wall >= s.due(next.from)+s.part(part)
}

// next returns the step after a share. Before the deadline, steps whose successor is due
// as well are skipped, or a roll-out that was held up could not be completed in time.
func (s schedule) next(wall timer.Millis, share float64) step {
	next := len(steps) - 1
	for n := len(steps) - 1; n >= 0 && steps[n].percent > share; n-- {
		next = n
	}
	for wall < s.start+s.duration && next+1 < len(steps) && wall >= s.due(steps[next+1].from) {
		next++
	}
	return steps[next]
}

// limited returns the highest step up to the given one that warm instances can serve.
func (s schedule) limited(wall timer.Millis, next step, share, warmPercent float64) (step, bool) {
	if wall >= s.start+s.part(warmUntil) || warmPercent >= next.percent {
		return next, true
	}
	for n := len(steps) - 1; n >= 0; n-- {
		if steps[n].percent > share && steps[n].percent <= min(warmPercent, next.percent) {
			return steps[n], true
		}
	}
	return step{}, false
}

// rank orders the progress of one target. Progress never goes back to a lower rank.
func rank(p router.RolloutProgress) float64 {
	switch p.Phase {
	case router.RolloutPending:
		return 1
	case router.RolloutRunning:
		return 2 + p.Percent/percent // At most 3.
	case router.RolloutDraining:
		return 4
	case router.RolloutCompleted, router.RolloutRolledBack:
		return 5
	}
	return 0
}
