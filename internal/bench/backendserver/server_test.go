package backendserver_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/answer"
	"github.com/magnoliaknot/magnoliaknot/internal/bench/backendserver"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

var _ = Describe("the backend server over HTTP", func() {
	var client *fasthttp.HostClient
	var address string
	var config backendserver.Config
	var stop context.CancelFunc
	var done chan error
	var exits chan int

	BeforeEach(func() {
		exits = make(chan int, 1)
		config = backendserver.Config{
			StateMachine: backendserver.StateMachineConfig{
				Slots: 2, QueueLimit: 2,
				ServiceTime: backendserver.ServiceTime{Distribution: backendserver.Fixed},
			},
			Instance: "a1", Address: "127.0.0.1:0", CrashMarker: "CRASH", SoftCrash: true, SoftCrashFor: 1,
			DrainMax: timer.Minute, Exit: func(code int) { exits <- code },
		}
	})
	JustBeforeEach(func() {
		var ctx context.Context
		ctx, stop = context.WithCancel(context.Background())
		ready, random := make(chan net.Addr, 1), rand.New(rand.NewPCG(1, 2))
		server := backendserver.NewServer(config, timer.NewSystem(), random, slog.New(slog.DiscardHandler))
		done = make(chan error, 1)
		go func() { done <- server.Run(ctx, func(addr net.Addr) { ready <- addr }) }()
		address = (<-ready).String()
		client = &fasthttp.HostClient{
			Addr: address, MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		}
	})
	AfterEach(func() {
		client.CloseIdleConnections()
		stop()
		Eventually(done, "30s").Should(Receive(BeNil()))
	})

	call := func(method, path, id, body string, headers ...string) (int, []byte, error) {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.Header.SetMethod(method)
		request.SetRequestURI("http://" + address + path)
		request.Header.Set(backendserver.HeaderRequestID, id)
		for i := 0; i+1 < len(headers); i += 2 {
			request.Header.Set(headers[i], headers[i+1])
		}
		request.SetBodyString(body)
		err := client.Do(request, response)
		return response.StatusCode(), response.Body(), err
	}
	runs := func(query string) (answered backendserver.Runs) {
		_, body, err := call("GET", "/runs"+query, "", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(json.Unmarshal(body, &answered)).To(Succeed())
		return answered
	}

	It("guards against an answer that is incomplete or not of the requested size", func() {
		status, body, err := call("POST", "/x", "r-1", "payload", backendserver.HeaderAnswerBytes, "500")
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(200))
		Expect(body).To(HaveLen(500))
		Expect(json.Valid(body)).To(BeTrue())
		Expect(answer.Check(body, answer.Expected{Request: "r-1", Checksum: answer.Sum([]byte("payload")), Size: 500})).To(Succeed())
	})

	It("guards against a request that ran but is not counted because its connection was closed", func() {
		_, _, err := call("POST", "/faults", "", `{"close_next":1}`)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = call("POST", "/x", "r-1", "", backendserver.HeaderIdempotencyKey, "k")
		Expect(err).To(HaveOccurred())
		Expect(runs("").Requests).To(BeEmpty())
		_, _, err = call("POST", "/x", "r-1", "", backendserver.HeaderIdempotencyKey, "k")
		Expect(err).NotTo(HaveOccurred())
		listed := runs("")
		Expect(listed.Requests).To(HaveKeyWithValue(answer.RequestID("r-1"), 2))
		Expect(listed.Keys).To(HaveLen(1))
		Expect(listed.TotalRuns).To(BeEquivalentTo(2))
	})

	It("guards against a crash that keeps the incarnation or loses the run counts", func() {
		before, after := backendserver.Load{}, backendserver.Load{}
		_, body, err := call("GET", "/load", "", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(json.Unmarshal(body, &before)).To(Succeed())
		_, _, err = call("POST", "/x", "r-1", "a CRASH in the body")
		Expect(err).To(HaveOccurred())
		Eventually(func() error { _, body, err = call("GET", "/load", "", ""); return err }, "30s").Should(Succeed())
		Expect(json.Unmarshal(body, &after)).To(Succeed())
		Expect(after.Incarnation).To(BeNumerically(">", before.Incarnation))
		Expect(runs("?all=1").Requests).To(HaveKeyWithValue(answer.RequestID("r-1"), 1))
	})

	Context("with a service time beyond the caller's deadline", func() {
		BeforeEach(func() { config.StateMachine.ServiceTime.Median = time.Hour })

		It("guards against work that continues after the deadline", func() {
			status, _, err := call("GET", "/x", "r-1", "", backendserver.HeaderTimeout, "1")
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(fasthttp.StatusGatewayTimeout))
			_, body, err := call("GET", "/load", "", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(ContainSubstring(`"in_flight":0`))
		})
	})

	Context("with hard crashes", func() {
		BeforeEach(func() { config.SoftCrash = false })

		It("guards against a crash that does not end the process", func() {
			_, _, err := call("POST", "/CRASH", "r-1", "")
			Expect(err).To(HaveOccurred())
			Eventually(exits, "30s").Should(Receive(Equal(backendserver.CrashExitCode)))
		})
	})
})
