package promoter

import (
	"math"

	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
)

var (
	// signRatio is the log likelihood ratio of a step from which the version is rolled back
	// when the sign is examined. With zero, 2.5 % of the good versions were rolled back in
	// tests with other faults, at about 20 runs in the step. Between zero and this the step
	// waits for more runs.
	signRatio = math.Log(20)
	// holdRatio is the ratio of any route and window from which a step waits.
	holdRatio = math.Log(100)
)

// decide examines the evidence. A verdict against the version is final for its order: it
// is told to the instances at once, before the store is written.
func (p *Promoter) decide() {
	if p.state.Phase.Final() {
		return
	}
	p.verdict = p.comparer.Verdict(p.now)
	if p.rollback != "" {
		return
	}
	p.rollback = p.reasonToRollBack()
	if p.rollback != "" {
		p.log(p.rollback, p.verdict)
		p.askNow()
	}
}

// reasonToRollBack returns an empty text if there is none.
func (p *Promoter) reasonToRollBack() string {
	if p.withdrawnSince > 0 {
		if p.now-p.withdrawnSince >= withdrawnFor {
			return "order withdrawn"
		}
		return ""
	}
	if p.verdict.Bad {
		return "version is bad"
	}
	switch p.state.Phase {
	case router.RolloutPending:
		if p.unserved(startUntil, minStart) {
			return "no instance of the version accepts requests"
		}
	case router.RolloutRunning:
		return p.reasonToEndStep()
	case router.RolloutDraining:
		if p.unserved(drainUntil, minDrain) {
			return "no instance of the version accepts requests any more"
		}
		if p.suspect() && p.ended(drainUntil, minDrain) {
			return "version is probably bad"
		}
	case router.RolloutCompleted, router.RolloutRolledBack:
	}
	return ""
}

// reasonToEndStep examines a step with too little evidence: its sign is examined once, in
// time for the next step. A step that is due without evidence for the version waits until
// it is overdue, also if there was no run at all.
func (p *Promoter) reasonToEndStep() string {
	next := p.schedule.next(p.wall, p.state.Percent)
	if !p.judged && !p.verdict.Good && p.verdict.StepRuns > 0 && p.wall >= p.schedule.signDue(next) {
		p.judged = true
		if p.verdict.StepRatio >= signRatio {
			return "version is rather bad than good"
		}
	}
	if p.verdict.StepRatio >= 0 && p.schedule.overdue(p.wall, next, maxOverdue) {
		return "too little evidence that the version is good"
	}
	if p.verdict.Ratio >= holdRatio && p.schedule.overdue(p.wall, next, maxHeld) {
		return "version is probably bad"
	}
	return ""
}

// desired returns the progress that is to be stored.
func (p *Promoter) desired() router.RolloutProgress {
	next := p.state
	switch {
	case p.state.Phase.Final():
	case p.rollback != "":
		next.Phase, next.Percent = router.RolloutRolledBack, 0
	case p.order.Duration <= 0:
	case p.state.Phase == router.RolloutPending:
		if p.fleet.accepts(p.order.Target) && p.store.has(p.state) {
			next.Phase, next.Percent = router.RolloutRunning, firstShare*p.config.ExposureShare*percent
		}
	case p.state.Phase == router.RolloutRunning:
		next = p.nextStep(next)
	case p.mayComplete():
		next.Phase, next.Percent = router.RolloutCompleted, percent
	}
	return next
}

// nextStep returns the next share if it is due and the evidence allows it.
func (p *Promoter) nextStep(progress router.RolloutProgress) router.RolloutProgress {
	next := p.schedule.next(p.wall, progress.Percent)
	against := p.verdict.StepRatio >= 0 || p.verdict.Ratio >= holdRatio
	if p.wall < p.schedule.due(next.from) || against || !p.fleet.accepts(p.order.Target) {
		return progress
	}
	next, allowed := p.schedule.limited(p.wall, next, progress.Percent, p.fleet.warmPercent(p.order.Target))
	switch {
	case !allowed:
	case next.percent >= percent:
		progress.Phase, progress.Percent = router.RolloutDraining, percent
	default:
		progress.Percent = next.percent
	}
	return progress
}

// ended reports whether the time of a phase is over: a part of the time of the order has
// passed, and this daemon has known the phase for another part.
func (p *Promoter) ended(until, known float64) bool {
	return p.wall >= p.schedule.start+p.schedule.part(until) && p.wall >= p.schedule.begun+p.schedule.part(known)
}

// unserved reports whether no instance of the target can get requests at the end of a phase.
func (p *Promoter) unserved(until, known float64) bool {
	return p.ended(until, known) && !p.fleet.accepts(p.order.Target)
}

// suspect reports whether the runs while draining are rather those of a bad version. It is
// not completed then: its old instances would stop.
func (p *Promoter) suspect() bool {
	return p.verdict.StepRatio >= signRatio || p.verdict.Ratio >= holdRatio
}

// mayComplete reports whether the old instances may stop.
func (p *Promoter) mayComplete() bool {
	drainingFor := p.wall - p.schedule.begun
	if drainingFor < idleBefore || !p.fleet.accepts(p.order.Target) || p.suspect() {
		return false
	}
	// A version may be bad only with all requests, so their runs count once more. The first
	// reports while draining hold runs that began before.
	judged := p.verdict.Good && drainingFor >= drainReports*askInterval
	return p.ended(drainUntil, minDrain) || judged && p.fleet.drained(p.order.Target, p.now-drainingFor)
}
