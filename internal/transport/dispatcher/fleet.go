package dispatcher

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/state/exposer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/retrier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/state/selector"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// fleet holds the instances of one service, their loads and the retry budget. It
// is safe for concurrent use.
type fleet struct {
	mu          sync.Mutex
	policy      selector.Policy
	versions    versions
	members     map[identifier.InstanceID]registrar.Member
	loads       map[identifier.InstanceID]loadReport
	basis       fleetBasis
	refreshedAt timer.Millis
	window      *retrier.WindowBudget
	answers     retrier.Latencies
}

// fleetBasis is what the members of a fleet were derived from.
type fleetBasis struct {
	members  uint64
	position router.Position
	control  router.Position
}

// loadReport is the last load that an instance reported.
type loadReport struct {
	load registrar.Load
	at   timer.Millis
}

func newFleet(domain identifier.FailureDomain, window retrier.WindowBudgetConfig, now timer.Millis) *fleet {
	return &fleet{
		policy:   newPolicy(domain),
		versions: versions{domain: domain, exposer: exposer.New()},
		members:  map[identifier.InstanceID]registrar.Member{},
		loads:    map[identifier.InstanceID]loadReport{},
		window:   retrier.NewWindowBudget(window, now),
	}
}

func newPolicy(domain identifier.FailureDomain) selector.Policy {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return selector.NewFilter(selector.NewLeastExpectedTime(domain, random))
}

// step passes an event to the policies. Each ignores instances that it does not have.
func (f *fleet) step(now timer.Millis, event selector.Event) {
	f.policy.Step(now, event)
	if f.versions.policy != nil {
		f.versions.policy.Step(now, event)
	}
}

// recordRequest counts a request for the retry budget.
func (f *fleet) recordRequest(now timer.Millis, window retrier.WindowBudgetConfig) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.window.Configure(window)
	f.window.RecordRequest(now)
}

// choice is the instance that was picked for an attempt.
type choice struct {
	member registrar.Member
	// loadAt is when its load was reported.
	loadAt timer.Millis
	// version is set if the instance was picked for the target version of a roll-out.
	version identifier.ServiceVersion
}

// pick chooses an instance and counts the attempt to it.
func (f *fleet) pick(now timer.Millis, tried []identifier.InstanceID) (choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	instance, version, found := f.versions.pick(now, f.policy, tried)
	if !found {
		return choice{}, false
	}
	f.step(now, selector.AttemptSent{Instance: instance})
	c := choice{member: f.members[instance], version: version}
	last := f.loads[instance]
	c.member.Load, c.loadAt = last.load, last.at
	return c, true
}

// recordVersion records whether an attempt for the target version of a roll-out failed.
func (f *fleet) recordVersion(version identifier.ServiceVersion, failed bool) (halted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions.record(version, failed)
}

// recordAttemptEnd counts the end of an attempt.
func (f *fleet) recordAttemptEnd(now timer.Millis, instance identifier.InstanceID, latency time.Duration, result selector.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.step(now, selector.AttemptEnded{Instance: instance, Latency: latency, Result: result})
	if result == selector.Complete {
		f.answers.Observe(now, latency)
	}
}

// eject excludes an unreachable instance for a while.
func (f *fleet) eject(now timer.Millis, instance identifier.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.step(now, selector.InstanceEjected{Instance: instance})
}

// recordLoad records the load of an instance.
func (f *fleet) recordLoad(now timer.Millis, instance identifier.InstanceID, load registrar.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads[instance] = loadReport{load, now}
	f.step(now, selector.LoadReported{Instance: instance, Load: selector.Load{
		InFlight: load.Running, Queued: load.Queued, Limit: load.Limit, Cold: load.Cold,
		SlowdownPercent: load.SlowdownPercent, StartDelay: timer.Millis(load.StartDelayMs), ReceivedAt: now,
	}})
}

// setMembers sets the instances that may be picked and the roll-out of the service, if
// there is one.
func (f *fleet) setMembers(now timer.Millis, basis fleetBasis, members []registrar.Member, rollout *router.Rollout) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.basis, f.refreshedAt = basis, now
	old := f.members
	f.members = make(map[identifier.InstanceID]registrar.Member, len(members))
	instances := make([]selector.Instance, 0, len(members))
	var targets []selector.Instance
	var usable []identifier.InstanceID
	for _, m := range members {
		f.members[m.Node] = m
		instance := selector.Instance{ID: m.Node, Domain: m.FailureDomain, Slots: m.Slots}
		switch roleOf(rollout, m.Version) {
		case router.BaselineVersion:
			instances = append(instances, instance)
		case router.TargetVersion:
			targets = append(targets, instance)
		case router.RejectedVersion:
		}
		if known, found := old[m.Node]; !found || known.Incarnation != m.Incarnation {
			usable = append(usable, m.Node)
		}
	}
	for node := range f.loads {
		if _, found := f.members[node]; !found {
			delete(f.loads, node)
		}
	}
	f.policy.Step(now, selector.InstancesChanged{Instances: instances})
	f.versions.set(now, rollout, targets)
	for _, node := range usable {
		f.step(now, selector.InstanceUsable{Instance: node})
	}
}

// refreshDue reports whether the members may have changed.
func (f *fleet) refreshDue(now timer.Millis, basis fleetBasis) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return basis != f.basis || now-f.refreshedAt >= maxMembersAge
}

// lockedBudget makes the budget of a fleet safe for concurrent use.
type lockedBudget struct{ fleet *fleet }

// Take takes one retry or hedge from the budget.
func (t lockedBudget) Take(now timer.Millis) bool {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	return t.fleet.window.Take(now)
}
