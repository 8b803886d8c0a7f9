package claimer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/claimer"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1/peerv1connect"
	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// handler implements the methods of the peer service that a claimer serves.
type handler struct {
	peerv1connect.UnimplementedPeerHandler
	claimer *claimer.Claimer
}

func (h handler) Promise(ctx context.Context, req *peerv1.PromiseRequest) (*peerv1.PromiseResponse, error) {
	return h.claimer.ServePromise(ctx, req)
}

func (h handler) Claim(ctx context.Context, req *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	return h.claimer.ServeClaim(ctx, req)
}

func (h handler) Settle(ctx context.Context, req *peerv1.SettleRequest) (*peerv1.SettleResponse, error) {
	return h.claimer.ServeSettle(ctx, req)
}

func (h handler) Handover(ctx context.Context, req *peerv1.HandoverRequest) (*peerv1.HandoverResponse, error) {
	return h.claimer.ServeHandover(ctx, req)
}

// Guards against message fields that are lost or changed on the wire between three daemons.
func TestLoopback(t *testing.T) {
	// The clock does not advance while the machine stalls the process, so that no
	// lease expires during a stall.
	clock := timer.NewManual(1, 1_800_000_000_000)
	go func() {
		for t.Context().Err() == nil {
			time.Sleep(10 * time.Millisecond)
			clock.Advance(10)
		}
	}()
	c, stop := start(t, 3, clock, func(d *daemon) claimer.Peer {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		mux := http.NewServeMux()
		mux.Handle(peerv1connect.NewPeerHandler(handler{claimer: d.Claimer}))
		server := &http.Server{Handler: mux}
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
		return peerv1connect.NewPeerClient(&http.Client{Transport: &http.Transport{}}, "http://"+listener.Addr().String())
	})
	defer stop()
	arrivals := 0
	var last deduplicator.Request
	claim := func(d *daemon, key string, fingerprint byte) func() string {
		return func() string {
			arrivals++
			last = newRequest(key, fmt.Sprint("t", arrivals))
			last.Fingerprint[15] = fingerprint
			verdict, answer := d.claim(last)
			return fmt.Sprint(verdict, answer)
		}
	}
	expect := func(actual func() string, verdict deduplicator.Verdict, answer string) {
		c.EventuallyWithOffset(1, actual, 30*time.Second).Should(Equal(fmt.Sprint(verdict, answer)))
	}
	expect(claim(c.daemons[0], "k", 0), deduplicator.Granted, "")
	granted := last
	expect(claim(c.daemons[1], "k", 0), deduplicator.InProgress, "")
	expect(claim(c.daemons[2], "k", 1), deduplicator.Mismatch, "")
	c.daemons[0].Settle(granted, deduplicator.OutcomeComplete, []byte("ordered"))
	expect(claim(c.daemons[2], "k", 0), deduplicator.Done, "ordered")

	owner, successors, _ := c.roles()
	c.Expect(owner.HandOver(context.Background())).To(Succeed())
	c.Eventually(func() deduplicator.Claimant { return c.current().Owner }, 30*time.Second).ShouldNot(Equal(owner.self))
	expect(claim(successors[0], "k", 0), deduplicator.Done, "ordered")
	expect(claim(successors[1], "k", 0), deduplicator.Done, "ordered")
	expect(claim(successors[1], "new", 0), deduplicator.Granted, "")
}
