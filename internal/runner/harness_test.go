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
	// patience is far over what any step takes; it only ends a test that hangs.
	patience = 15 * time.Second
)

var quiet = slog.New(slog.DiscardHandler)

// sheet is a sheet of three failure domains; changes are applied in order.
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

// out takes a failure domain of the sheet out from a point in time on.
func out(domain int, from time.Time) func(map[string]any) {
	return func(s map[string]any) {
		s["failure_domains"].([]any)[domain].(map[string]any)["out"] = []any{map[string]any{"from": from.Format(time.RFC3339Nano)}}
	}
}

// world is a log and daemons, each with its backend server.
type world struct {
	log       string
	shutdown  time.Duration
	processes []*daemon
	daemons   []*daemon // those with a backend server
}

// newWorld starts a log and one daemon in each failure domain, publishes the
// sheet and waits until every daemon knows all instances.
// A stop at its end takes 2 s at most.
func newWorld(text []byte, domains ...string) *world {
	return newStoppingWorld(2*time.Second, text, domains...)
}

// newStoppingWorld is newWorld with the time that a daemon has for its stop.
func newStoppingWorld(shutdown time.Duration, text []byte, domains ...string) *world {
	server := logserver.NewServer(logserver.StoreConfig{MaxRecordBytes: 1 << 20, AppendsPerSecond: 1000},
		timer.NewSystem(), rand.New(rand.NewPCG(1, 2)), quiet)
	socket := listen("127.0.0.1:0")
	go func() { _ = server.Serve(socket) }()
	w := &world{log: socket.Addr().String(), shutdown: shutdown}
	DeferCleanup(func() { Expect(server.Shutdown()).To(Succeed()) })
	DeferCleanup(func() {
		var all sync.WaitGroup
		for _, d := range w.processes {
			all.Go(d.stop)
		}
		all.Wait()
	})
	for _, domain := range domains {
		w.start(domain, w.log)
	}
	Expect(w.daemons[0].publish(text, 0, "").Result).To(Equal(administrator.PublishChangeResponse_RESULT_ACCEPTED))
	for _, d := range w.daemons {
		d.awaitReady(1, len(domains))
	}
	return w
}

func listen(address string) net.Listener {
	socket, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	return socket
}

// fault causes a fault of the log.
func (w *world) fault(body string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.Header.SetMethod(http.MethodPost)
	request.SetRequestURI("http://" + w.log + "/faults")
	request.SetBodyString(body)
	Expect(fasthttp.Do(request, response)).To(Succeed())
	Expect(response.StatusCode()).To(Equal(http.StatusOK))
}

// record appends joins to the log, unless it is down. With a record of an
// earlier incarnation a daemon joins at once; the first one of a failure domain
// waits for up to 4.8 s.
func (w *world) record(members ...tracker.Member) {
	records := []tracker.Record{}
	for _, m := range members {
		records = append(records, tracker.Join{Member: m})
	}
	payload, err := tracker.EncodeBatch(records)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := inTime()
	defer cancel()
	_, _ = appender.NewClient(appender.Config{BaseURL: "http://" + w.log}).Append(ctx, appender.Membership, payload)
}

// daemon is a daemon that runs in this process, with its backend server.
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
func (w *world) start(domain, log string) *daemon {
	d := w.run(domain, log)
	d.backend = startBackend(d.local)
	w.daemons = append(w.daemons, d)
	return d
}

// run starts a daemon. The first two of the world are the seeds of later ones.
func (w *world) run(domain, log string) *daemon {
	ports := freePorts(5)
	name := fmt.Sprintf("materials-%d", len(w.daemons))
	seeds := []string{}
	for _, d := range w.daemons[:min(len(w.daemons), 2)] {
		seeds = append(seeds, d.peer)
	}
	w.record(tracker.Member{
		Instance: identifier.InstanceID(name), Incarnation: 1, Service: "materials", FailureDomain: identifier.FailureDomain(domain),
		Region: "jutland", Class: "standard", Slots: 20, Peer: identifier.Address(ports[1]), State: tracker.Starting,
	})
	text, err := json.Marshal(map[string]any{
		"node": name, "failure_domain": domain, "region": "jutland", "seeds": seeds, "key_shards": 4, "shutdown_timeout_ms": w.shutdown.Milliseconds(),
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
			connect.WithInterceptors(connect.UnaryInterceptorFunc(asPlanner))),
	}
	go func() {
		defer GinkgoRecover()
		defer close(d.done)
		Expect(runner.Run(ctx, settings, quiet)).To(Succeed())
	}()
	Eventually(func() error { _, err := d.status(); return err }, patience, "10ms").Should(Succeed())
	w.processes = append(w.processes, d)
	return d
}

// freePorts returns free addresses below the range that the system takes for
// outgoing connections, so that none takes them before the daemon does.
func freePorts(count int) []string {
	var found []string
	for len(found) < count {
		address := fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(12000))
		socket, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer socket.Close() // held, so that no address is found twice
		found = append(found, address)
	}
	return found
}

// stop stops the daemon gracefully and waits for its end.
func (d *daemon) stop() {
	d.cancel()
	<-d.done
	if d.backend != nil {
		d.backend.stop()
	}
}

// asPlanner gives calls of the administration API the operator's token.
func asPlanner(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		request.Header().Set("Authorization", "Bearer "+token)
		return next(ctx, request)
	}
}

func inTime() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), patience)
}

func (d *daemon) status() (*administrator.GetStatusResponse, error) {
	ctx, cancel := inTime()
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
	}, patience, "20ms").Should(Equal(instances), d.name)
}

// publish sends a sheet, again while the daemon does not know the log yet.
func (d *daemon) publish(text []byte, base uint64, id string) *administrator.PublishChangeResponse {
	var message *administrator.PublishChangeResponse
	Eventually(func() error {
		ctx, cancel := inTime()
		defer cancel()
		var err error
		message, err = d.api.PublishChange(ctx, &administrator.PublishChangeRequest{Sheet: text, BaseVersion: base, ChangeId: id})
		return err
	}, patience, "50ms").Should(Succeed())
	return message
}

// trail returns the audit trail as text.
func (d *daemon) trail() string {
	ctx, cancel := inTime()
	defer cancel()
	answer, err := d.api.ListAudit(ctx, &administrator.ListAuditRequest{Limit: 100})
	Expect(err).NotTo(HaveOccurred())
	text := ""
	for _, e := range answer.Entries {
		text += fmt.Sprintln(e.Offset, e.ChangeId, e.Version, e.Result)
	}
	return text
}

// answer is what a caller got.
type answer struct {
	outcome  encoder.Outcome
	reason   classifier.Reason
	replayed bool
	body     string
}

// send sends a request that may not be repeated. A connection that is refused or
// closed before an answer gives an answer without outcome.
func (d *daemon) send(path, key string) answer {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.Header.SetMethod(http.MethodPost)
	request.SetRequestURI("http://" + d.ingress + path)
	request.SetConnectionClose()
	if key != "" {
		request.Header.Set(encoder.HeaderIdempotencyKey, key)
	}
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if err := client.DoTimeout(request, response, patience); err != nil {
		return answer{body: err.Error()}
	}
	return answer{
		outcome: encoder.Outcome(response.Header.Peek(encoder.HeaderOutcome)),
		reason:  classifier.Reason(response.Header.Peek(encoder.HeaderReason)), body: string(response.Body()),
		replayed: len(response.Header.Peek(encoder.HeaderReplayed)) > 0,
	}
}

// backend is a backend server that counts its runs and announces itself.
type backend struct {
	server  *fasthttp.Server
	ended   chan struct{}
	service atomic.Int64 // time of one request
	running atomic.Int64
	total   atomic.Int64
	early   atomic.Int64 // most requests at the same time while fewer than 20 started
	mu      sync.Mutex
	runs    map[string]int
}

func startBackend(local string) *backend {
	b := &backend{ended: make(chan struct{}), runs: map[string]int{}}
	b.server = &fasthttp.Server{Handler: b.handle, Logger: log.New(io.Discard, "", 0)}
	socket := listen("127.0.0.1:0")
	go func() { _ = b.server.Serve(socket) }()
	body := fmt.Appendf(nil, `{"service":"materials","address":%q,"incarnation":7,"slots":20,"connections":240,"state":"ready"}`, socket.Addr())
	go func() {
		for {
			if answer, err := http.Post("http://"+local+"/announce", "application/json", bytes.NewReader(body)); err == nil {
				_, _ = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
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
	if running := b.running.Add(1); b.total.Add(1) <= 20 {
		b.early.Store(max(b.early.Load(), running))
	}
	b.mu.Unlock()
	time.Sleep(time.Duration(b.service.Load()))
	b.running.Add(-1)
	ctx.SetBodyString("answer to " + path)
}

func (b *backend) stop() {
	close(b.ended)
	_ = b.server.Shutdown()
}

// runs returns how often a path ran on all backend servers.
func (w *world) runs(path string) int {
	total := 0
	for _, d := range w.daemons {
		d.backend.mu.Lock()
		total += d.backend.runs[path]
		d.backend.mu.Unlock()
	}
	return total
}

// load sends requests through daemons, one after another from each of a number
// of callers, until the returned function ends it. That function returns the
// answers and the paths in the order of the answers.
func load(callers int, daemons ...*daemon) (end func() map[string]answer) {
	var mu sync.Mutex
	var all sync.WaitGroup
	answers, ended := map[string]answer{}, make(chan struct{})
	for caller := range callers {
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-ended:
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
		close(ended)
		all.Wait()
		return answers
	}
}

// link relays connections until it is cut.
type link struct {
	socket net.Listener
	mu     sync.Mutex
	cut    bool
	open   []net.Conn
}

func startLink(target string) *link {
	l := &link{socket: listen("127.0.0.1:0")}
	DeferCleanup(l.socket.Close)
	go func() {
		for {
			near, err := l.socket.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil || !l.join(near, far) {
				_ = near.Close()
				continue
			}
			for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
				go func() {
					_, _ = io.Copy(pair[0], pair[1])
					_ = pair[0].Close()
				}()
			}
		}
	}()
	return l
}

func (l *link) join(near, far net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		_ = far.Close()
		return false
	}
	l.open = append(l.open, near, far)
	return true
}

// set cuts the link or lets new connections through again.
func (l *link) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	for _, c := range l.open {
		_ = c.Close()
	}
	l.open = nil
}
