package dispatcher

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/retrier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// maxMembersAge bounds the age of a fleet's members when none has changed, so
	// that members that stopped reporting are removed.
	maxMembersAge = 500 * timer.Millis(1)
	// unconfiguredRetryAfter is about the time to read the first configuration.
	unconfiguredRetryAfter = 100 * timer.Millis(1)
	// drainRetryAfter is how soon a caller may try another daemon.
	drainRetryAfter = 50 * timer.Millis(1)
	// freeRefusals is the number of attempts refused before they reach a backend
	// server that count neither as attempts nor against the retry budget.
	freeRefusals = 2
)

// RetryBudget bounds the retries of a service over all daemons.
type RetryBudget struct {
	// Ratio is the fraction of the requests that may be retried.
	Ratio float64
	// Extra is the number of retries allowed in addition, in any span.
	Extra float64
	Span  timer.Millis
}

// IngressConfig configures an Ingress.
type IngressConfig struct {
	Self identifier.InstanceID
	// Caller is the service on this VM that sends the requests.
	Caller        identifier.ServiceName
	Incarnation   identifier.Incarnation
	FailureDomain identifier.FailureDomain
	Clock         timer.Clock
	Configuration *router.Holder
	Members       Members
	Peers         *Peers
	Admission     *Admission
	Dialect       Dialect
	Bodies        BodyLimits
	Retries       RetryBudget
	// Quotas bounds the requests of client accounts.
	Quotas Quotas
	// OnNewerConfiguration is called when an instance has a newer configuration.
	OnNewerConfiguration func(registrar.Member)
	Logger               *slog.Logger
}

// Ingress serves callers. It is safe for concurrent use.
type Ingress struct {
	config   IngressConfig
	observer *observer
	splitter *router.Splitter
	sequence atomic.Uint64
	// incarnation is the origin of attempts.
	incarnation atomic.Uint64
	inFlight    atomic.Int64
	draining    atomic.Bool

	mu     sync.RWMutex
	fleets map[identifier.ServiceName]*fleet
	// used holds the keys of the services in fleets.
	used map[registrar.ServiceKey]struct{}
}

// NewIngress returns an ingress without fleets; they are created on first use.
func NewIngress(config IngressConfig) *Ingress {
	i := &Ingress{
		config:   config,
		observer: newObserver(config.Logger),
		splitter: router.NewSplitter(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		fleets:   map[identifier.ServiceName]*fleet{},
		used:     map[registrar.ServiceKey]struct{}{},
	}
	i.SetIncarnation(config.Incarnation)
	return i
}

// SetIncarnation changes the incarnation of this daemon.
func (i *Ingress) SetIncarnation(incarnation identifier.Incarnation) {
	i.incarnation.Store(uint64(incarnation))
}

// Uses reports whether callers have sent requests for a service.
func (i *Ingress) Uses(service registrar.ServiceKey) bool {
	i.mu.RLock()
	defer i.mu.RUnlock()
	_, used := i.used[service]
	return used
}

// InFlight returns the number of callers' requests in flight.
func (i *Ingress) InFlight() int64 { return i.inFlight.Load() }

// Drain makes the ingress refuse new requests; those in flight continue.
func (i *Ingress) Drain() { i.draining.Store(true) }

// Handle answers one request of a caller.
func (i *Ingress) Handle(x *exchanger.Exchange) {
	i.inFlight.Add(1)
	defer i.inFlight.Add(-1)
	// Before any header is set: the caller's Connection header must not remove one of ours.
	removeHopHeaders(&x.Request.Header, i.config.Dialect.EndToEnd())
	end := requestEnd{request: shorten(i.config.Dialect.RequestID(&x.Request.Header)), outcome: encoder.Complete}
	if refusal, answered := i.serve(x, &end); !answered {
		i.config.Dialect.WriteRefusal(&x.Response, &x.Request.Header, refusal)
		end.outcome, end.reason, end.retryAfter = refusal.Outcome, refusal.Reason, refusal.RetryAfterMs
	}
	end.status, end.elapsed = x.Response.StatusCode(), i.config.Clock.Now()-x.ReceivedAt
	i.observer.requestEnded(end)
}

// serve returns false and a refusal if the response holds no answer.
func (i *Ingress) serve(x *exchanger.Exchange, end *requestEnd) (encoder.Refusal, bool) {
	if i.draining.Load() {
		return encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.Draining, RetryAfterMs: drainRetryAfter}, false
	}
	snapshot := i.config.Configuration.Snapshot()
	if snapshot.Version == 0 {
		return encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.NotConfigured, RetryAfterMs: unconfiguredRetryAfter}, false
	}
	var key credential
	refusal, answered := i.serveBy(x, snapshot, &key, end)
	if answered || refusal.Reason != classifier.SenderBehind && refusal.Reason != classifier.VersionNotInService {
		return refusal, answered
	}
	// Another daemon has a newer configuration, which routes the request to another
	// service or version; nothing has run yet.
	return i.serveBy(x, i.awaitNewerConfiguration(snapshot), &key, end)
}

// serveBy serves a request by one configuration. It returns false and a refusal if the
// response holds no answer.
func (i *Ingress) serveBy(x *exchanger.Exchange, snapshot *router.Snapshot, key *credential, end *requestEnd) (encoder.Refusal, bool) {
	header := &x.Request.Header
	route, found := snapshot.Lookup(string(header.Host()), pathOf(header.RequestURI()))
	if !found {
		return encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.NoService}, false
	}
	end.route, end.version = route.Name, uint64(snapshot.Version)
	deadline := x.ReceivedAt + route.Timeout
	if left, given := i.config.Dialect.TimeLeft(header); given {
		deadline = min(deadline, x.ReceivedAt+left)
	}
	end.timeLeft = deadline - x.ReceivedAt
	account, allowed := i.accountOf(header, key, snapshot, route)
	if !allowed {
		return encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.UnknownKey}, false
	}
	end.account = nameOf(account)
	if !route.Idempotent && !x.AwaitTurn() {
		return encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.Deadline}, false
	}
	if current := i.config.Configuration.Snapshot(); snapshot.HasAccounts() && current.Version > snapshot.Version {
		return i.serveBy(x, current, key, end) // The key may have been withdrawn meanwhile.
	}
	if refusal, admitted := i.admitAccount(account); !admitted {
		return refusal, false
	}
	if snapshot.HasAccounts() {
		i.config.Dialect.SetAccount(header, nameOf(account))
	}
	refusal, answered := i.sendToService(x, snapshot, route, account, deadline, end)
	i.refundAccount(account, refusal, answered)
	return refusal, answered
}

const (
	// newerConfigurationTimeout bounds the wait for a configuration that another
	// member has; members exchange it within a round trip.
	newerConfigurationTimeout = 300 * timer.Millis(1)
	newerConfigurationPoll    = 5 * timer.Millis(1)
)

// awaitNewerConfiguration waits up to newerConfigurationTimeout for a snapshot with a newer
// configuration or a later state of a roll-out.
func (i *Ingress) awaitNewerConfiguration(current *router.Snapshot) *router.Snapshot {
	end := i.config.Clock.Now() + newerConfigurationTimeout
	for {
		snapshot := i.config.Configuration.Snapshot()
		if snapshot.Version > current.Version || current.Control.Position().Before(snapshot.Control.Position()) || i.config.Clock.Now() >= end {
			return snapshot
		}
		time.Sleep(newerConfigurationPoll.Duration())
	}
}

// sendToService sends a request to the service that its route names.
func (i *Ingress) sendToService(
	x *exchanger.Exchange, snapshot *router.Snapshot, route *router.Route, account *router.Account, deadline timer.Millis, end *requestEnd,
) (encoder.Refusal, bool) {
	header := &x.Request.Header
	service := i.splitter.Pick(route)
	i.config.Dialect.PrepareRequest(header, i.config.Caller)
	now := i.config.Clock.Now()
	fleet := i.fleet(now, service)
	fleet.recordRequest(now, i.retryWindow())
	end.service = string(service)
	return i.exchange(x, &request{
		route: route, account: account, nested: account == nil && snapshot.HasAccounts(), service: service, fleet: fleet, version: snapshot.Version, deadline: deadline, end: end,
	}).run()
}

// pathOf returns the path of a request target without its query.
func pathOf(target []byte) string {
	for at, c := range target {
		if c == '?' {
			return string(target[:at])
		}
	}
	return string(target)
}

// retryWindow returns this daemon's share of the retry budget.
func (i *Ingress) retryWindow() retrier.WindowBudgetConfig {
	return retrier.WindowBudgetConfig{
		Span: i.config.Retries.Span, Ratio: i.config.Retries.Ratio * ratioUsed,
		Extra: i.config.Retries.Extra * extraUsed / float64(max(1, i.config.Members.ActiveCount())),
	}
}

// Fractions of the retry budget that are used. The rest is for the calls that a
// repeated run makes again, which no daemon can tell from others, and for members
// that were not known when the extra was divided.
const (
	ratioUsed = 0.3
	extraUsed = 0.4
)

func (i *Ingress) fleet(now timer.Millis, service identifier.ServiceName) *fleet {
	i.mu.RLock()
	f, found := i.fleets[service]
	i.mu.RUnlock()
	if !found {
		f = i.addFleet(service, newFleet(i.config.FailureDomain, i.retryWindow(), now))
	}
	snapshot := i.config.Configuration.Snapshot()
	basis := fleetBasis{members: i.config.Members.Version(), position: snapshot.Position(), control: snapshot.Control.Position()}
	if f.refreshDue(now, basis) {
		var rollout *router.Rollout
		if r, found := snapshot.Rollout(service); found {
			rollout = &r
		}
		f.setMembers(now, basis, i.candidates(service), rollout)
	}
	return f
}

// addFleet adds the fleet of a service unless there is one, and returns the one in use.
func (i *Ingress) addFleet(service identifier.ServiceName, added *fleet) *fleet {
	i.mu.Lock()
	defer i.mu.Unlock()
	if f, found := i.fleets[service]; found {
		return f
	}
	i.fleets[service] = added
	i.used[registrar.KeyOf(service)] = struct{}{}
	return added
}

// candidates returns the instances that may get attempts.
func (i *Ingress) candidates(service identifier.ServiceName) []registrar.Member {
	snapshot := i.config.Configuration.Snapshot()
	members := i.config.Members.Instances(service)
	kept := members[:0]
	for _, m := range members {
		if !snapshot.IsOutOfService(m.FailureDomain) {
			kept = append(kept, m)
		}
	}
	if own, accepting := i.config.Admission.Member(); accepting && own.Service == service && !snapshot.IsOutOfService(own.FailureDomain) {
		kept = append(kept, own)
	}
	return kept
}

// RecordLoad records the load of an instance.
func (i *Ingress) RecordLoad(m registrar.Member) {
	i.mu.RLock()
	f, found := i.fleets[m.Service]
	i.mu.RUnlock()
	if found {
		f.recordLoad(i.config.Clock.Now(), m.Node, m.Load)
	}
}

// RetainRoutes drops the state of routes that are not in a new configuration.
func (i *Ingress) RetainRoutes(snapshot *router.Snapshot) { i.splitter.Retain(snapshot.Routes) }
