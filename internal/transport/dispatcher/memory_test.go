package dispatcher

import (
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/retrier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/state/selector"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// countingPolicy counts the attempts in flight.
type countingPolicy struct {
	selector.Policy
	inFlight int
}

func (p *countingPolicy) Step(now timer.Millis, event selector.Event) {
	switch event.(type) {
	case selector.AttemptSent:
		p.inFlight++
	case selector.AttemptEnded:
		p.inFlight--
	default:
	}
	p.Policy.Step(now, event)
}

// serveOne serves one request with a body of some bytes and returns once its response has
// been read.
func serveOne(t *testing.T, memory *exchanger.Memory, bodyBytes int, handle func(x *exchanger.Exchange)) {
	t.Helper()
	server := exchanger.NewServer(exchanger.ServerConfig{
		Handler: exchanger.HandlerFunc(handle), Clock: timer.NewBoot(), Memory: memory,
		Limits: func() exchanger.Limits {
			return exchanger.Limits{HeaderBytes: 4 << 10, BodyBytes: 1 << 20, HeaderTimeout: timer.Minute, IdleTimeout: timer.Minute}
		},
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }() // Ends with Close.
	t.Cleanup(server.Close)
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.Header.SetMethod("POST")
	request.SetRequestURI("http://" + listener.Addr().String() + "/")
	request.SetBodyString(strings.Repeat("a", bodyBytes))
	if err := (&fasthttp.Client{MaxIdemponentCallAttempts: 1}).Do(request, response); err != nil {
		t.Fatal(err)
	}
}

// newTestExchange returns an exchange of a service with one instance, which is at another
// daemon.
func newTestExchange(x *exchanger.Exchange, peer identifier.Address, policy *countingPolicy) *exchange {
	clock := timer.NewBoot()
	i := NewIngress(IngressConfig{
		Clock: clock, Members: soleMember{}, Peers: NewPeers(nil, nil), Logger: slog.New(slog.DiscardHandler),
		Bodies: BodyLimits{Buffer: 1 << 20, Total: 1 << 20},
	})
	f := newFleet("here", i.retryWindow(), clock.Now())
	policy.Policy = f.policy
	f.policy = policy
	f.setMembers(clock.Now(), fleetBasis{}, []registrar.Member{{Node: "b-1", Peer: peer, Slots: 4, Accepting: true}}, nil)
	return i.exchange(x, &request{
		route: &router.Route{MaxAttempts: 1, TargetLatency: timer.Second}, service: "orders", fleet: f,
		deadline: clock.Now() + timer.Minute, end: &requestEnd{},
	})
}

// Guards against an instance that looks busier for good: an attempt that finds no memory is
// counted as in flight and never ends.
func TestNoMemoryForAttempt(t *testing.T) {
	policy := &countingPolicy{}
	serveOne(t, exchanger.NewMemory(1<<20), 10, func(x *exchanger.Exchange) {
		for x.Memory().Grow(1) {
		}
		e := newTestExchange(x, "127.0.0.1:1", policy)
		if !e.send(1) {
			t.Error("no instance is left")
		}
		if _, refused := (<-e.events).event.(retrier.NotRun); !refused {
			t.Error("the attempt was not refused")
		}
	})
	if policy.inFlight != 0 {
		t.Errorf("%d attempts in flight", policy.inFlight)
	}
}

// Guards against giving back the memory of a body while an attempt that nobody waits for
// still holds it.
func TestAttemptHoldsMemory(t *testing.T) {
	const bodyBytes = 500_000
	read, release := make(chan struct{}), make(chan struct{})
	peer := tester.StartServer(t, func(conn net.Conn, request *fasthttp.Request) bool {
		close(read)
		<-release
		var response fasthttp.Response
		response.Header.Set(encoder.HeaderAttempt, string(request.Header.Peek(encoder.HeaderAttempt)))
		_, err := response.WriteTo(conn)
		return err == nil
	})
	memory := exchanger.NewMemory(4 << 20)
	serveOne(t, memory, bodyBytes, func(x *exchanger.Exchange) {
		if !newTestExchange(x, peer, &countingPolicy{}).send(1) {
			t.Error("no instance is left")
		}
		<-read
	})
	if used := memory.Used(); used < bodyBytes {
		t.Errorf("%d bytes are reserved while the attempt holds its body", used)
	}
	close(release)
	for end := time.Now().Add(10 * time.Second); memory.Used() >= bodyBytes; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still reserved", memory.Used())
		}
	}
}
