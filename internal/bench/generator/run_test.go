package generator_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/answer"
	"github.com/magnoliaknot/magnoliaknot/internal/bench/backendserver"
	"github.com/magnoliaknot/magnoliaknot/internal/bench/generator"
	"github.com/magnoliaknot/magnoliaknot/internal/bench/listener"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestGenerator(t *testing.T) { tester.RunSpecs(t, "generator") }

const requests = 20

func oneKind(method string, key generator.KeyKind) generator.Config {
	return generator.Config{
		Pattern: generator.Uniform, Rate: 1000,
		Steps: []generator.Step{{Factor: 1, Duration: (requests + 1) * time.Millisecond}},
		Plan: []generator.RequestKind{{
			Name: "only", Weight: 1, Method: method, Path: "/x", Key: key,
			BodyBytes: 40, AnswerBytes: 300, TimeoutMs: timer.Minute,
		}},
		MaxInFlight: 100, IdleTimeout: timer.Second,
	}
}

// tamperingServer answers like a backend server behind a daemon, but may alter
// its answers.
type tamperingServer struct {
	mu       sync.Mutex
	ids      []string
	keys     []string
	previous []byte
	tamper   func(t *tamperingServer, ctx *fasthttp.RequestCtx, body []byte)
}

func (t *tamperingServer) handle(ctx *fasthttp.RequestCtx) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := string(ctx.Request.Header.Peek(backendserver.HeaderRequestID))
	t.ids = append(t.ids, id)
	t.keys = append(t.keys, string(ctx.Request.Header.Peek(backendserver.HeaderIdempotencyKey)))
	size, _ := strconv.Atoi(string(ctx.Request.Header.Peek(backendserver.HeaderAnswerBytes)))
	own := answer.Answer{Request: answer.RequestID(id), Instance: "a", Checksum: answer.Sum(ctx.PostBody())}
	body := answer.Append(nil, own, size)
	ctx.Response.Header.Set("Magnoliaknot-Outcome", "complete")
	ctx.SetBody(body)
	t.tamper(t, ctx, body)
	t.previous = body
}

func (t *tamperingServer) requestIDs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.ids)
}

func (t *tamperingServer) idempotencyKeys() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.keys)
}

// serve runs a handler on a loopback address until the end of the spec.
func serve(handler fasthttp.RequestHandler) identifier.Address {
	socket, err := listener.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &fasthttp.Server{Handler: handler, Logger: listener.DebugLogger{Log: slog.New(slog.DiscardHandler)}}
	go func() {
		defer GinkgoRecover()
		Expect(server.Serve(socket)).To(Succeed())
	}()
	DeferCleanup(func() { Expect(socket.Close()).To(Succeed()) })
	return identifier.Address(socket.Addr().String())
}

func run(config generator.Config) generator.Report {
	report, err := generator.Run(context.Background(), config, timer.NewSystem(), slog.New(slog.DiscardHandler))
	Expect(err).NotTo(HaveOccurred())
	return report
}

func leaveUnchanged(*tamperingServer, *fasthttp.RequestCtx, []byte) {}

func closeUnanswered(_ *tamperingServer, ctx *fasthttp.RequestCtx, _ []byte) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

var _ = Describe("answers", func() {
	cases := []struct {
		failure string
		tamper  func(t *tamperingServer, ctx *fasthttp.RequestCtx, body []byte)
		wrong   int
		partial int
	}{
		{"correct answers counted as wrong or partial", leaveUnchanged, 0, 0},
		{"a complete answer to another request accepted as the request's own", func(t *tamperingServer, ctx *fasthttp.RequestCtx, _ []byte) {
			if t.previous != nil {
				ctx.SetBody(t.previous)
			}
		}, requests - 1, 0},
		{"a truncated answer with a matching content length accepted as complete", func(_ *tamperingServer, ctx *fasthttp.RequestCtx, body []byte) {
			ctx.SetBody(body[:len(body)-1])
		}, 0, requests},
		{"an answer that breaks off counted as unknown", func(_ *tamperingServer, ctx *fasthttp.RequestCtx, body []byte) {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(conn net.Conn) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:100])
			})
		}, 0, requests},
		{"one changed byte in the padding going undetected", func(_ *tamperingServer, ctx *fasthttp.RequestCtx, body []byte) {
			changed := bytes.Clone(body)
			changed[len(changed)-10] ^= 1
			ctx.SetBody(changed)
		}, requests, 0},
	}
	for _, c := range cases {
		It("guards against "+c.failure, func() {
			config := oneKind("POST", generator.KeyNone)
			config.Targets = append(config.Targets, serve((&tamperingServer{tamper: c.tamper}).handle))
			report := run(config)
			Expect(report.Sent).To(Equal(requests))
			Expect(report.WrongAnswers).To(Equal(c.wrong))
			Expect(report.PartialAnswers).To(Equal(c.partial))
			Expect(report.Violations()).To(Equal(c.wrong + c.partial))
			Expect(report.Groups[0].Outcomes[generator.Complete]).To(Equal(requests - c.wrong - c.partial))
		})
	}
})

var _ = Describe("sending", func() {
	methods := []struct {
		method string
		key    generator.KeyKind
	}{{"GET", generator.KeyNone}, {"PUT", generator.KeyNone}, {"POST", generator.KeyUUIDv7}}
	for _, c := range methods {
		It("guards against hidden retries of the client: "+c.method, func() {
			server := &tamperingServer{tamper: closeUnanswered}
			config := oneKind(c.method, c.key)
			config.Targets = append(config.Targets, serve(server.handle))
			report := run(config)
			Expect(server.requestIDs()).To(HaveLen(requests))
			Expect(report.Groups[0].Outcomes).To(Equal(map[generator.Outcome]int{generator.Unknown: requests}))
		})
	}

	It("guards against a resend with another key, or through the same target", func() {
		closing, healthy := &tamperingServer{tamper: closeUnanswered}, &tamperingServer{tamper: leaveUnchanged}
		config := oneKind("POST", generator.KeyRandom)
		config.ResendUnknown = 1
		config.Targets = append(config.Targets, serve(closing.handle), serve(healthy.handle))
		report := run(config)
		Expect(report.Groups[0].Outcomes).To(Equal(map[generator.Outcome]int{generator.Complete: requests}))
		Expect(report.Groups[0].Resends).To(Equal(requests / 2))
		Expect(healthy.requestIDs()).To(ContainElements(closing.requestIDs()))
		Expect(healthy.idempotencyKeys()).To(ContainElements(closing.idempotencyKeys()))
	})

	It("guards against direct and proxied requests that are not interleaved", func() {
		config := oneKind("POST", generator.KeyNone)
		proxied, direct := &tamperingServer{tamper: leaveUnchanged}, &tamperingServer{tamper: leaveUnchanged}
		config.Targets = append(config.Targets, serve(proxied.handle))
		config.Direct = append(config.Direct, serve(direct.handle))
		report := run(config)
		Expect(report.Groups).To(HaveLen(2))
		Expect(proxied.requestIDs()).To(HaveLen(requests / 2))
		Expect(direct.requestIDs()).To(HaveLen(requests / 2))
	})
})

var _ = Describe("the audit", func() {
	no := false
	cases := []struct {
		failure  string
		method   string
		may      *bool
		outcome  string
		runs     func(id string) string
		repeated int
		refused  int
	}{
		{"a request that ran once being reported", "POST", nil, "complete", func(id string) string { return `"` + id + `":1` }, 0, 0},
		{"a request that ran twice on one server going undetected", "POST", nil, "complete", func(id string) string { return `"` + id + `":2` }, requests, 0},
		{"an idempotent request being reported", "GET", nil, "complete", func(id string) string { return `"` + id + `":2` }, 0, 0},
		{"a GET that ran twice and is not idempotent in the plan going undetected", "GET", &no, "complete", func(id string) string { return `"` + id + `":2` }, requests, 0},
		{"a request that was reported as not_run but ran going undetected", "GET", nil, "not_run", func(id string) string { return `"` + id + `":1` }, 0, requests},
	}
	for _, c := range cases {
		It("guards against "+c.failure, func() {
			server := &tamperingServer{tamper: func(_ *tamperingServer, ctx *fasthttp.RequestCtx, _ []byte) {
				ctx.Response.Header.Set("Magnoliaknot-Outcome", c.outcome)
			}}
			counts := serve(func(ctx *fasthttp.RequestCtx) {
				var entries []byte
				for i, id := range server.requestIDs() {
					if i > 0 {
						entries = append(entries, ',')
					}
					entries = append(entries, c.runs(id)...)
				}
				ctx.SetBodyString(`{"requests":{` + string(entries) + `}}`)
			})
			config := oneKind(c.method, generator.KeyNone)
			config.Plan[0].MayRepeat = c.may
			config.Targets = append(config.Targets, serve(server.handle))
			config.Audit = append(config.Audit, generator.AuditURL("http://"+string(counts)+"/runs"))
			report := run(config)
			Expect(report.Audit.RepeatedRequests).To(HaveLen(c.repeated))
			Expect(report.Audit.RefusedRan).To(HaveLen(c.refused))
			Expect(report.Violations()).To(Equal(c.repeated + c.refused))
		})
	}

	It("guards against a request that ran once on each of two servers going undetected", func() {
		server := &tamperingServer{tamper: leaveUnchanged}
		counts := serve(func(ctx *fasthttp.RequestCtx) {
			ctx.SetBodyString(`{"requests":{"` + server.requestIDs()[0] + `":1},"keys":{"` + server.idempotencyKeys()[0] + `":1}}`)
		})
		config := oneKind("POST", generator.KeyUUIDv7)
		config.Targets = append(config.Targets, serve(server.handle))
		url := generator.AuditURL("http://" + string(counts) + "/runs")
		config.Audit = append(config.Audit, url, url)
		report := run(config)
		Expect(report.Audit.RepeatedRequests).To(HaveLen(1))
		Expect(report.Audit.RepeatedKeys).To(HaveLen(1))
	})
})
