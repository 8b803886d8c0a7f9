package dispatcher

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/magnoliaknot/magnoliaknot/internal/state/comparer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// rolloutState is what admission counts during a roll-out of its service.
type rolloutState struct {
	target    identifier.ServiceVersion
	halted    bool
	sequence  uint64
	collector *comparer.Collector
	lastStart timer.Millis
}

// versionAdmits reports whether the roll-out of the service, if there is one, allows an
// attempt. Marked is the version that the sender chose.
func (a *Admission) versionAdmits(snapshot *router.Snapshot, marked identifier.ServiceVersion) bool {
	rollout, found := snapshot.Rollout(a.config.Member.Service)
	if !found {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.haltedFor(rollout) && rollout.Admits(a.backend.Version, marked != "" && marked == a.backend.Version)
}

// haltedFor reports whether the backend server has the target version of a roll-out that
// was halted and still runs. The caller holds the lock.
func (a *Admission) haltedFor(rollout router.Rollout) bool {
	return a.rollout.halted && rollout.Phase == router.RolloutRunning && a.rollout.target == rollout.Target && rollout.Role(a.backend.Version) == router.TargetVersion
}

// describeVersion adds the version to the description of this daemon during a roll-out of
// its service. The caller holds the lock.
func (a *Admission) describeVersion(m *registrar.Member) {
	rollout, found := a.config.Configuration.Snapshot().Rollout(m.Service)
	if !found {
		return
	}
	m.Version = a.backend.Version
	m.Accepting = m.Accepting && !a.haltedFor(rollout) && rollout.Admits(m.Version, true)
}

// Halt makes a backend server of the target version refuse attempts until the roll-out has
// ended or another one begins.
func (a *Admission) Halt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	rollout, found := a.config.Configuration.Snapshot().Rollout(a.config.Member.Service)
	if !found || rollout.Role(a.backend.Version) != router.TargetVersion {
		return
	}
	a.followRollout(rollout)
	if a.rollout.halted {
		return
	}
	a.rollout.halted = true
	a.config.Logger.Warn("roll-out halted", "service", a.config.Member.Service, "target", rollout.Target)
	a.config.OnChange()
}

// followRollout starts the counts anew for another target. The caller holds the lock.
func (a *Admission) followRollout(rollout router.Rollout) {
	if a.rollout.collector == nil || a.rollout.target != rollout.Target {
		a.rollout = rolloutState{
			target: rollout.Target, collector: comparer.NewCollector(),
			sequence: a.rollout.sequence, lastStart: a.rollout.lastStart,
		}
	}
}

// recordRun counts an ended run for the comparison of versions.
func (a *Admission) recordRun(r *Run, before registrar.Load, failed bool, latency timer.Millis) {
	rollout, found := a.config.Configuration.Snapshot().Rollout(a.config.Member.Service)
	if !found || rollout.Phase.Final() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.followRollout(rollout)
	a.rollout.collector.Record(r.route, comparer.Run{
		Failed: failed, Duration: latency, SlowdownPercent: before.SlowdownPercent, Cold: before.Cold,
	})
	result := "good"
	if failed {
		result = "failed"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliaknot_rollout_runs_total{service=%q,version=%q,result=%q}`,
		a.config.Member.Service, a.backend.Version, result)).Inc()
}

// Outcomes returns the counts of this instance for the roll-out of its service, or false
// if there is none.
func (a *Admission) Outcomes() (comparer.Report, bool) {
	snapshot := a.config.Configuration.Snapshot()
	rollout, found := snapshot.Rollout(a.config.Member.Service)
	if !found {
		return comparer.Report{}, false
	}
	member, _ := a.Member()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.followRollout(rollout)
	a.rollout.sequence++
	return comparer.Report{
		Node: member.Node, Incarnation: member.Incarnation, Sequence: a.rollout.sequence,
		Service: member.Service, Version: a.backend.Version, Target: rollout.Target, Phase: rollout.Phase,
		Halted: a.rollout.halted, Accepting: a.accepting(), Cold: member.Load.Cold, Slots: member.Slots,
		Running: member.Load.Running + member.Load.Queued, IdleForMs: a.config.Clock.Now() - a.rollout.lastStart,
		Routes: a.rollout.collector.Routes(),
	}, true
}
