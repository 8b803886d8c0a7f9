package receiver_test

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/announcer"
	"github.com/magnoliaknot/magnoliaknot/internal/coordination/holder"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/internal/state/limiter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/state/reducer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/receiver"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/responder"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const sheetText = `{
  "format": 1, "deployment": "test", "measuring_budget": {"messages_per_second": 1000, "bytes_per_second": 1000000},
  "failure_domains": [{"name": "aarhus", "region": "jutland", "return_ramp_ms": 1000}, {"name": "vejle", "region": "jutland", "return_ramp_ms": 1000}],
  "instance_classes": [{"name": "standard", "slots": 20, "connections": 240, "cold_limit": 20, "ramp_completions": 1}],
  "services": [{"name": "materials", "path_prefixes": ["/"], "instance_class": "standard", "expected_load_per_second": 10,
    "max_in_flight": 18, "max_queue": 40, "default_timeout_ms": 2000, "max_timeout_ms": 5000,
    "retry_budget_percent": 50, "hedge_percent": 0, "idempotent": [{"method": "GET", "path_prefix": "/"}],
    "deduplication_window_ms": 60000, "quarantine_ms": 60000}]
}`

// refusingClaimer refuses every keyed request.
type refusingClaimer struct{ responder.KeyService }

func (refusingClaimer) Claim(timer.Millis, deduplicator.Request) (deduplicator.Verdict, []byte, bool) {
	return 0, nil, false
}
func (refusingClaimer) Settle(deduplicator.Request, deduplicator.Outcome, []byte) {}

// instance is a backend server with its admission on loopback sockets.
type instance struct {
	member    tracker.Member
	admission *receiver.Admission
}

// environment is one ingress with its instances.
type environment struct {
	clock            timer.Clock
	configuration    *holder.Configuration
	membership       *holder.Membership
	measuring        *receiver.MeasuringBudget
	ingress          *receiver.Ingress
	address          string
	mu               sync.Mutex
	instances        []*instance
	broadcastEntries []quarantiner.Entry
	stop             chan struct{}
	background       sync.WaitGroup
}

// newEnvironment starts an ingress and one instance for each backend address.
func newEnvironment(t testing.TB, backends ...string) *environment {
	t.Helper()
	env := &environment{
		clock: timer.NewSystem(), configuration: holder.NewConfiguration(slog.New(slog.DiscardHandler)),
		membership: holder.NewMembership(tracker.Config{Self: "caller", FailureDomain: "aarhus", Retention: timer.Hour}),
		stop:       make(chan struct{}),
	}
	env.measuring = receiver.NewMeasuringBudget(env.clock)
	env.measuring.SetBudget(limiter.Budget{MessagesPerSecond: 1000, BytesPerSecond: 1_000_000})
	env.publishSheet(t, sheetText)
	for i, backend := range backends {
		env.addInstance(t, i, backend)
	}
	peers := receiver.NewPeers(receiver.PeersConfig{MaxAnswerBytes: 1 << 20})
	env.ingress = receiver.NewIngress(receiver.IngressConfig{
		Self: "caller", Incarnation: 77, FailureDomain: "aarhus", Clock: env.clock,
		View: env.configuration.View, Membership: env.membership, Peers: peers, Claimer: refusingClaimer{},
		Probe: func(tracker.Member) {}, MaxDepth: 8, MaxInFlight: 1000,
		Policy: receiver.PolicyPowerOfChoices, Logger: slog.New(slog.DiscardHandler),
	})
	env.address = startExchanger(t, env.ingress)
	env.background.Go(env.tick)
	t.Cleanup(func() { close(env.stop); env.background.Wait(); peers.CloseIdle() })
	return env
}

func (env *environment) tick() {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-env.stop:
			return
		case <-ticker.C:
			for _, i := range env.allInstances() {
				i.admission.Tick()
			}
			env.ingress.Tick()
		}
	}
}

func (env *environment) allInstances() []*instance {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.instances)
}

// quarantineEntries returns the quarantine entries that admissions broadcast.
func (env *environment) quarantineEntries() []quarantiner.Entry {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.broadcastEntries)
}

func (env *environment) publishSheet(t testing.TB, text string) {
	t.Helper()
	sheet, err := parser.Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	view := env.configuration.View()
	payload, err := json.Marshal(reducer.Change{
		Kind: reducer.KindChange, ID: identifier.ChangeID(fmt.Sprint("c", view.Version)), BaseVersion: view.Version,
		Operator: "planner", PublishedAt: env.clock.Wall(), Edits: parser.Diff(view.Sheet, sheet),
	})
	if err != nil {
		t.Fatal(err)
	}
	folded, found := env.configuration.Folded()
	next := identifier.Offset(0)
	if found {
		next = folded + 1
	}
	if err := env.configuration.Apply(next, payload); err != nil {
		t.Fatal(err)
	}
}

func (env *environment) addInstance(t testing.TB, n int, backend string) {
	t.Helper()
	admission := receiver.NewAdmission(receiver.AdmissionConfig{
		Clock: env.clock, FailureDomain: "aarhus", Configuration: env.configuration, MeasuringBudget: env.measuring,
		MaxAnswerBytes: 1 << 20, IsSoleMember: func() bool { return true },
		BroadcastQuarantine: func(service identifier.ServiceName, entries []quarantiner.Entry) {
			env.mu.Lock()
			env.broadcastEntries = append(env.broadcastEntries, entries...)
			env.mu.Unlock()
			for _, i := range env.allInstances() {
				i.admission.AddQuarantineEntries(service, entries)
			}
		},
		OnAnnouncementChange: func(receiver.Announcement) {}, Logger: slog.New(slog.DiscardHandler),
	})
	peerResponder := responder.New(responder.Config{Incarnation: 1, Admission: admission, Keys: refusingClaimer{}, Announcer: new(announcer.Announcer)})
	i := &instance{admission: admission, member: tracker.Member{
		Instance: identifier.InstanceID(fmt.Sprint("materials-", n)), Incarnation: 1, Service: "materials",
		FailureDomain: "aarhus", Region: "jutland", Class: "standard", Slots: 20, State: tracker.Ready,
		Peer: identifier.Address(startExchanger(t, peerResponder.Handler(admission))),
	}}
	i.announce(backend, 1)
	admission.Tick()
	env.mu.Lock()
	env.instances = append(env.instances, i)
	env.mu.Unlock()
	payload, err := tracker.EncodeBatch([]tracker.Record{tracker.Join{Member: i.member}})
	if err != nil {
		t.Fatal(err)
	}
	if err := env.membership.Apply(identifier.Offset(n), payload); err != nil {
		t.Fatal(err)
	}
}

func (i *instance) announce(backend string, incarnation identifier.Incarnation) {
	i.admission.Announce(receiver.Announcement{
		Service: "materials", Address: identifier.Address(backend), Incarnation: incarnation,
		Slots: 20, Connections: 100, State: tracker.Ready,
	})
}

// startExchanger starts a server of the daemon.
func startExchanger(t testing.TB, handler exchanger.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := exchanger.NewServer(exchanger.ServerConfig{
		Handler: handler, Names: responder.Names, Reject: receiver.Reject, Clock: timer.NewSystem(), Logger: slog.New(slog.DiscardHandler),
		Limits: func() exchanger.Limits {
			return exchanger.Limits{HeaderBytes: 4 << 10, BodyBytes: 1 << 20, HeaderTimeout: timer.Minute, IdleTimeout: timer.Minute}
		},
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	return listener.Addr().String()
}

func startServer(t testing.TB, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{
		Handler: handler, CloseOnShutdown: true, MaxRequestBodySize: 1 << 20,
		ReadBufferSize: 4 << 10, Logger: log.New(io.Discard, "", 0),
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// answer is an answer as received by a caller.
type answer struct {
	status  int
	outcome encoder.Outcome
	reason  classifier.Reason
	body    string
}

func (env *environment) send(t testing.TB, method, path string, timeout timer.Millis) answer {
	t.Helper()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + env.address + path)
	request.Header.Set(encoder.HeaderTimeout, fmt.Sprint(int64(timeout)))
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if err := client.DoTimeout(request, response, timeout.Duration()+time.Second); err != nil {
		t.Fatal(err)
	}
	return answer{
		status: response.StatusCode(), outcome: encoder.Outcome(response.Header.Peek(encoder.HeaderOutcome)),
		reason: classifier.Reason(response.Header.Peek(encoder.HeaderReason)), body: string(response.Body()),
	}
}

// replacePeer changes the peer address of an instance.
func (env *environment) replacePeer(n int, address identifier.Address) {
	m := env.instances[n].member
	m.Peer, m.Revision = address, m.Revision+1
	payload, err := tracker.EncodeBatch([]tracker.Record{tracker.Join{Member: m}})
	if err == nil {
		err = env.membership.Apply(identifier.Offset(len(env.instances)), payload)
	}
	if err != nil {
		panic(err)
	}
	env.instances[n].member = m
}
