package logserver_test

import (
	"log/slog"
	"math/rand/v2"
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/listener"
	"github.com/magnoliaknot/magnoliaknot/internal/bench/logserver"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Guards against a fault that stays active beyond its time or its count, and
// against one that is set but has no effect.
func TestFaults(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		faults := logserver.NewActiveFaults(rand.New(rand.NewPCG(1, 2)))
		clock := timer.NewManual(1, 0)
		outage := timer.Millis(rapid.IntRange(0, 1000).Draw(t, "outage"))
		slow := timer.Millis(rapid.IntRange(1, 1000).Draw(t, "slow"))
		span := timer.Millis(rapid.IntRange(1, 1000).Draw(t, "slow for"))
		lose := rapid.IntRange(0, 5).Draw(t, "lose")
		faults.Apply(clock.Now(), logserver.Fault{
			OutageMs: &outage, OutageMode: logserver.OutageHang, SlowMs: &slow, SlowForMs: span, LoseNext: &lose,
		})
		lost := 0
		for range 10 {
			if faults.LoseAnswer() {
				lost++
			}
		}
		if lost != lose || faults.LostAnswers() != uint64(lose) {
			t.Fatalf("%d answers lost, want %d", lost, lose)
		}
		clock.Advance(timer.Millis(rapid.IntRange(0, 2000).Draw(t, "elapsed")))
		mode, left := faults.Outage(clock.Now())
		if want := max(1+outage-clock.Now(), 0); left != want || (mode != "") != (want > 0) {
			t.Fatalf("outage %q with %d ms left, want %d", mode, left, want)
		}
		if got := faults.Delay(clock.Now()); (got == slow) != (clock.Now() < 1+span) {
			t.Fatalf("delay is %d after %d ms of %d", got, clock.Now()-1, span)
		}
	})
}

var _ = Describe("the log over HTTP", func() {
	var socket net.Listener
	var server *logserver.Server
	var client *fasthttp.HostClient

	BeforeEach(func() {
		var err error
		socket, err = listener.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		config := logserver.StoreConfig{MaxRecordBytes: 100, Retention: timer.Minute}
		server = logserver.NewServer(config, timer.NewSystem(), rand.New(rand.NewPCG(1, 2)), slog.New(slog.DiscardHandler))
		go func() {
			defer GinkgoRecover()
			Expect(server.Serve(socket)).To(Succeed())
		}()
		client = &fasthttp.HostClient{
			Addr:                      socket.Addr().String(),
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		}
	})
	AfterEach(func() {
		client.CloseIdleConnections()
		Expect(server.Shutdown()).To(Succeed())
	})

	call := func(method, path, body string) (int, string, error) {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.Header.SetMethod(method)
		request.SetRequestURI("http://" + socket.Addr().String() + path)
		request.SetBodyString(body)
		err := client.Do(request, response)
		return response.StatusCode(), string(response.Body()), err
	}

	It("guards against a lost answer whose append did not take effect", func() {
		status, _, err := call("POST", "/faults", `{"lose_next":1}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(200))
		_, _, err = call("POST", "/streams/ownership/records", "x")
		Expect(err).To(HaveOccurred())
		status, body, err := call("GET", "/streams/ownership/records?from=0", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(200))
		Expect(body).To(Equal(`{"records":[{"offset":0,"payload":"eA=="}],"first":0,"next":1}`))
	})

	It("guards against a waiting read that misses an append", func() {
		answers := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, body, err := call("GET", "/streams/membership/records?from=0&wait_ms=60000", "")
			Expect(err).NotTo(HaveOccurred())
			answers <- body
		}()
		_, body, err := call("POST", "/streams/membership/records", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(`{"offset":0}`))
		Eventually(answers, "30s").Should(Receive(ContainSubstring(`"next":1`)))
	})

	It("guards against expired records being read as an empty stream", func() {
		_, _, err := call("POST", "/streams/quarantine/records", "x")
		Expect(err).NotTo(HaveOccurred())
		_, _, err = call("POST", "/faults", `{"expire":{}}`)
		Expect(err).NotTo(HaveOccurred())
		status, body, err := call("GET", "/streams/quarantine/records?from=0", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(fasthttp.StatusGone))
		Expect(body).To(Equal(`{"first":1,"next":1}`))
	})

	for _, mode := range []logserver.OutageMode{logserver.OutageClose, logserver.OutageUnavailable} {
		It("guards against an append that takes effect in an outage: "+string(mode), func() {
			_, _, err := call("POST", "/faults", `{"outage_ms":60000,"outage_mode":"`+string(mode)+`"}`)
			Expect(err).NotTo(HaveOccurred())
			status, _, err := call("POST", "/streams/ownership/records", "x")
			Expect(err != nil || status == fasthttp.StatusServiceUnavailable).To(BeTrue())
			_, _, err = call("POST", "/faults", `{"clear":true}`)
			Expect(err).NotTo(HaveOccurred())
			_, body, err := call("POST", "/streams/ownership/records", "y")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(`{"offset":0}`))
		})
	}
})
