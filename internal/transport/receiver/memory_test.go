package receiver_test

import (
	"log/slog"
	"net"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/fencer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/receiver"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/responder"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// finishedAdmission reports that every attempt has finished.
type finishedAdmission struct{}

func (finishedAdmission) Fence(identifier.AttemptID) fencer.State { return fencer.Finished }
func (finishedAdmission) AddQuarantineEntries(identifier.ServiceName, []quarantiner.Entry) {
}

// startSilentDaemon serves the peer address of a daemon that reports every attempt as
// finished and answers none before release is closed.
func startSilentDaemon(release chan struct{}) identifier.Address {
	peer := responder.New(responder.Config{Incarnation: 1, Admission: finishedAdmission{}, Keys: refusingClaimer{}})
	return identifier.Address(startExchanger(GinkgoTB(), peer.Handler(exchanger.HandlerFunc(func(*exchanger.Exchange) { <-release }))))
}

var _ = Describe("the memory of a request", func() {
	It("guards against giving back the memory of a body while an attempt that nobody waits for still holds it", func() {
		const bodyBytes = 500_000
		release := make(chan struct{})
		env := newEnvironment(GinkgoTB(), startBackend().address)
		env.replacePeer(0, startSilentDaemon(release))
		memory := exchanger.NewMemory(4 << 20)
		server := exchanger.NewServer(exchanger.ServerConfig{
			Handler: env.ingress, Names: receiver.Names, Reject: receiver.Reject, Memory: memory,
			Clock: timer.NewSystem(), Logger: slog.New(slog.DiscardHandler),
			Limits: func() exchanger.Limits {
				return exchanger.Limits{HeaderBytes: 4 << 10, BodyBytes: 1 << 20, HeaderTimeout: timer.Minute, IdleTimeout: timer.Minute}
			},
		})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)

		request, response := &fasthttp.Request{}, &fasthttp.Response{}
		request.Header.SetMethod("POST")
		request.SetRequestURI("http://" + listener.Addr().String() + "/orders")
		request.Header.Set(encoder.HeaderTimeout, "5000")
		request.SetBodyString(strings.Repeat("a", bodyBytes))
		Expect((&fasthttp.Client{MaxIdemponentCallAttempts: 1}).Do(request, response)).To(Succeed())
		Expect(string(response.Header.Peek(encoder.HeaderOutcome))).To(BeEquivalentTo(encoder.Unknown))

		Expect(memory.Used()).To(BeNumerically(">=", bodyBytes))
		close(release)
		Eventually(memory.Used).Should(BeNumerically("<", bodyBytes))
	})
})
