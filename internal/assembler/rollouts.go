package assembler

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/state/comparer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/promoter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	rolloutInterval = 250 * timer.Millis(1)
	controlTimeout  = 800 * timer.Millis(1)
	// finalSpan is how long a daemon is prepared to complete the status of a finished
	// roll-out. It outlasts the 1.8 s until a killed deciding daemon is replaced.
	finalSpan = 10 * timer.Second
)

// rolloutsConfig holds what rollouts needs.
type rolloutsConfig struct {
	Store ControlStore
	Clock timer.Clock
	// Snapshot returns the snapshot in force, Adopt puts a newer one in force.
	Snapshot func() *router.Snapshot
	Adopt    func(*router.Snapshot)
	// Deciding reports whether this daemon decides, Reachable whether it reaches the store.
	Deciding  func() bool
	Reachable func() bool
	// Ask asks the instances of a service for their counts.
	Ask func(service identifier.ServiceName, target identifier.ServiceVersion, halt bool)
	// ExposureShare is the share that a bad version may get; zero means the default.
	ExposureShare float64
	Logger        *slog.Logger
}

// rollout is a roll-out that is not settled.
type rollout struct {
	// promoter is nil while another daemon decides.
	promoter *promoter.Promoter
	target   identifier.ServiceVersion
	// finalAt is when the final phase was first seen, published the last published state.
	finalAt   timer.Millis
	published rolloutState
}

// rolloutState is the part of a progress that the operator's status shows.
type rolloutState struct {
	target identifier.ServiceVersion
	phase  router.RolloutPhase
}

func stateOf(p router.RolloutProgress) rolloutState { return rolloutState{p.Target, p.Phase} }

// rollouts runs the roll-outs on the deciding daemon. It works only while there is one
// that is not settled: it is unfinished, or its final phase may not be published yet. It
// is safe for concurrent use.
type rollouts struct {
	config rolloutsConfig
	shares *shares

	mu sync.Mutex
	// ctx is nil until Start.
	ctx      context.Context
	running  bool
	deciding bool
	open     map[identifier.ServiceName]*rollout
	// settled holds the final states that need no more work, as of an era of the store.
	settled map[identifier.ServiceName]rolloutState
	era     identifier.Era
}

func newRollouts(config rolloutsConfig) *rollouts {
	return &rollouts{
		config: config, shares: newShares(config.Logger),
		open: map[identifier.ServiceName]*rollout{}, settled: map[identifier.ServiceName]rolloutState{},
	}
}

// Start lets the work begin, which ends with the context.
func (r *rollouts) Start(ctx context.Context) {
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	r.SnapshotChanged()
}

// SnapshotChanged begins the work if the snapshot in force asks for it.
func (r *rollouts) SnapshotChanged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := r.config.Snapshot()
	r.shares.show(snapshot)
	if r.running || r.ctx == nil || r.ctx.Err() != nil || len(r.update(snapshot)) == 0 {
		return
	}
	r.running = true
	go r.run(r.ctx)
}

// Decides reports whether this daemon decides on the roll-out of a service.
func (r *rollouts) Decides(service registrar.ServiceKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.deciding {
		return false
	}
	for name := range r.open {
		if registrar.KeyOf(name) == service {
			return true
		}
	}
	return false
}

// Counted passes on what an instance has counted.
func (r *rollouts) Counted(report comparer.Report) {
	r.mu.Lock()
	var p *promoter.Promoter
	if open, found := r.open[report.Service]; found {
		p = open.promoter
	}
	r.mu.Unlock()
	if p != nil {
		r.step(report.Service, p, promoter.Counted{Report: report})
	}
}

func (r *rollouts) run(ctx context.Context) {
	ticker := time.NewTicker(rolloutInterval.Duration())
	defer ticker.Stop()
	for r.tick() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tick passes the state of each roll-out to its promoter. It returns false, and run ends,
// if there is none.
func (r *rollouts) tick() bool {
	deciding := r.config.Deciding()
	r.mu.Lock()
	snapshot := r.config.Snapshot()
	due := r.update(snapshot)
	r.running, r.deciding = len(due) > 0, deciding
	promoters := make([]*promoter.Promoter, len(due))
	for i, state := range due {
		promoters[i] = r.prepare(state, deciding)
	}
	r.mu.Unlock()
	for i, state := range due {
		if promoters[i] != nil {
			r.step(state.Service, promoters[i], promoter.Observed{
				Rollout: state, Position: snapshot.Control.Position(), Wall: r.config.Clock.Wall(),
			})
		}
	}
	return len(due) > 0
}

// prepare returns the promoter of a roll-out. One that begins to decide reads the store
// before it writes, so none is kept from an earlier time. The lock must be held.
func (r *rollouts) prepare(state router.Rollout, deciding bool) *promoter.Promoter {
	open := r.open[state.Service]
	open.target = state.Target
	switch {
	case !deciding:
		open.promoter = nil
	case open.promoter == nil:
		open.promoter = promoter.New(promoter.Config{Service: state.Service, ExposureShare: r.config.ExposureShare})
	}
	return open.promoter
}

// update returns the roll-outs that are not settled. The lock must be held.
func (r *rollouts) update(snapshot *router.Snapshot) []router.Rollout {
	if era := snapshot.Control.Era; era != r.era {
		r.era = era
		clear(r.settled) // The store may have lost them.
	}
	var due []router.Rollout
	for _, service := range snapshot.RolloutServices() {
		state, found := snapshot.Rollout(service)
		if found && !r.settle(snapshot, state) {
			due = append(due, state)
		}
	}
	for service := range r.open {
		if !slices.ContainsFunc(due, func(s router.Rollout) bool { return s.Service == service }) {
			delete(r.open, service)
		}
	}
	return due
}

// settle reports whether a roll-out is settled.
func (r *rollouts) settle(snapshot *router.Snapshot, state router.Rollout) bool {
	current := stateOf(state.RolloutProgress)
	if r.settled[state.Service] == current {
		return true
	}
	delete(r.settled, state.Service)
	open, found := r.open[state.Service]
	if !found {
		open = &rollout{}
		r.open[state.Service] = open
	}
	now := r.config.Clock.Now()
	stored, _ := snapshot.Control.Progress(state.Service)
	if !state.Phase.Final() || stateOf(stored) != current || open.finalAt == 0 || !r.config.Reachable() {
		open.finalAt = now
	}
	if open.published != current && now-open.finalAt < finalSpan {
		return false
	}
	if !state.Phase.Final() || stateOf(stored) != current {
		return false
	}
	r.settled[state.Service] = current
	return true
}

// step passes an event to a promoter, unless it was replaced, and performs its actions.
func (r *rollouts) step(service identifier.ServiceName, p *promoter.Promoter, event promoter.Event) {
	r.mu.Lock()
	open, found := r.open[service]
	if !found || open.promoter != p {
		r.mu.Unlock()
		return
	}
	actions, target, ctx := slices.Clone(p.Step(r.config.Clock.Now(), event)), open.target, r.ctx
	r.mu.Unlock()
	for _, action := range actions {
		if log, isLog := action.(promoter.Log); isLog {
			r.log(log)
			continue
		}
		if ask, isAsk := action.(promoter.Ask); isAsk {
			r.config.Ask(service, target, ask.Halt)
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, controlTimeout.Duration())
			defer cancel()
			r.step(service, p, r.access(ctx, service, action))
		}()
	}
}

func (r *rollouts) log(l promoter.Log) {
	v := l.Verdict
	r.config.Logger.Info("roll-out: "+l.Message, "service", l.Progress.Service, "target", l.Progress.Target,
		"phase", l.Progress.Phase, "percent", l.Progress.Percent, "bad", v.Bad, "good", v.Good, "ratio", v.Ratio,
		"route", v.Route, "window_ms", v.Window, "target_runs", v.Target.Runs, "target_bad", v.Target.Bad,
		"baseline_runs", v.Baseline.Runs, "baseline_bad", v.Baseline.Bad, "step_ratio", v.StepRatio, "step_runs", v.StepRuns)
}
