// Package receiver serves callers (Ingress) and attempts of other daemons
// (Admission) over HTTP. It does the I/O for the state machines selector,
// retrier, admitter, fencer and quarantiner.
//
// # Usage
//
//	admission := receiver.NewAdmission(receiver.AdmissionConfig{...})
//	ingress := receiver.NewIngress(receiver.IngressConfig{...})
//	go exchanger.NewServer(exchanger.ServerConfig{Handler: admission, ...}).Serve(peerListener)
//	go exchanger.NewServer(exchanger.ServerConfig{Handler: ingress, ...}).Serve(callerListener)
//	// every 50 ms:
//	admission.Tick()
//	ingress.Tick()
package receiver

import (
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/separator"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/internal/state/scheduler"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Times and limits of ingress.
const (
	refreshInterval = 100 * timer.Millis(1)
	// fullRefreshInterval bounds the age of a fleet's members when neither the
	// membership nor the configuration has changed; it covers timetables and
	// local liveness. A refresh of a service with 1,200 members takes 0.6 ms.
	fullRefreshInterval = timer.Second
	// fleetIdleTimeout is how long an unused service keeps its load data.
	fleetIdleTimeout = 10 * timer.Minute
	// drainRetryAfter is the time in which another daemon takes over.
	drainRetryAfter = 100 * timer.Millis(1)
	maxAttempts     = 4
)

// Names are the fields of requests that Ingress and Admission read or set.
var Names = separator.NewNames(encoder.ReadHeaders(), encoder.InternalHeaders())

// IngressConfig configures an Ingress.
type IngressConfig struct {
	Self          identifier.InstanceID
	Incarnation   identifier.Incarnation
	FailureDomain identifier.FailureDomain
	Clock         timer.Clock
	View          func() *scheduler.ActiveConfiguration
	Membership    Membership
	Peers         *Peers
	Claimer       Claimer
	// Probe asks an instance for its load.
	Probe func(tracker.Member)
	// MaxDepth bounds how deep calls nest.
	MaxDepth int
	// MaxInFlight bounds the callers' requests in flight.
	MaxInFlight int
	Policy      PolicyName
	Logger      *slog.Logger
}

// Ingress serves callers. It is safe for concurrent use.
type Ingress struct {
	config   IngressConfig
	sequence atomic.Uint64
	inFlight atomic.Int64
	draining atomic.Bool
	metrics  *ingressMetrics

	mu          sync.RWMutex
	fleets      map[identifier.ServiceName]*fleet
	lastRefresh refreshState
}

// refreshState holds the times and inputs of the last refresh of the fleets.
type refreshState struct {
	checkedAt  timer.Millis
	fullAt     timer.Millis
	membership uint64
	version    identifier.Version
}

// NewIngress returns an ingress without fleets; they are created on first use.
func NewIngress(config IngressConfig) *Ingress {
	return &Ingress{
		config: config, metrics: newIngressMetrics(),
		fleets: map[identifier.ServiceName]*fleet{},
	}
}

// Handle handles one request of a caller.
func (i *Ingress) Handle(x *exchanger.Exchange) {
	started := i.config.Clock.Now()
	defer i.inFlight.Add(-1)
	if i.inFlight.Add(1) > int64(i.config.MaxInFlight) {
		i.refuse(x, "", encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.TooManyRequests, RetryAfterMs: drainRetryAfter})
		return
	}
	if i.draining.Load() {
		i.refuse(x, "", encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.Draining, RetryAfterMs: drainRetryAfter})
		x.Close = true
		return
	}
	r, refusal := i.parse(x, started)
	if refusal != nil {
		i.refuse(x, "", *refusal)
		return
	}
	if !r.idempotent && !x.AwaitTurn() {
		// An earlier response has closed the connection, so that the caller sends it again.
		i.refuse(x, "", encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.Deadline})
		return
	}
	r.fleet.recordRequest(started, r.service)
	if r.keyed {
		i.serveKeyed(x, r)
		return
	}
	i.answer(x, r, i.run(x, r))
}

// request is a parsed request of a caller.
type request struct {
	service    *parser.Service
	fleet      *fleet
	version    identifier.Version
	deadline   timer.Millis
	depth      int
	idempotent bool
	keyed      bool
	key        identifier.IdempotencyKey
}

func (i *Ingress) parse(x *exchanger.Exchange, now timer.Millis) (*request, *encoder.Refusal) {
	header := &x.Request.Header
	header.ResetConnectionClose()
	encoder.RemoveInternalHeaders(header)
	timeout, given, err := encoder.DecodeTimeout(header)
	if err != nil {
		return nil, &encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.BadRequest}
	}
	depth, err := encoder.DecodeDepth(header)
	if err != nil {
		return nil, &encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.BadRequest}
	}
	if depth >= i.config.MaxDepth {
		return nil, &encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.TooDeep}
	}
	view := i.config.View()
	if view.Version == 0 {
		return nil, &encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.NotConfigured, RetryAfterMs: timer.Second}
	}
	path, method := pathOf(header.RequestURI()), string(header.Method())
	service, found := view.Schedule.Route(string(header.Peek(encoder.HeaderService)), strings.ToLower(string(header.Host())), path)
	if !found {
		return nil, &encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.NoService}
	}
	if !given {
		timeout = service.DefaultTimeout
	}
	r := &request{
		service: service, fleet: i.fleet(service, now), version: view.Version,
		deadline: now + min(timeout, service.MaxTimeout), depth: depth + 1,
		idempotent: service.Idempotent(method, path),
		key:        identifier.IdempotencyKey(header.Peek(encoder.HeaderIdempotencyKey)),
	}
	if r.key == "" && service.KeyRequired(method, path) {
		return nil, &encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.KeyRequired}
	}
	r.keyed = r.key != "" && !r.idempotent && service.DeduplicationWindow > 0
	if r.keyed && len(r.key) > deduplicator.MaxKeyBytes {
		return nil, &encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.BadRequest}
	}
	return r, nil
}

func (i *Ingress) fleet(service *parser.Service, now timer.Millis) *fleet {
	i.mu.RLock()
	f, found := i.fleets[service.Name]
	i.mu.RUnlock()
	if found {
		return f
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if f, found = i.fleets[service.Name]; found {
		return f
	}
	f = newFleet(fleetConfig{self: i.config.Self, domain: i.config.FailureDomain, policy: i.config.Policy}, service, now)
	i.refresh(now, service.Name, f)
	i.fleets[service.Name] = f
	return f
}

// refresh updates a fleet to the members that may receive new requests.
func (i *Ingress) refresh(now timer.Millis, service identifier.ServiceName, f *fleet) {
	schedule, wall := i.config.View().Schedule, i.config.Clock.Wall()
	var members []tracker.Member
	i.config.Membership.Read(func(t *tracker.Tracker) {
		for _, m := range t.Instances(service) {
			domain := schedule.Domain(wall, m.FailureDomain)
			if m.State == tracker.Ready && domain.Known && !domain.Out && t.Usable(m.Instance, now) {
				members = append(members, m)
			}
		}
	})
	f.setMembers(now, members)
}

// Tick refreshes the fleets and sends probes that are due. Call it every 50 ms
// at most.
func (i *Ingress) Tick() {
	now := i.config.Clock.Now()
	refresh := i.refreshDue(now)
	i.mu.RLock()
	fleets := make(map[identifier.ServiceName]*fleet, len(i.fleets))
	for service, f := range i.fleets {
		fleets[service] = f
	}
	i.mu.RUnlock()
	for service, f := range fleets {
		if refresh {
			i.refresh(now, service, f)
		}
		for _, m := range f.probeTargets(now) {
			i.config.Probe(m)
		}
	}
	if refresh {
		i.dropIdleFleets(now)
	}
}

// refreshDue reports whether the members of the fleets may have changed.
func (i *Ingress) refreshDue(now timer.Millis) bool {
	last := &i.lastRefresh
	if now-last.checkedAt < refreshInterval {
		return false
	}
	last.checkedAt = now
	membership, version := i.config.Membership.Version(), i.config.View().Version
	if membership == last.membership && version == last.version && now-last.fullAt < fullRefreshInterval {
		return false
	}
	last.membership, last.version, last.fullAt = membership, version, now
	return true
}

func (i *Ingress) dropIdleFleets(now timer.Millis) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for service, f := range i.fleets {
		f.mu.Lock()
		idle := now-f.lastUsedAt > fleetIdleTimeout && f.lastUsedAt != 0
		f.mu.Unlock()
		if idle {
			delete(i.fleets, service)
		}
	}
}

// RecordLoad records the load of an instance from a probe.
func (i *Ingress) RecordLoad(instance identifier.InstanceID, load encoder.Load) {
	member, found := i.config.Membership.Lookup(instance)
	if !found {
		return
	}
	i.mu.RLock()
	f, found := i.fleets[member.Service]
	i.mu.RUnlock()
	if found {
		f.recordLoad(i.config.Clock.Now(), instance, load)
	}
}

// Drain refuses new requests from now on.
func (i *Ingress) Drain() { i.draining.Store(true) }

// InFlight returns the number of callers' requests in flight.
func (i *Ingress) InFlight() int64 { return i.inFlight.Load() }

// Reject answers a request that could not be read. It has not run, since nothing is
// forwarded before the whole request has been read.
func Reject(x *exchanger.Exchange, problem exchanger.Problem) {
	refusal := encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.BadRequest}
	switch problem {
	case exchanger.HeaderTooLarge, exchanger.BodyTooLarge:
		refusal.Reason = classifier.TooLarge
	case exchanger.OutOfMemory, exchanger.TooManyConnections:
		refusal.Reason = classifier.Overloaded
	case exchanger.Malformed:
	}
	refusal.WriteResponse(&x.Response)
}

func (i *Ingress) refuse(x *exchanger.Exchange, service identifier.ServiceName, refusal encoder.Refusal) {
	i.metrics.count(service, refusal.Outcome)
	refusal.WriteResponse(&x.Response)
}
