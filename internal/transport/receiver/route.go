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

// routeConfig holds the settings shared by all routes of a daemon.
type routeConfig struct {
	self   identifier.InstanceID
	domain identifier.FailureDomain
	policy PolicyName
}

// route holds the members, policy and budgets of one service. It is safe for
// concurrent use.
type route struct {
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

func newRoute(config routeConfig, service *parser.Service, now timer.Millis) *route {
	seed := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	probeSelector := selector.NewPowerOfChoices(selector.Config{Self: config.self, Domain: config.domain}, seed)
	r := &route{
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
		r.policy = selector.NewFilter(selector.NewRandom(seed))
	case PolicyRoundRobin:
		r.policy = selector.NewFilter(selector.NewRoundRobin(seed))
	case PolicyLeastReported:
		r.policy = selector.NewFilter(selector.NewLeastReported(seed))
	case PolicyPowerOfChoices:
		r.policy = selector.NewFilter(probeSelector)
	}
	return r
}

// step passes an event to the policy and, for a baseline, to probeSelector.
func (r *route) step(now timer.Millis, event selector.Event) {
	r.policy.Step(now, event)
	if r.baseline {
		r.probeSelector.Step(now, event)
	}
}

// recordRequest counts a request of the service.
func (r *route) recordRequest(now timer.Millis, service *parser.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastUsedAt = now
	if r.service != service {
		r.service = service
		r.retries.Configure(now, retrier.BudgetConfig{Percent: int(service.RetryBudgetPercent)})
		r.hedges.Configure(now, retrier.BudgetConfig{Percent: int(service.HedgePercent)})
	}
	r.retries.RecordRequest(now)
	r.hedges.RecordRequest(now)
	r.queries.RecordRequest(now)
}

// delays returns when to query and when to hedge an attempt; a hedge delay of
// zero means not to hedge.
func (r *route) delays() (stall, hedge timer.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	hedge = r.latencies.HedgeDelay()
	if hedge > 0 {
		hedge = max(minHedgeDelay, hedge)
	}
	return r.latencies.StallTimeout(), hedge
}

// pick chooses an instance and counts the attempt to it.
func (r *route) pick(now timer.Millis, tried []identifier.InstanceID) (member tracker.Member, wantLoad, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.usesProbes {
		r.probeSelector.RecordPick(now)
	}
	instance, found := r.policy.Pick(now, selector.Exclusions{Tried: tried})
	if !found {
		return tracker.Member{}, false, false
	}
	member, found = r.members[instance]
	if !found {
		return tracker.Member{}, false, false
	}
	r.step(now, selector.AttemptSent{Instance: instance})
	if last, asked := r.loadRequestedAt[instance]; !asked || now-last >= loadFieldInterval {
		r.loadRequestedAt[instance] = now
		wantLoad = true
	}
	return member, wantLoad, true
}

// recordAttemptEnd counts the end of an attempt.
func (r *route) recordAttemptEnd(now timer.Millis, instance identifier.InstanceID, latency time.Duration, result selector.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.step(now, selector.AttemptEnded{Instance: instance, Latency: latency, Result: result})
	if result == selector.Complete {
		r.latencies.Observe(now, latency)
	}
}

// eject temporarily excludes an instance that accepts no requests.
func (r *route) eject(now timer.Millis, instance identifier.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.step(now, selector.InstanceEjected{Instance: instance})
}

// recordLoad records the load of an instance.
func (r *route) recordLoad(now timer.Millis, instance identifier.InstanceID, load encoder.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.step(now, selector.LoadReported{Instance: instance, Load: selector.Load{
		InFlight: load.InFlight, Queued: load.Queued, Limit: load.Limit, Cold: load.Cold,
		MeanLatency: time.Duration(load.LatencyMicros) * time.Microsecond, ReceivedAt: now,
	}})
}

// setMembers sets the members that may be picked.
func (r *route) setMembers(now timer.Millis, members []tracker.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hasMembers(members) {
		return
	}
	r.members = make(map[identifier.InstanceID]tracker.Member, len(members))
	instances := make([]selector.Instance, 0, len(members))
	for _, m := range members {
		r.members[m.Instance] = m
		instances = append(instances, selector.Instance{ID: m.Instance, Domain: m.FailureDomain, Slots: m.Slots})
	}
	for instance := range r.loadRequestedAt {
		if _, member := r.members[instance]; !member {
			delete(r.loadRequestedAt, instance)
		}
	}
	r.step(now, selector.InstancesChanged{Instances: instances})
}

func (r *route) hasMembers(members []tracker.Member) bool {
	if len(members) != len(r.members) {
		return false
	}
	for _, m := range members {
		if known, found := r.members[m.Instance]; !found || known != m {
			return false
		}
	}
	return true
}

// probeTargets returns the members to probe now.
func (r *route) probeTargets(now timer.Millis) []tracker.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var targets []tracker.Member
	for _, instance := range r.probeSelector.ProbeTargets(now) {
		if m, found := r.members[instance]; found {
			targets = append(targets, m)
		}
	}
	return targets
}

// lockedBudget makes a budget of the route safe for concurrent use.
type lockedBudget struct {
	route  *route
	budget *retrier.Budget
}

// Take takes one token.
func (b lockedBudget) Take(now timer.Millis) bool {
	b.route.mu.Lock()
	defer b.route.mu.Unlock()
	return b.budget.Take(now)
}
