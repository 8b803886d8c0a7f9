package runner_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/logserver"
	"github.com/magnoliaknot/magnoliaknot/internal/loader"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/runner"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/administrator"
	"github.com/magnoliaknot/magnoliaknot/pkg/administrator/administratorconnect"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	token = "token-of-the-planner"
	// testTimeout is far longer than any step takes, so it ends only a test that hangs.
	testTimeout = 15 * time.Second
)

var discardLogger = slog.New(slog.DiscardHandler)

// sheet encodes a sheet with three failure domains, after the changes have been
// applied in order.
func sheet(changes ...func(map[string]any)) []byte {
	s := map[string]any{}
	Expect(json.Unmarshal([]byte(`{
  "format": 1, "deployment": "test", "measuring_budget": {"messages_per_second": 400, "bytes_per_second": 65536},
  "failure_domains": [{"name": "aarhus", "region": "jutland", "return_ramp_ms": 2000},
    {"name": "vejle", "region": "jutland", "return_ramp_ms": 2000}, {"name": "esbjerg", "region": "jutland", "return_ramp_ms": 2000}],
  "instance_classes": [{"name": "standard", "slots": 20, "connections": 240, "cold_limit": 20, "ramp_completions": 1}],
  "services": [{"name": "materials", "path_prefixes": ["/"], "instance_class": "standard", "expected_load_per_second": 10,
    "max_in_flight": 20, "max_queue": 40, "default_timeout_ms": 2000, "max_timeout_ms": 5000,
    "retry_budget_percent": 50, "hedge_percent": 0, "idempotent": [{"method": "GET", "path_prefix": "/"}],
    "deduplication_window_ms": 60000, "quarantine_ms": 60000}]
}`), &s)).To(Succeed())
	for _, change := range changes {
		change(s)
	}
	text, err := json.Marshal(s)
	Expect(err).NotTo(HaveOccurred())
	return text
}

// out takes a failure domain of the sheet out of service from a given time.
func out(domain int, from time.Time) func(map[string]any) {
	return func(s map[string]any) {
		s["failure_domains"].([]any)[domain].(map[string]any)["out"] = []any{map[string]any{"from": from.Format(time.RFC3339Nano)}}
	}
}

// cluster is a log server with its daemons.
type cluster struct {
	log             string
	shutdownTimeout time.Duration
	processes       []*daemon
	daemons         []*daemon // those with a backend server
}

// newCluster starts a log server and one daemon in each failure domain, publishes
// the sheet and waits until every daemon knows all instances. The daemons stop at
// the end of the test, with a shutdown timeout of 2 s.
func newCluster(text []byte, domains ...string) *cluster {
	return newClusterWithShutdownTimeout(2*time.Second, text, domains...)
}

// newClusterWithShutdownTimeout is newCluster with the given shutdown timeout of the
// daemons.
func newClusterWithShutdownTimeout(shutdown time.Duration, text []byte, domains ...string) *cluster {
	server := logserver.NewServer(logserver.StoreConfig{MaxRecordBytes: 1 << 20, AppendsPerSecond: 1000},
		timer.NewSystem(), rand.New(rand.NewPCG(1, 2)), discardLogger)
	socket := listen("127.0.0.1:0")
	go func() { _ = server.Serve(socket) }()
	c := &cluster{log: socket.Addr().String(), shutdownTimeout: shutdown}
	DeferCleanup(func() { Expect(server.Shutdown()).To(Succeed()) })
	DeferCleanup(func() {
		var all sync.WaitGroup
		for _, d := range c.processes {
			all.Go(d.stop)
		}
		all.Wait()
	})
	for _, domain := range domains {
		c.start(domain, c.log)
	}
	Expect(c.daemons[0].publish(text, 0, "").Result).To(Equal(administrator.PublishChangeResponse_RESULT_ACCEPTED))
	for _, d := range c.daemons {
		d.awaitReady(1, len(domains))
	}
	return c
}

func listen(address string) net.Listener {
	socket, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	return socket
}

// injectFault injects a fault into the log server.
func (c *cluster) injectFault(body string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.Header.SetMethod(http.MethodPost)
	request.SetRequestURI("http://" + c.log + "/faults")
	request.SetBodyString(body)
	Expect(fasthttp.Do(request, response)).To(Succeed())
	Expect(response.StatusCode()).To(Equal(http.StatusOK))
}

// appendJoins appends joins to the log and ignores an error, since the log may be
// unavailable. A daemon with a record of an earlier incarnation joins at once. The
// first daemon of a failure domain without one waits for up to 4.8 s.
func (c *cluster) appendJoins(members ...tracker.Member) {
	records := []tracker.Record{}
	for _, m := range members {
		records = append(records, tracker.Join{Member: m})
	}
	payload, err := tracker.EncodeBatch(records)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := contextWithTimeout()
	defer cancel()
	_, _ = appender.NewClient(appender.Config{BaseURL: "http://" + c.log}).Append(ctx, appender.Membership, payload)
}

// daemon is a daemon that runs in this process, with its backend server if it has
// one.
type daemon struct {
	backend *backend
	name    string
	ingress string
	peer    string
	local   string
	api     administratorconnect.AdministratorClient
	cancel  context.CancelFunc
	done    chan struct{}
}

// start starts a daemon with a backend server.
func (c *cluster) start(domain, log string) *daemon {
	d := c.run(domain, log)
	d.backend = startBackend(d.local)
	c.daemons = append(c.daemons, d)
	return d
}

// run starts a daemon without a backend server. The first two daemons of the cluster
// are the seeds of later ones.
func (c *cluster) run(domain, log string) *daemon {
	ports := freePorts(5)
	name := fmt.Sprintf("materials-%d", len(c.daemons))
	seeds := []string{}
	for _, d := range c.daemons[:min(len(c.daemons), 2)] {
		seeds = append(seeds, d.peer)
	}
	c.appendJoins(tracker.Member{
		Instance: identifier.InstanceID(name), Incarnation: 1, Service: "materials", FailureDomain: identifier.FailureDomain(domain),
		Region: "jutland", Class: "standard", Slots: 20, Peer: identifier.Address(ports[1]), State: tracker.Starting,
	})
	text, err := json.Marshal(map[string]any{
		"node": name, "failure_domain": domain, "region": "jutland", "seeds": seeds, "key_shards": 4, "shutdown_timeout_ms": c.shutdownTimeout.Milliseconds(),
		"addresses": map[string]string{
			"ingress": ports[0], "peer": ports[1], "probe": ports[2], "local": ports[3], "administration": ports[4],
		},
		"log":       map[string]any{"url": "http://" + log, "retention_ms": 3600000},
		"operators": []any{map[string]string{"name": "planner", "token_sha256": fmt.Sprintf("%x", sha256.Sum256([]byte(token))), "role": "publisher"}},
	})
	Expect(err).NotTo(HaveOccurred())
	settings, err := loader.Decode(text)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemon{
		name: name, ingress: ports[0], peer: ports[1], local: ports[3], cancel: cancel, done: make(chan struct{}),
		api: administratorconnect.NewAdministratorClient(http.DefaultClient, "http://"+ports[4],
			connect.WithInterceptors(connect.UnaryInterceptorFunc(addOperatorToken))),
	}
	go func() {
		defer GinkgoRecover()
		defer close(d.done)
		Expect(runner.Run(ctx, settings, discardLogger)).To(Succeed())
	}()
	Eventually(func() error { _, err := d.status(); return err }, testTimeout, "10ms").Should(Succeed())
	c.processes = append(c.processes, d)
	return d
}

// freePorts returns free addresses with ports below the ephemeral range of the
// operating system, so that no outgoing connection takes one before the daemon
// listens on it.
func freePorts(count int) []string {
	var addresses []string
	for len(addresses) < count {
		address := fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(12000))
		socket, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer socket.Close() // held open until the return, so that no address is found twice
		addresses = append(addresses, address)
	}
	return addresses
}

// stop stops the daemon gracefully and waits for its end.
func (d *daemon) stop() {
	d.cancel()
	<-d.done
	if d.backend != nil {
		d.backend.stop()
	}
}

// addOperatorToken adds the operator's token to calls of the administration API.
func addOperatorToken(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		request.Header().Set("Authorization", "Bearer "+token)
		return next(ctx, request)
	}
}

func contextWithTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), testTimeout)
}

func (d *daemon) status() (*administrator.GetStatusResponse, error) {
	ctx, cancel := contextWithTimeout()
	defer cancel()
	return d.api.GetStatus(ctx, &administrator.GetStatusRequest{})
}

func (d *daemon) version() uint64 {
	status, err := d.status()
	Expect(err).NotTo(HaveOccurred())
	return status.ConfigurationVersion
}

// awaitReady waits for a version of the configuration and a number of instances.
func (d *daemon) awaitReady(version uint64, instances int) {
	Eventually(func() int {
		status, err := d.status()
		Expect(err).NotTo(HaveOccurred())
		ready := 0
		for _, i := range status.Instances {
			if i.State == "ready" && status.ConfigurationVersion >= version {
				ready++
			}
		}
		return ready
	}, testTimeout, "20ms").Should(Equal(instances), d.name)
}

// publish publishes a sheet and retries after errors, which occur until the daemon
// has read the log.
func (d *daemon) publish(text []byte, base uint64, id string) *administrator.PublishChangeResponse {
	var message *administrator.PublishChangeResponse
	Eventually(func() error {
		ctx, cancel := contextWithTimeout()
		defer cancel()
		var err error
		message, err = d.api.PublishChange(ctx, &administrator.PublishChangeRequest{Sheet: text, BaseVersion: base, ChangeId: id})
		return err
	}, testTimeout, "50ms").Should(Succeed())
	return message
}

// auditTrail returns the audit trail, one line per entry.
func (d *daemon) auditTrail() string {
	ctx, cancel := contextWithTimeout()
	defer cancel()
	response, err := d.api.ListAudit(ctx, &administrator.ListAuditRequest{Limit: 100})
	Expect(err).NotTo(HaveOccurred())
	text := ""
	for _, e := range response.Entries {
		text += fmt.Sprintln(e.Offset, e.ChangeId, e.Version, e.Result)
	}
	return text
}

// answer is the response that a caller received.
type answer struct {
	outcome  encoder.Outcome
	reason   classifier.Reason
	replayed bool
	body     string
}

// send sends a request that is not idempotent, without retries. If the connection
// is refused or closed before a response, the answer has no outcome.
func (d *daemon) send(path, key string) answer {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.Header.SetMethod(http.MethodPost)
	request.SetRequestURI("http://" + d.ingress + path)
	request.SetConnectionClose()
	if key != "" {
		request.Header.Set(encoder.HeaderIdempotencyKey, key)
	}
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if err := client.DoTimeout(request, response, testTimeout); err != nil {
		return answer{body: err.Error()}
	}
	return answer{
		outcome: encoder.Outcome(response.Header.Peek(encoder.HeaderOutcome)),
		reason:  classifier.Reason(response.Header.Peek(encoder.HeaderReason)), body: string(response.Body()),
		replayed: len(response.Header.Peek(encoder.HeaderReplayed)) > 0,
	}
}

// backend is a backend server that counts its requests and announces itself.
type backend struct {
	server          *fasthttp.Server
	ended           chan struct{}
	serviceTime     atomic.Int64 // in ns, of one request
	running         atomic.Int64
	started         atomic.Int64
	maxEarlyRunning atomic.Int64 // maximum of concurrent requests among the first 20
	mu              sync.Mutex
	runs            map[string]int
}

func startBackend(local string) *backend {
	b := &backend{ended: make(chan struct{}), runs: map[string]int{}}
	b.server = &fasthttp.Server{Handler: b.handle, Logger: log.New(io.Discard, "", 0)}
	socket := listen("127.0.0.1:0")
	go func() { _ = b.server.Serve(socket) }()
	body := fmt.Appendf(nil, `{"service":"materials","address":%q,"incarnation":7,"slots":20,"connections":240,"state":"ready"}`, socket.Addr())
	go func() {
		for {
			if response, err := http.Post("http://"+local+"/announce", "application/json", bytes.NewReader(body)); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			select {
			case <-b.ended:
				return
			case <-time.After(300 * time.Millisecond):
			}
		}
	}()
	return b
}

func (b *backend) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	b.mu.Lock()
	b.runs[path]++
	if running := b.running.Add(1); b.started.Add(1) <= 20 {
		b.maxEarlyRunning.Store(max(b.maxEarlyRunning.Load(), running))
	}
	b.mu.Unlock()
	time.Sleep(time.Duration(b.serviceTime.Load()))
	b.running.Add(-1)
	ctx.SetBodyString("answer to " + path)
}

func (b *backend) stop() {
	close(b.ended)
	_ = b.server.Shutdown()
}

// runCount returns how often a path ran on all backend servers together.
func (c *cluster) runCount(path string) int {
	total := 0
	for _, d := range c.daemons {
		d.backend.mu.Lock()
		total += d.backend.runs[path]
		d.backend.mu.Unlock()
	}
	return total
}

// startLoad starts callers that send requests through the daemons, each one request
// after another. The returned function stops the callers and returns the answers by
// path.
func startLoad(callers int, daemons ...*daemon) (end func() map[string]answer) {
	var mu sync.Mutex
	var all sync.WaitGroup
	answers, stopped := map[string]answer{}, make(chan struct{})
	for caller := range callers {
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				default:
				}
				path := fmt.Sprintf("/load/%d/%d", caller, n)
				got := daemons[caller%len(daemons)].send(path, "")
				mu.Lock()
				answers[path] = got
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return func() map[string]answer {
		close(stopped)
		all.Wait()
		return answers
	}
}

// tcpProxy forwards TCP connections while it is not blocked.
type tcpProxy struct {
	listener net.Listener
	mu       sync.Mutex
	blocked  bool
	open     []net.Conn
}

func startProxy(target string) *tcpProxy {
	p := &tcpProxy{listener: listen("127.0.0.1:0")}
	DeferCleanup(p.listener.Close)
	go func() {
		for {
			client, err := p.listener.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", target)
			if err != nil || !p.add(client, upstream) {
				_ = client.Close()
				continue
			}
			for _, pair := range [][2]net.Conn{{client, upstream}, {upstream, client}} {
				go func() {
					_, _ = io.Copy(pair[0], pair[1])
					_ = pair[0].Close()
				}()
			}
		}
	}()
	return p
}

func (p *tcpProxy) add(client, upstream net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blocked {
		_ = upstream.Close()
		return false
	}
	p.open = append(p.open, client, upstream)
	return true
}

// setBlocked blocks or unblocks new connections. Either way it closes the open ones.
func (p *tcpProxy) setBlocked(blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = blocked
	for _, c := range p.open {
		_ = c.Close()
	}
	p.open = nil
}
