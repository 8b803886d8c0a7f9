package attacker_test

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
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/attacker"
	"github.com/magnoliaknot/magnoliaknot/internal/bench/logserver"
	"github.com/magnoliaknot/magnoliaknot/pkg/administrator"
	"github.com/magnoliaknot/magnoliaknot/pkg/administrator/administratorconnect"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Bounds of a daemon on the smallest VMs, and the crowds.
const (
	memoryMB    = 184
	descriptors = 1200
	crowd       = 300
	connections = 350
	// fewConnections is the bound while manyConnections are idle.
	fewConnections  = 150
	manyConnections = 300
	headBytes       = 16384
	// pipelined is how often each connection sends its text.
	pipelined   = 20
	waitTimeout = 20 * time.Second
	work        = 300 * time.Millisecond
	token       = "token-of-the-planner"
)

const sheet = `{
  "format": 1, "deployment": "test", "measuring_budget": {"messages_per_second": 400, "bytes_per_second": 65536},
  "failure_domains": [{"name": "aarhus", "region": "jutland", "return_ramp_ms": 2000}],
  "instance_classes": [{"name": "standard", "slots": 20, "connections": 240, "cold_limit": 20, "ramp_completions": 1}],
  "services": [{"name": "materials", "path_prefixes": ["/"], "instance_class": "standard", "expected_load_per_second": 10,
    "max_in_flight": 20, "max_queue": 40, "default_timeout_ms": 3000, "max_timeout_ms": 9000,
    "retry_budget_percent": 50, "hedge_percent": 0, "idempotent": [{"method": "GET", "path_prefix": "/"}],
    "deduplication_window_ms": 60000, "quarantine_ms": 60000}]
}`

// TestMain removes the program after the tests.
func TestMain(m *testing.M) {
	code := m.Run()
	attacker.RemoveDaemon()
	os.Exit(code)
}

// daemon is a daemon process with a log server and a backend server in this process.
type daemon struct {
	t       *testing.T
	process *attacker.Process
	log     string
	// ingress, peer, local and administration are the addresses it listens on.
	ingress, peer, local, administration string
	mu                                   sync.Mutex
	// answer and work are the answer of the backend server and the time that it takes.
	answer string
	work   time.Duration
}

func startDaemon(t *testing.T, connections int) *daemon {
	t.Helper()
	return startLimited(t, map[string]any{"connections": connections})
}

func startLimited(t *testing.T, limits map[string]any) *daemon {
	t.Helper()
	path, err := attacker.BuildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	directory := t.TempDir()
	ports := freePorts(t, 5)
	d := &daemon{
		t: t, log: filepath.Join(directory, "log"), ingress: ports[0], peer: ports[1], local: ports[3], administration: ports[4], answer: "ok", work: work,
	}
	settings, err := json.Marshal(map[string]any{
		"node": "materials-0", "failure_domain": "aarhus", "region": "jutland", "key_shards": 4, "shutdown_timeout_ms": 2000,
		"addresses": map[string]string{
			"ingress": ports[0], "peer": ports[1], "probe": ports[2], "local": ports[3], "administration": ports[4],
		},
		"log":       map[string]any{"url": "http://" + d.startLog(), "retention_ms": 3600000},
		"limits":    limits,
		"operators": []any{map[string]string{"name": "planner", "token_sha256": fmt.Sprintf("%x", sha256.Sum256([]byte(token))), "role": "publisher"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(directory, "settings.json")
	if err = os.WriteFile(file, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	d.process, err = attacker.Start(attacker.Program{
		Path: path, Arguments: []string{"daemon", "--settings", file}, Log: d.log, Descriptors: descriptors,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.process.Kill)
	d.startBackend()
	d.publish()
	d.awaitAnswer(t)
	return d
}

func freePorts(t *testing.T, count int) []string {
	t.Helper()
	var addresses []string
	for len(addresses) < count {
		address := fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(12000))
		socket, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer socket.Close() // Held open until the return, so that no address is found twice.
		addresses = append(addresses, address)
	}
	return addresses
}

func (d *daemon) listen() net.Listener {
	d.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func (d *daemon) startLog() string {
	server := logserver.NewServer(
		logserver.StoreConfig{MaxRecordBytes: 1 << 20, AppendsPerSecond: 1000},
		timer.NewSystem(), rand.New(rand.NewPCG(1, 2)), slog.New(slog.DiscardHandler),
	)
	listener := d.listen()
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// startBackend starts a backend server that announces itself.
func (d *daemon) startBackend() {
	listener, stopped := d.listen(), make(chan struct{})
	server := &fasthttp.Server{
		ReadBufferSize: 64 << 10, MaxRequestBodySize: 128 << 20, Logger: log.New(io.Discard, "", 0),
		Handler: func(ctx *fasthttp.RequestCtx) {
			d.mu.Lock()
			answer, work := d.answer, d.work
			d.mu.Unlock()
			time.Sleep(work)
			ctx.SetBodyString(answer)
		},
	}
	go func() { _ = server.Serve(listener) }()
	body := fmt.Appendf(nil, `{"service":"materials","address":%q,"incarnation":7,"slots":20,"connections":240,"state":"ready"}`, listener.Addr())
	go func() {
		for {
			if response, err := http.Post("http://"+d.local+"/announce", "application/json", bytes.NewReader(body)); err == nil {
				_ = response.Body.Close()
			}
			select {
			case <-stopped:
				return
			case <-time.After(300 * time.Millisecond):
			}
		}
	}()
	d.t.Cleanup(func() { close(stopped); _ = server.Shutdown() })
}

func (d *daemon) setWork(work time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.work = work
}

func (d *daemon) setAnswer(answer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answer = answer
}

// publish publishes the sheet, which fails until the daemon has read the log.
func (d *daemon) publish() {
	d.t.Helper()
	api := administratorconnect.NewAdministratorClient(http.DefaultClient, "http://"+d.administration,
		connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
			return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
				request.Header().Set("Authorization", "Bearer "+token)
				return next(ctx, request)
			}
		})))
	var err error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		_, err = api.PublishChange(ctx, &administrator.PublishChangeRequest{Sheet: []byte(sheet)})
		cancel()
		if err == nil {
			return
		}
	}
	d.t.Fatal(err)
}

// awaitAnswer waits until an ordinary request is answered.
func (d *daemon) awaitAnswer(t *testing.T) {
	t.Helper()
	if err := d.process.AwaitAnswer(identifier.Address(d.ingress), "GET /x HTTP/1.1\r\nHost: shop.example\r\nMagnoliaknot-Timeout-Ms: 8000\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
}

// checkAlive checks, after an attack, that the daemon answers an ordinary request and has
// stayed within the bounds of its VM.
func (d *daemon) checkAlive(t *testing.T) {
	t.Helper()
	d.checkWithin(t, memoryMB)
}

func (d *daemon) checkWithin(t *testing.T, memoryMB int64) {
	t.Helper()
	d.awaitAnswer(t)
	usage, err := d.process.Check(attacker.Bounds{MemoryMB: memoryMB, Descriptors: descriptors})
	t.Logf("peak resident memory %d MB, %d descriptors open", usage.PeakMB, usage.Descriptors)
	if err != nil {
		t.Error(err)
	}
}

func callers() attacker.Target {
	return attacker.Target{
		Path: "/x", Fields: "Magnoliaknot-Timeout-Ms: 3000\r\n", HeadBytes: headBytes,
		Names: []string{"Magnoliaknot-Load", "Magnoliaknot-Timeout-Ms", "Idempotency-Key", "Expect", "User-Agent"},
	}
}

// peers describes the attempts of other daemons.
func peers() attacker.Target {
	target := callers()
	target.Fields += "Magnoliaknot-Attempt: 1-%N\r\nMagnoliaknot-Depth: 0\r\nMagnoliaknot-Configuration-Version: 1\r\n"
	return target
}

// Guards against a crowd of callers or other clients whose heads and bodies take many times
// their bytes, so that the daemon exceeds the memory of its VM.
func TestCrowdOfShapes(t *testing.T) {
	for _, l := range []struct {
		name    string
		address func(*daemon) string
		target  attacker.Target
	}{
		{"callers", func(d *daemon) string { return d.ingress }, callers()},
		{"peers", func(d *daemon) string { return d.peer }, peers()},
		{"messages", func(d *daemon) string { return d.peer }, attacker.Target{Path: "/peer.v1.Peer/Announce", HeadBytes: headBytes}},
		{"local", func(d *daemon) string { return d.local }, attacker.Target{Path: "/announce", HeadBytes: 8000}},
		{"administration", func(d *daemon) string { return d.administration }, attacker.Target{Path: "/metrics", HeadBytes: 8000}},
	} {
		t.Run(l.name, func(t *testing.T) {
			d := startDaemon(t, connections)
			for _, shape := range l.target.Shapes() {
				t.Run(shape.Name, func(t *testing.T) {
					c := attacker.Attack{Address: identifier.Address(l.address(d)), Connections: crowd, Text: shape.Text, Times: pipelined, Linger: 400}.Begin()
					c.Wait()
					c.Close()
					d.checkAlive(t)
				})
			}
		})
	}
}

// Guards against a limit that refuses a single request within the limits, whatever its head
// is made of.
func TestSingleRequest(t *testing.T) {
	d := startDaemon(t, connections)
	for _, shape := range callers().Shapes() {
		if !shape.Whole {
			continue
		}
		t.Run(shape.Name, func(t *testing.T) {
			if status, _ := attacker.Send(identifier.Address(d.ingress), shape.Text); status != fasthttp.StatusOK {
				t.Errorf("status %d", status)
			}
		})
	}
	t.Run("the largest body", func(t *testing.T) {
		body := strings.Repeat("0123456789abcdef", 4<<20/16) // The default limit.
		if status, _ := attacker.Send(identifier.Address(d.ingress), fmt.Sprintf("POST /x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: %d\r\n\r\n%s", len(body), body)); status != fasthttp.StatusOK {
			t.Errorf("status %d", status)
		}
	})
	d.checkAlive(t)
}

// Guards against connections that use up the descriptors or lock out ordinary callers while
// they are open.
func TestCrowdOfConnections(t *testing.T) {
	half := attacker.HalfHead("GET /x HTTP/1.1\r\nHost: shop.example\r\n", "a:\r\n", 200)
	for _, c := range []struct {
		name    string
		address func(*daemon) string
		text    string
	}{
		{"callers, idle", func(d *daemon) string { return d.ingress }, ""},
		{"callers, half a head", func(d *daemon) string { return d.ingress }, half},
		{"callers, idle after a request", func(d *daemon) string { return d.ingress }, "GET /x HTTP/1.1\r\nHost: shop.example\r\nMagnoliaknot-Timeout-Ms: 500\r\n\r\n"},
		{"peers, idle", func(d *daemon) string { return d.peer }, ""},
		{"peers, half a head", func(d *daemon) string { return d.peer }, half},
		{"local, idle", func(d *daemon) string { return d.local }, ""},
		{"administration, idle", func(d *daemon) string { return d.administration }, ""},
		{"administration, half a head", func(d *daemon) string { return d.administration }, half},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startDaemon(t, fewConnections)
			crowd := attacker.Attack{Address: identifier.Address(c.address(d)), Connections: manyConnections, Text: c.text, Unread: true, Linger: 3000}.Begin()
			time.Sleep(time.Second)
			d.awaitAnswer(t)
			crowd.Close()
			d.checkAlive(t)
		})
	}
}

// Guards against answers that nobody reads, and bodies of many requests, that are kept
// without a bound in all.
func TestCrowdOfBodies(t *testing.T) {
	head := "POST /x HTTP/1.1\r\nHost: shop.example\r\nMagnoliaknot-Timeout-Ms: 3000\r\n"
	for _, c := range []struct {
		name, text string
		times      int
		answer     int
	}{
		{"large requests", head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 4<<20, strings.Repeat("a", 4<<20)), 1, 2},
		{"half of large requests", head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 4<<20, strings.Repeat("a", 4<<20-1)), 1, 2},
		{"unread large answers", "GET /x HTTP/1.1\r\nHost: shop.example\r\n\r\n", 20, 4 << 20},
		{"keys", head + "Idempotency-Key: %N" + strings.Repeat("k", 15000) + "\r\nContent-Length: 0\r\n\r\n", 30, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startDaemon(t, connections)
			d.setAnswer(strings.Repeat("a", c.answer))
			crowd := attacker.Attack{Address: identifier.Address(d.ingress), Connections: crowd, Text: c.text, Times: c.times, Unread: true, Linger: 3000}.Begin()
			crowd.Wait()
			crowd.Close()
			d.setAnswer("ok")
			d.checkAlive(t)
		})
	}
}

// Guards against idempotency keys whose claims, kept for the deduplication window, take memory
// that requests take as well, so that the daemon exceeds the memory of its VM.
func TestCrowdOfKeys(t *testing.T) {
	const memoryMB, keyed, keysEach, keyBytes = 64, 20, 3000, 250
	d := startLimited(t, map[string]any{"connections": connections, "memory_mb": memoryMB})
	d.setWork(0)
	key := "%N-%T-" + strings.Repeat("k", keyBytes-len("19-2999-"))
	keys := attacker.Attack{
		Address: identifier.Address(d.ingress), Connections: keyed, Times: keysEach, Linger: 15_000,
		Text: "POST /x HTTP/1.1\r\nHost: shop.example\r\nIdempotency-Key: " + key + "\r\nContent-Length: 0\r\n\r\n",
	}.Begin()
	keys.Wait()
	d.setWork(work)
	head := attacker.Head("GET /x HTTP/1.1\r\nHost: shop.example\r\n", "a:\r\n", headBytes)
	heads := attacker.Attack{Address: identifier.Address(d.ingress), Connections: crowd, Text: head, Times: pipelined, Linger: 400}.Begin()
	heads.Wait()
	heads.Close()
	keys.Close()
	d.checkWithin(t, memoryMB)
}
