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
	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/receiver"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/responder"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestReceiver(t *testing.T) { tester.RunSpecs(t, "receiver") }

// backend counts runs by path and misbehaves by path.
type backend struct {
	address  string
	mu       sync.Mutex
	listener net.Listener
	runs     map[string]int
	// release ends the requests that are held.
	release chan struct{}
}

func startBackend() *backend {
	b := &backend{address: "127.0.0.1:0", runs: map[string]int{}, release: make(chan struct{})}
	b.up()
	DeferCleanup(b.down)
	return b
}

// up starts to listen, on the same address as before.
func (b *backend) up() {
	listener, err := net.Listen("tcp", b.address)
	Expect(err).NotTo(HaveOccurred())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listener, b.address = listener, listener.Addr().String()
	server := &fasthttp.Server{Handler: b.handle, Logger: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(listener) }()
}

// down refuses connections from now on.
func (b *backend) down() {
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
		b.down()
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

func runs(path string, backends ...*backend) int {
	total := 0
	for _, b := range backends {
		b.mu.Lock()
		total += b.runs[path]
		b.mu.Unlock()
	}
	return total
}

// link relays TCP connections and can make the open ones silent.
type link struct {
	address string
	mu      sync.Mutex
	target  string
	silent  []*atomic.Bool
}

func startLink(target string) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	l := &link{address: listener.Addr().String(), target: target}
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

func (l *link) relay(conn net.Conn) {
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	other, err := net.Dial("tcp", target)
	if err != nil {
		_ = conn.Close()
		return
	}
	silent := new(atomic.Bool)
	l.mu.Lock()
	l.silent = append(l.silent, silent)
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
				if silent.Load() {
					continue
				}
				if _, err := pair[1].Write(buf[:n]); err != nil {
					return
				}
			}
		}()
	}
}

// replace makes new connections go to another target; the open ones stay.
func (l *link) replace(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// startEmptyDaemon starts the peer address of a daemon that has seen no attempt.
func startEmptyDaemon(incarnation identifier.Incarnation) string {
	admission := receiver.NewAdmission(receiver.AdmissionConfig{Clock: timer.NewSystem()})
	answers := responder.New(responder.Config{Incarnation: incarnation, Admission: admission, Keys: noKeys{}})
	return serve(GinkgoTB(), answers.Handler(admission.Serve))
}

// goSilent drops what comes over the connections that are open now.
func (l *link) goSilent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.silent {
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
		{"whole answer", "POST", "/orders", encoder.Complete, 1},
		{"backend server closes after reading a request that may not be repeated", "POST", "/close", encoder.Unknown, 1},
		{"backend server closes after reading an idempotent request", "GET", "/close", encoder.Unknown, 2},
		{"answer cut short", "POST", "/partial", encoder.Unknown, 1},
		{"answer after the deadline", "POST", "/slow", encoder.Unknown, 1},
		{"backend servers shed and say so", "POST", "/shed", encoder.NotRun, 2},
	}
	for _, c := range cases {
		It("guards against a second run, a partial answer and a wrong outcome: "+c.name, func() {
			first, second := startBackend(), startBackend()
			w := newWorld(GinkgoTB(), first.address, second.address)
			got := w.send(GinkgoTB(), c.method, c.path, 200)
			Expect(got.outcome).To(Equal(c.outcome))
			if c.outcome == encoder.Complete {
				Expect(got.body).To(Equal("answer to " + c.path))
			}
			Expect(runs(c.path, first, second)).To(Equal(c.runs))
		})
	}

	It("guards against refusing a request when one backend server refuses connections", func() {
		dead, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := dead.Addr().String()
		Expect(dead.Close()).To(Succeed())
		good := startBackend()
		w := newWorld(GinkgoTB(), address, good.address)
		for range 20 {
			Expect(w.send(GinkgoTB(), "POST", "/orders", timer.Second).outcome).To(Equal(encoder.Complete))
		}
		Expect(runs("/orders", good)).To(Equal(20))
	})

	It("guards against a silent connection that costs a timeout or a second run", func() {
		only := startBackend()
		w := newWorld(GinkgoTB(), only.address)
		l := startLink(string(w.instances[0].member.Peer))
		w.replacePeer(0, identifier.Address(l.address))
		Expect(w.send(GinkgoTB(), "POST", "/first", timer.Second).outcome).To(Equal(encoder.Complete))
		l.goSilent()
		other := startBackend()
		w.add(GinkgoTB(), 2, other.address)
		time.Sleep(200 * time.Millisecond)
		for i := range 10 {
			path := fmt.Sprint("/orders/", i)
			Expect(w.send(GinkgoTB(), "POST", path, 2*timer.Second).outcome).To(Equal(encoder.Complete))
			Expect(runs(path, only, other)).To(Equal(1))
		}
	})

	It("guards against a replaced daemon that says not run of what its predecessor ran", func() {
		only := startBackend()
		w := newWorld(GinkgoTB(), only.address)
		l := startLink(string(w.instances[0].member.Peer))
		w.replacePeer(0, identifier.Address(l.address))
		Expect(w.send(GinkgoTB(), "POST", "/first", timer.Second).outcome).To(Equal(encoder.Complete))
		l.replace(startEmptyDaemon(2))
		Expect(w.send(GinkgoTB(), "POST", "/slow", 390).outcome).To(Equal(encoder.Unknown))
		Expect(runs("/slow", only)).To(Equal(1))
	})

	It("guards against an answer that comes late being given to the next request", func() {
		only := startBackend()
		w := newWorld(GinkgoTB(), only.address)
		for i := range 5 {
			Expect(w.send(GinkgoTB(), "POST", fmt.Sprint("/slow/", i), 100).outcome).To(Equal(encoder.Unknown))
			path := fmt.Sprint("/orders/", i)
			Expect(w.send(GinkgoTB(), "POST", path, timer.Second).body).To(Equal("answer to " + path))
		}
	})

	It("guards against new work in a failure domain that is out of service", func() {
		only := startBackend()
		w := newWorld(GinkgoTB(), only.address)
		Expect(w.send(GinkgoTB(), "POST", "/orders", timer.Second).outcome).To(Equal(encoder.Complete))
		w.publish(GinkgoTB(), strings.Replace(sheetText, `"region": "jutland", "return_ramp_ms": 1000}, {`,
			`"region": "jutland", "out": [{"from": "2026-01-01T00:00:00Z"}], "return_ramp_ms": 1000}, {`, 1))
		got := w.send(GinkgoTB(), "POST", "/orders", timer.Second)
		Expect(got.outcome).To(Equal(encoder.NotRun))
		Expect(runs("/orders", only)).To(Equal(1))
	})

	It("guards against a start in a failure domain that is out when the sender does not know it yet", func() {
		only := startBackend()
		w := newWorld(GinkgoTB(), only.address)
		w.publish(GinkgoTB(), strings.Replace(sheetText, `"region": "jutland", "return_ramp_ms": 1000}, {`,
			`"region": "jutland", "out": [{"from": "2026-01-01T00:00:00Z"}], "return_ramp_ms": 1000}, {`, 1))
		time.Sleep(100 * time.Millisecond)
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.SetRequestURI("http://" + string(w.instances[0].member.Peer) + "/orders")
		encoder.Attempt{ID: identifier.AttemptID{Origin: 5, Sequence: 1}, Remaining: 500, Version: 1}.Encode(&request.Header)
		Expect(fasthttp.Do(request, response)).To(Succeed())
		Expect(string(response.Header.Peek(encoder.HeaderReason))).To(Equal("domain_out"))
		Expect(runs("/orders", only)).To(Equal(0))
	})

	It("guards against new work at a backend server that is leaving", func() {
		only := startBackend()
		w := newWorld(GinkgoTB(), only.address)
		w.instances[0].admission.Announce(receiver.Announcement{
			Service: "materials", Address: identifier.Address(only.address), Incarnation: 1, Slots: 20, Connections: 100, State: tracker.Draining,
		})
		got := w.send(GinkgoTB(), "POST", "/orders", timer.Second)
		Expect(got).To(Equal(answer{status: 503, outcome: encoder.NotRun, reason: "draining", body: got.body}))
		Expect(runs("/orders", only)).To(Equal(0))
	})

	It("guards against a request that crashes every backend server that runs it", func() {
		first, second := startBackend(), startBackend()
		w := newWorld(GinkgoTB(), first.address, second.address)
		for range 12 {
			got := w.send(GinkgoTB(), "POST", "/crash", timer.Second)
			Expect(got.outcome).NotTo(Equal(encoder.Complete))
			for i, b := range []*backend{first, second} {
				b.down()
				b.up()
				w.instances[i].announce(b.address, identifier.Incarnation(w.clock.Wall()))
			}
			time.Sleep(60 * time.Millisecond)
		}
		Expect(runs("/crash", first, second)).To(BeNumerically("<=", 2))
		Expect(w.send(GinkgoTB(), "POST", "/orders", timer.Second).outcome).To(Equal(encoder.Complete))
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
		It("guards against a broken framing and a refusal without outcome: "+f.name, func() {
			w := newWorld(GinkgoTB(), startBackend().address)
			request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			request.SetRequestURI("http://" + w.address + f.path)
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

	It("guards against a refusal without outcome of a body over the limit", func() {
		w := newWorld(GinkgoTB(), startBackend().address)
		conn, err := net.Dial("tcp", w.address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /length HTTP/1.1\r\nHost: materials\r\nContent-Length: 2000000\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		var response fasthttp.Response
		Expect(response.Read(bufio.NewReader(conn))).To(Succeed())
		Expect(response.StatusCode()).To(Equal(fasthttp.StatusRequestEntityTooLarge))
		Expect(string(response.Header.Peek(encoder.HeaderOutcome))).To(Equal("not_run"))
	})

	It("guards against a suspicion that stays on a request that became a suspect in the queue and then ran alone", func() {
		only := startBackend()
		w := newWorld(GinkgoTB(), only.address)
		load := func() admitter.Load {
			status, _ := w.instances[0].admission.Status()
			return status.Load
		}
		var callers sync.WaitGroup
		for i := range 18 {
			callers.Go(func() {
				defer GinkgoRecover()
				w.send(GinkgoTB(), "POST", fmt.Sprint("/hold/", i), 5*timer.Second)
			})
		}
		Eventually(load).Should(HaveField("InFlight", 18))
		callers.Go(func() {
			defer GinkgoRecover()
			Expect(w.send(GinkgoTB(), "POST", "/queued", 5*timer.Second).outcome).To(Equal(encoder.Complete))
		})
		Eventually(load).Should(HaveField("Queued", 1))
		w.instances[0].admission.AddQuarantineEntries("materials", []quarantiner.Entry{{
			Fingerprint: identifier.NewFingerprint("POST", "/queued", nil),
			Kind:        quarantiner.Suspect, Expires: w.clock.Wall() + timer.Minute,
		}})
		close(only.release)
		callers.Wait()
		Eventually(w.entries).Should(ContainElement(HaveField("Kind", quarantiner.Cleared)))
	})

	It("guards against calls that nest without end", func() {
		w := newWorld(GinkgoTB(), startBackend().address)
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.SetRequestURI("http://" + w.address + "/orders")
		request.Header.Set(encoder.HeaderDepth, "8")
		Expect(fasthttp.Do(request, response)).To(Succeed())
		Expect(string(response.Header.Peek(encoder.HeaderReason))).To(Equal(string(classifier.TooDeep)))
	})
})
