package receiver_test

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/receiver"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/responder"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestReceiver(t *testing.T) { tester.RunSpecs(t, "receiver") }

// backend is a backend server that counts the runs of each path. The path's prefix
// selects a failure.
type backend struct {
	address  string
	mu       sync.Mutex
	listener net.Listener
	runs     map[string]int
	// release is closed to let the requests to /hold end.
	release chan struct{}
}

func startBackend() *backend {
	b := &backend{address: "127.0.0.1:0", runs: map[string]int{}, release: make(chan struct{})}
	b.startListening()
	DeferCleanup(b.stopListening)
	return b
}

// startListening listens, on the same address as before if there was one.
func (b *backend) startListening() {
	listener, err := net.Listen("tcp", b.address)
	Expect(err).NotTo(HaveOccurred())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listener, b.address = listener, listener.Addr().String()
	server := &fasthttp.Server{Handler: b.handle, Logger: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(listener) }()
}

// stopListening refuses connections from now on.
func (b *backend) stopListening() {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.listener.Close()
}

func (b *backend) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	b.mu.Lock()
	b.runs[path]++
	b.mu.Unlock()
	switch {
	case strings.HasPrefix(path, "/close"):
		_ = ctx.Conn().Close()
	case strings.HasPrefix(path, "/crash"):
		b.stopListening()
		_ = ctx.Conn().Close()
	case strings.HasPrefix(path, "/slow"):
		time.Sleep(400 * time.Millisecond)
	case strings.HasPrefix(path, "/partial"):
		_, _ = io.WriteString(ctx.Conn(), "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
		_ = ctx.Conn().Close()
	case strings.HasPrefix(path, "/hold"):
		<-b.release
	case strings.HasPrefix(path, "/empty"):
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	case strings.HasPrefix(path, "/length"):
		ctx.SetBodyString(fmt.Sprint(len(ctx.PostBody())))
		return
	case strings.HasPrefix(path, "/shed"):
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(encoder.HeaderOutcome, string(encoder.NotRun))
	}
	ctx.SetBodyString("answer to " + path)
}

func runCount(path string, backends ...*backend) int {
	total := 0
	for _, b := range backends {
		b.mu.Lock()
		total += b.runs[path]
		b.mu.Unlock()
	}
	return total
}

// tcpRelay relays TCP connections and can drop the data of the open ones.
type tcpRelay struct {
	address  string
	mu       sync.Mutex
	target   string
	dropping []*atomic.Bool
}

func startRelay(target string) *tcpRelay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	l := &tcpRelay{address: listener.Addr().String(), target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			l.relay(conn)
		}
	}()
	return l
}

func (l *tcpRelay) relay(conn net.Conn) {
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	other, err := net.Dial("tcp", target)
	if err != nil {
		_ = conn.Close()
		return
	}
	dropping := new(atomic.Bool)
	l.mu.Lock()
	l.dropping = append(l.dropping, dropping)
	l.mu.Unlock()
	for _, pair := range [][2]net.Conn{{conn, other}, {other, conn}} {
		go func() {
			defer pair[1].Close()
			buf := make([]byte, 4096)
			for {
				n, err := pair[0].Read(buf)
				if err != nil {
					return
				}
				if dropping.Load() {
					continue
				}
				if _, err := pair[1].Write(buf[:n]); err != nil {
					return
				}
			}
		}()
	}
}

// setTarget sets the target of new connections; the open ones stay.
func (l *tcpRelay) setTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// startEmptyDaemon serves the peer address of a daemon that has received no attempt.
func startEmptyDaemon(incarnation identifier.Incarnation) string {
	admission := receiver.NewAdmission(receiver.AdmissionConfig{Clock: timer.NewSystem()})
	peerResponder := responder.New(responder.Config{Incarnation: incarnation, Admission: admission, Keys: refusingClaimer{}})
	return startExchanger(GinkgoTB(), peerResponder.Handler(admission))
}

// dropTraffic drops all data received on the connections that are open now.
func (l *tcpRelay) dropTraffic() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.dropping {
		s.Store(true)
	}
}

var _ = Describe("a request under failure", func() {
	cases := []struct {
		name    string
		method  string
		path    string
		outcome encoder.Outcome
		runs    int
	}{
		{"complete answer", "POST", "/orders", encoder.Complete, 1},
		{"backend server closes after reading a request that may not be repeated", "POST", "/close", encoder.Unknown, 1},
		{"backend server closes after reading an idempotent request", "GET", "/close", encoder.Unknown, 2},
		{"partial answer", "POST", "/partial", encoder.Unknown, 1},
		{"answer after the deadline", "POST", "/slow", encoder.Unknown, 1},
		{"backend servers report that they shed the request", "POST", "/shed", encoder.NotRun, 2},
	}
	for _, c := range cases {
		It("guards against a second run, a partial answer and a wrong outcome: "+c.name, func() {
			first, second := startBackend(), startBackend()
			env := newEnvironment(GinkgoTB(), first.address, second.address)
			got := env.send(GinkgoTB(), c.method, c.path, 200)
			Expect(got.outcome).To(Equal(c.outcome))
			if c.outcome == encoder.Complete {
				Expect(got.body).To(Equal("answer to " + c.path))
			}
			Expect(runCount(c.path, first, second)).To(Equal(c.runs))
		})
	}

	It("guards against refusing a request when one backend server refuses connections", func() {
		dead, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := dead.Addr().String()
		Expect(dead.Close()).To(Succeed())
		good := startBackend()
		env := newEnvironment(GinkgoTB(), address, good.address)
		for range 20 {
			Expect(env.send(GinkgoTB(), "POST", "/orders", timer.Second).outcome).To(Equal(encoder.Complete))
		}
		Expect(runCount("/orders", good)).To(Equal(20))
	})

	It("guards against an unresponsive connection that causes a timeout or a second run", func() {
		only := startBackend()
		env := newEnvironment(GinkgoTB(), only.address)
		l := startRelay(string(env.instances[0].member.Peer))
		env.replacePeer(0, identifier.Address(l.address))
		Expect(env.send(GinkgoTB(), "POST", "/first", timer.Second).outcome).To(Equal(encoder.Complete))
		l.dropTraffic()
		other := startBackend()
		env.addInstance(GinkgoTB(), 2, other.address)
		time.Sleep(200 * time.Millisecond)
		for i := range 10 {
			path := fmt.Sprint("/orders/", i)
			Expect(env.send(GinkgoTB(), "POST", path, 2*timer.Second).outcome).To(Equal(encoder.Complete))
			Expect(runCount(path, only, other)).To(Equal(1))
		}
	})

	It("guards against a replaced daemon that reports a request that its predecessor ran as not run", func() {
		only := startBackend()
		env := newEnvironment(GinkgoTB(), only.address)
		l := startRelay(string(env.instances[0].member.Peer))
		env.replacePeer(0, identifier.Address(l.address))
		Expect(env.send(GinkgoTB(), "POST", "/first", timer.Second).outcome).To(Equal(encoder.Complete))
		l.setTarget(startEmptyDaemon(2))
		Expect(env.send(GinkgoTB(), "POST", "/slow", 390).outcome).To(Equal(encoder.Unknown))
		Expect(runCount("/slow", only)).To(Equal(1))
	})

	It("guards against returning a late answer to the next request", func() {
		only := startBackend()
		env := newEnvironment(GinkgoTB(), only.address)
		for i := range 5 {
			Expect(env.send(GinkgoTB(), "POST", fmt.Sprint("/slow/", i), 100).outcome).To(Equal(encoder.Unknown))
			path := fmt.Sprint("/orders/", i)
			Expect(env.send(GinkgoTB(), "POST", path, timer.Second).body).To(Equal("answer to " + path))
		}
	})

	It("guards against new requests in a failure domain that is out of service", func() {
		only := startBackend()
		env := newEnvironment(GinkgoTB(), only.address)
		Expect(env.send(GinkgoTB(), "POST", "/orders", timer.Second).outcome).To(Equal(encoder.Complete))
		env.publishSheet(GinkgoTB(), strings.Replace(sheetText, `"region": "jutland", "return_ramp_ms": 1000}, {`,
			`"region": "jutland", "out": [{"from": "2026-01-01T00:00:00Z"}], "return_ramp_ms": 1000}, {`, 1))
		got := env.send(GinkgoTB(), "POST", "/orders", timer.Second)
		Expect(got.outcome).To(Equal(encoder.NotRun))
		Expect(runCount("/orders", only)).To(Equal(1))
	})

	It("guards against running a request in a failure domain that is out while the sender does not know it yet", func() {
		only := startBackend()
		env := newEnvironment(GinkgoTB(), only.address)
		env.publishSheet(GinkgoTB(), strings.Replace(sheetText, `"region": "jutland", "return_ramp_ms": 1000}, {`,
			`"region": "jutland", "out": [{"from": "2026-01-01T00:00:00Z"}], "return_ramp_ms": 1000}, {`, 1))
		time.Sleep(100 * time.Millisecond)
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.SetRequestURI("http://" + string(env.instances[0].member.Peer) + "/orders")
		encoder.Attempt{ID: identifier.AttemptID{Origin: 5, Sequence: 1}, Remaining: 500, Version: 1}.Encode(&request.Header)
		Expect(fasthttp.Do(request, response)).To(Succeed())
		Expect(string(response.Header.Peek(encoder.HeaderReason))).To(Equal("domain_out"))
		Expect(runCount("/orders", only)).To(Equal(0))
	})

	It("guards against new requests to a backend server that is draining", func() {
		only := startBackend()
		env := newEnvironment(GinkgoTB(), only.address)
		env.instances[0].admission.Announce(receiver.Announcement{
			Service: "materials", Address: identifier.Address(only.address), Incarnation: 1, Slots: 20, Connections: 100, State: tracker.Draining,
		})
		got := env.send(GinkgoTB(), "POST", "/orders", timer.Second)
		Expect(got).To(Equal(answer{status: 503, outcome: encoder.NotRun, reason: "draining", body: got.body}))
		Expect(runCount("/orders", only)).To(Equal(0))
	})

	It("guards against a request that crashes every backend server that runs it", func() {
		first, second := startBackend(), startBackend()
		env := newEnvironment(GinkgoTB(), first.address, second.address)
		for range 12 {
			got := env.send(GinkgoTB(), "POST", "/crash", timer.Second)
			Expect(got.outcome).NotTo(Equal(encoder.Complete))
			for i, b := range []*backend{first, second} {
				b.stopListening()
				b.startListening()
				env.instances[i].announce(b.address, identifier.Incarnation(env.clock.Wall()))
			}
			time.Sleep(60 * time.Millisecond)
		}
		Expect(runCount("/crash", first, second)).To(BeNumerically("<=", 2))
		Expect(env.send(GinkgoTB(), "POST", "/orders", timer.Second).outcome).To(Equal(encoder.Complete))
	})

	framings := []struct {
		name, method, path string
		body               int
		chunked            bool
		header             int
		status             int
		reason, want       string
	}{
		{name: "HEAD", method: "HEAD", path: "/orders", status: 200},
		{name: "answer without body", method: "GET", path: "/empty", status: 204},
		{name: "body of 300 KB", method: "POST", path: "/length", body: 300_000, status: 200, want: "300000"},
		{name: "chunked body", method: "POST", path: "/length", body: 5000, chunked: true, status: 200, want: "5000"},
		{name: "header over the limit", method: "GET", path: "/length", header: 8 << 10, status: 413, reason: "too_large"},
	}
	for _, f := range framings {
		It("guards against broken framing and a refusal without outcome: "+f.name, func() {
			env := newEnvironment(GinkgoTB(), startBackend().address)
			request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			request.SetRequestURI("http://" + env.address + f.path)
			request.Header.SetMethod(f.method)
			request.Header.Set("X-Long", strings.Repeat("x", f.header))
			if f.chunked {
				request.SetBodyStream(strings.NewReader(strings.Repeat("x", f.body)), -1)
			} else {
				request.SetBodyString(strings.Repeat("x", f.body))
			}
			client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
			Expect(client.DoTimeout(request, response, 5*time.Second)).To(Succeed())
			Expect(response.StatusCode()).To(Equal(f.status))
			Expect(string(response.Header.Peek(encoder.HeaderReason))).To(Equal(f.reason))
			if f.reason == "" {
				Expect(string(response.Header.Peek(encoder.HeaderOutcome))).To(Equal("complete"))
				Expect(string(response.Body())).To(Equal(f.want))
			}
		})
	}

	It("guards against telling a caller to repeat a request whose key is too long to be ever granted", func() {
		env := newEnvironment(GinkgoTB(), startBackend().address)
		request, response := &fasthttp.Request{}, &fasthttp.Response{}
		request.Header.SetMethod("POST")
		request.SetRequestURI("http://" + env.address + "/orders")
		request.Header.Set(encoder.HeaderIdempotencyKey, strings.Repeat("k", deduplicator.MaxKeyBytes+1))
		client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
		Expect(client.DoTimeout(request, response, 5*time.Second)).To(Succeed())
		Expect(response.StatusCode()).To(Equal(fasthttp.StatusBadRequest))
		Expect(string(response.Header.Peek(encoder.HeaderOutcome))).To(Equal("not_run"))
		Expect(string(response.Header.Peek("Retry-After"))).To(BeEmpty())
	})

	It("guards against a refusal without outcome of a body over the limit", func() {
		env := newEnvironment(GinkgoTB(), startBackend().address)
		conn, err := net.Dial("tcp", env.address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /length HTTP/1.1\r\nHost: materials\r\nContent-Length: 2000000\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		var response fasthttp.Response
		Expect(response.Read(bufio.NewReader(conn))).To(Succeed())
		Expect(response.StatusCode()).To(Equal(fasthttp.StatusRequestEntityTooLarge))
		Expect(string(response.Header.Peek(encoder.HeaderOutcome))).To(Equal("not_run"))
	})

	It("guards against keeping a request quarantined that became a suspect in the queue and then ran alone", func() {
		only := startBackend()
		env := newEnvironment(GinkgoTB(), only.address)
		load := func() admitter.Load {
			status, _ := env.instances[0].admission.Status()
			return status.Load
		}
		var callers sync.WaitGroup
		for i := range 18 {
			callers.Go(func() {
				defer GinkgoRecover()
				env.send(GinkgoTB(), "POST", fmt.Sprint("/hold/", i), 5*timer.Second)
			})
		}
		Eventually(load).Should(HaveField("InFlight", 18))
		callers.Go(func() {
			defer GinkgoRecover()
			Expect(env.send(GinkgoTB(), "POST", "/queued", 5*timer.Second).outcome).To(Equal(encoder.Complete))
		})
		Eventually(load).Should(HaveField("Queued", 1))
		env.instances[0].admission.AddQuarantineEntries("materials", []quarantiner.Entry{{
			Fingerprint: identifier.NewFingerprint("POST", "/queued", nil),
			Kind:        quarantiner.Suspect, Expires: env.clock.Wall() + timer.Minute,
		}})
		close(only.release)
		callers.Wait()
		Eventually(env.quarantineEntries).Should(ContainElement(HaveField("Kind", quarantiner.Cleared)))
	})

	It("guards against endlessly nested calls", func() {
		env := newEnvironment(GinkgoTB(), startBackend().address)
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.SetRequestURI("http://" + env.address + "/orders")
		request.Header.Set(encoder.HeaderDepth, "8")
		Expect(fasthttp.Do(request, response)).To(Succeed())
		Expect(string(response.Header.Peek(encoder.HeaderReason))).To(Equal(string(classifier.TooDeep)))
	})
})
