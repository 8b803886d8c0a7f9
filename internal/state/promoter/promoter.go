// Package promoter decides on the steps and phases of a service's roll-out.
//
// # Usage
//
// There is one Promoter for each service with an order, on the daemon that decides. Its
// owner passes the state of the roll-out every 250 ms, the reports of the instances and
// the answers of the store, and carries out the actions:
//
//	p := promoter.New(promoter.Config{Service: service, ExposureShare: 0.1})
//	for _, action := range p.Step(now, promoter.Observed{Rollout: rollout, Position: position, Wall: wall}) {
//		switch a := action.(type) {
//		case promoter.Write:
//			...
//		}
//	}
//
// At most one action that accesses the store is outstanding. Its owner answers it with one
// event, after a time limit with the event of a failure.
//
// # Several promoters
//
// Two daemons may decide at the same time, and one that was paused may continue with what
// it knew before. A Promoter therefore writes and publishes only right after it has read
// the store, or after its own write; a pause makes what it has read invalid. A write is
// conditional on nothing having been written since, and a refused one or one without an
// answer is followed by a read. For one target, the progress never goes back: if the store
// has lost records, what the Promoter knows is written again.
//
// A Promoter is not safe for concurrent use.
package promoter

import (
	"slices"

	"github.com/magnoliaknot/magnoliaknot/internal/state/comparer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// defaultExposureShare is the default of the setting rollout.exposure_share.
	defaultExposureShare = 0.05
	// askInterval is the time between two questions to the instances.
	askInterval = 500 * timer.Millis(1)
	// pauseAfter is the time between two events from which the daemon counts as paused,
	// twice the interval of Observed.
	pauseAfter = 500 * timer.Millis(1)
	// withdrawnFor is how long an order is absent before it is stored as rolled back. A
	// store that was restored from a copy may get the order again.
	withdrawnFor = 2 * timer.Second
)

// Config describes the service. Zero fields take their default.
type Config struct {
	Service identifier.ServiceName
	// ExposureShare is the share of all requests that a bad version may get; 0.05 by
	// default.
	ExposureShare float64
}

// Promoter decides on the roll-outs of one service.
type Promoter struct {
	config Config
	store  store
	fleet  fleet
	// comparer is nil while no order is known.
	comparer *comparer.Comparer

	// order is the order in force; its duration is zero if it was withdrawn.
	order router.RolloutOrder
	// state is the progress as far as it was decided and stored, by anyone.
	state    router.RolloutProgress
	schedule schedule
	// judged says that the sign of the evidence was examined for this step.
	judged bool
	// rollback is the reason to roll back, empty if there is none.
	rollback string
	verdict  comparer.Verdict
	// decided is the verdict upon which the latest write was decided.
	decided comparer.Verdict

	// wall is the Unix time at now, the time of the last event.
	wall, now      timer.Millis
	askedAt        timer.Millis
	withdrawnSince timer.Millis
	actions        []Action
}

// New returns a Promoter that knows of no order.
func New(config Config) *Promoter {
	if config.ExposureShare <= 0 {
		config.ExposureShare = defaultExposureShare
	}
	return &Promoter{config: config, fleet: fleet{}}
}

// Step handles one event and returns the actions to carry out, in order. The result is
// valid until the next call.
func (p *Promoter) Step(now timer.Millis, event Event) []Action {
	p.actions = p.actions[:0]
	p.wall += now - p.now
	if now-p.now >= pauseAfter {
		p.paused(now)
	}
	p.now = now
	switch e := event.(type) {
	case Observed:
		p.observed(e)
	case Counted:
		p.counted(e.Report)
	default:
		p.answered(event)
	}
	return p.actions
}

// paused makes what was known before a pause invalid. A step then waits for new reports.
func (p *Promoter) paused(now timer.Millis) {
	p.store.paused()
	p.fleet.expire(now)
	p.verdict = comparer.Verdict{}
}

func (p *Promoter) observed(e Observed) {
	p.wall = e.Wall
	if e.Rollout.Service != p.config.Service || e.Rollout.Target == "" {
		return
	}
	p.adoptOrder(e.Rollout)
	p.store.observed(e.Position)
	// A rolled back order without a duration was withdrawn, whatever the store holds.
	if withdrawn := e.Rollout.Duration <= 0; !withdrawn && !e.Position.Before(p.store.position) {
		p.adopt(e.Rollout.RolloutProgress)
	}
	p.fleet.expire(p.now)
	p.decide()
	p.ask()
	p.advance()
}

// adoptOrder puts an order in force.
func (p *Promoter) adoptOrder(r router.Rollout) {
	if r.Duration > 0 {
		p.withdrawnSince = 0
	} else if p.withdrawnSince == 0 {
		p.withdrawnSince = p.now
	}
	if r.Target == p.order.Target {
		p.order.Duration = r.Duration
		if r.Duration > 0 {
			p.schedule.duration = r.Duration
		}
		return
	}
	p.order = router.RolloutOrder{Service: p.config.Service, Target: r.Target, Duration: r.Duration}
	p.state = router.RolloutProgress{Service: p.config.Service, Target: r.Target, Phase: router.RolloutPending, StartedAt: p.wall}
	p.comparer = comparer.New(comparer.Config{Service: p.config.Service, Target: r.Target})
	p.fleet = fleet{}
	p.schedule = schedule{begun: p.wall, start: p.wall, duration: r.Duration}
	p.judged, p.rollback, p.verdict, p.decided = false, "", comparer.Verdict{}, comparer.Verdict{}
	p.store.newOrder()
	if r.Duration > 0 {
		p.log("order seen", p.verdict)
	}
}

// adopt continues from a progress that is further than the known one.
func (p *Promoter) adopt(progress router.RolloutProgress) {
	if progress.Target != p.order.Target {
		return
	}
	for _, version := range progress.Rejected {
		if !slices.Contains(p.state.Rejected, version) {
			p.state.Rejected = append(slices.Clone(p.state.Rejected), version)
		}
	}
	if progress.StartedAt > 0 {
		p.state.StartedAt, p.schedule.start = progress.StartedAt, progress.StartedAt
	}
	if rank(progress) > rank(p.state) {
		p.state.Phase, p.state.Percent = progress.Phase, progress.Percent
		p.beginStep()
		p.log("step in force", p.decided)
	}
}

func (p *Promoter) beginStep() {
	p.schedule.begun, p.judged = p.wall, false
	p.comparer.BeginStep()
}

func (p *Promoter) counted(r comparer.Report) {
	if p.comparer == nil || r.Service != p.config.Service || r.Target != p.order.Target || r.Check() != nil {
		return
	}
	p.comparer.Observe(p.now, r)
	p.fleet.observe(p.now, r)
}

// ask asks the instances for their counts while the order is not finished, and repeats a
// halt until the end is stored.
func (p *Promoter) ask() {
	finished := p.state.Phase.Final() && p.store.has(p.state)
	if finished || p.now-p.askedAt < askInterval && p.askedAt > 0 {
		return
	}
	p.askNow()
}

func (p *Promoter) askNow() {
	p.askedAt = p.now
	p.add(Ask{Halt: p.rollback != ""})
}

func (p *Promoter) add(action Action) { p.actions = append(p.actions, action) }

func (p *Promoter) log(message string, verdict comparer.Verdict) {
	p.add(Log{Message: message, Progress: p.state, Verdict: verdict})
}
