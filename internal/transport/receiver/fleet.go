package receiver

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/retrier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/selector"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// PolicyName names a selection policy. All but the default are baselines
// for measurements.
type PolicyName string

// Selection policies.
const (
	PolicyPowerOfChoices PolicyName = "power_of_choices"
	PolicyRandom         PolicyName = "random"
	PolicyRoundRobin     PolicyName = "round_robin"
	PolicyLeastReported  PolicyName = "least_reported"
)

const (
	// loadFieldInterval is the shortest time between two requests for the load
	// field of one instance, so that its cost does not grow with the request rate.
	loadFieldInterval = 100 * timer.Millis(1)
	// minHedgeDelay prevents hedging of very fast services on latency noise.
	minHedgeDelay = 5 * timer.Millis(1)
	// queryPercent is the share of requests whose attempts may be queried.
	queryPercent = 20
)

// fleetConfig holds the settings shared by all fleets of a daemon.
type fleetConfig struct {
	self   identifier.InstanceID
	domain identifier.FailureDomain
	policy PolicyName
}

// fleet holds the members, policy and budgets of one service. It is safe for
// concurrent use.
type fleet struct {
	mu     sync.Mutex
	policy selector.Policy
	// probeSelector chooses the probe targets. It is also the policy, unless that is a
	// baseline; then it receives the same events as the policy.
	probeSelector *selector.PowerOfChoices
	baseline      bool
	// usesProbes says that the policy uses probe results.
	usesProbes      bool
	members         map[identifier.InstanceID]tracker.Member
	retries         *retrier.Budget
	hedges          *retrier.Budget
	queries         *retrier.Budget
	latencies       retrier.Latencies
	loadRequestedAt map[identifier.InstanceID]timer.Millis
	// service is the service that the budgets were last configured from.
	service    *parser.Service
	lastUsedAt timer.Millis
}

func newFleet(config fleetConfig, service *parser.Service, now timer.Millis) *fleet {
	seed := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	probeSelector := selector.NewPowerOfChoices(selector.Config{Self: config.self, Domain: config.domain}, seed)
	f := &fleet{
		probeSelector:   probeSelector,
		baseline:        config.policy != PolicyPowerOfChoices,
		usesProbes:      config.policy == PolicyPowerOfChoices || config.policy == PolicyLeastReported,
		members:         map[identifier.InstanceID]tracker.Member{},
		loadRequestedAt: map[identifier.InstanceID]timer.Millis{},
		retries:         retrier.NewBudget(retrier.BudgetConfig{Percent: int(service.RetryBudgetPercent)}, now),
		hedges:          retrier.NewBudget(retrier.BudgetConfig{Percent: int(service.HedgePercent)}, now),
		queries:         retrier.NewBudget(retrier.BudgetConfig{Percent: queryPercent}, now),
	}
	switch config.policy {
	case PolicyRandom:
		f.policy = selector.NewFilter(selector.NewRandom(seed))
	case PolicyRoundRobin:
		f.policy = selector.NewFilter(selector.NewRoundRobin(seed))
	case PolicyLeastReported:
		f.policy = selector.NewFilter(selector.NewLeastReported(seed))
	case PolicyPowerOfChoices:
		f.policy = selector.NewFilter(probeSelector)
	}
	return f
}

// step passes an event to the policy and, for a baseline, to probeSelector.
func (f *fleet) step(now timer.Millis, event selector.Event) {
	f.policy.Step(now, event)
	if f.baseline {
		f.probeSelector.Step(now, event)
	}
}

// recordRequest counts a request of the service.
func (f *fleet) recordRequest(now timer.Millis, service *parser.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastUsedAt = now
	if f.service != service {
		f.service = service
		f.retries.Configure(now, retrier.BudgetConfig{Percent: int(service.RetryBudgetPercent)})
		f.hedges.Configure(now, retrier.BudgetConfig{Percent: int(service.HedgePercent)})
	}
	f.retries.RecordRequest(now)
	f.hedges.RecordRequest(now)
	f.queries.RecordRequest(now)
}

// delays returns when to query and when to hedge an attempt; a hedge delay of
// zero means not to hedge.
func (f *fleet) delays() (stall, hedge timer.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	hedge = f.latencies.HedgeDelay()
	if hedge > 0 {
		hedge = max(minHedgeDelay, hedge)
	}
	return f.latencies.StallTimeout(), hedge
}

// pick chooses an instance and counts the attempt to it.
func (f *fleet) pick(now timer.Millis, tried []identifier.InstanceID) (member tracker.Member, wantLoad, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.usesProbes {
		f.probeSelector.RecordPick(now)
	}
	instance, found := f.policy.Pick(now, selector.Exclusions{Tried: tried})
	if !found {
		return tracker.Member{}, false, false
	}
	member, found = f.members[instance]
	if !found {
		return tracker.Member{}, false, false
	}
	f.step(now, selector.AttemptSent{Instance: instance})
	if last, asked := f.loadRequestedAt[instance]; !asked || now-last >= loadFieldInterval {
		f.loadRequestedAt[instance] = now
		wantLoad = true
	}
	return member, wantLoad, true
}

// recordAttemptEnd counts the end of an attempt.
func (f *fleet) recordAttemptEnd(now timer.Millis, instance identifier.InstanceID, latency time.Duration, result selector.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.step(now, selector.AttemptEnded{Instance: instance, Latency: latency, Result: result})
	if result == selector.Complete {
		f.latencies.Observe(now, latency)
	}
}

// eject temporarily excludes an instance that accepts no requests.
func (f *fleet) eject(now timer.Millis, instance identifier.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.step(now, selector.InstanceEjected{Instance: instance})
}

// recordLoad records the load of an instance.
func (f *fleet) recordLoad(now timer.Millis, instance identifier.InstanceID, load encoder.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.step(now, selector.LoadReported{Instance: instance, Load: selector.Load{
		InFlight: load.InFlight, Queued: load.Queued, Limit: load.Limit, Cold: load.Cold,
		MeanLatency: time.Duration(load.LatencyMicros) * time.Microsecond, ReceivedAt: now,
	}})
}

// setMembers sets the members that may be picked.
func (f *fleet) setMembers(now timer.Millis, members []tracker.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hasMembers(members) {
		return
	}
	f.members = make(map[identifier.InstanceID]tracker.Member, len(members))
	instances := make([]selector.Instance, 0, len(members))
	for _, m := range members {
		f.members[m.Instance] = m
		instances = append(instances, selector.Instance{ID: m.Instance, Domain: m.FailureDomain, Slots: m.Slots})
	}
	for instance := range f.loadRequestedAt {
		if _, member := f.members[instance]; !member {
			delete(f.loadRequestedAt, instance)
		}
	}
	f.step(now, selector.InstancesChanged{Instances: instances})
}

func (f *fleet) hasMembers(members []tracker.Member) bool {
	if len(members) != len(f.members) {
		return false
	}
	for _, m := range members {
		if known, found := f.members[m.Instance]; !found || known != m {
			return false
		}
	}
	return true
}

// probeTargets returns the members to probe now.
func (f *fleet) probeTargets(now timer.Millis) []tracker.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var targets []tracker.Member
	for _, instance := range f.probeSelector.ProbeTargets(now) {
		if m, found := f.members[instance]; found {
			targets = append(targets, m)
		}
	}
	return targets
}

// lockedBudget makes a budget of the fleet safe for concurrent use.
type lockedBudget struct {
	fleet  *fleet
	budget *retrier.Budget
}

// Take takes one token.
func (b lockedBudget) Take(now timer.Millis) bool {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	return b.budget.Take(now)
}
