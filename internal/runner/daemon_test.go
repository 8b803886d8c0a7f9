package runner_test

import (
	"fmt"
	"math"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/administrator"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

const (
	accepted = administrator.PublishChangeResponse_RESULT_ACCEPTED
	rejected = administrator.PublishChangeResponse_RESULT_REJECTED
)

// pastTime is the start of an out period that has begun when the sheet is published.
var pastTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestRunner(t *testing.T) { tester.RunSpecs(t, "runner") }

// expectNoStarts checks that a backend server starts no request while another
// starts more than 50.
func expectNoStarts(idle, busy *daemon) {
	idleBefore, busyBefore := idle.backend.started.Load(), busy.backend.started.Load()
	Eventually(busy.backend.started.Load, testTimeout, "10ms").Should(BeNumerically(">", busyBefore+50))
	Expect(idle.backend.started.Load()).To(Equal(idleBefore))
}

var _ = Describe("daemons", func() {
	It("guards against new requests in a failure domain that a sheet took out, and against full load on its return", func() {
		c := newCluster(sheet(), "aarhus", "vejle")
		proxy := startProxy(c.log)
		// A daemon without a backend server, whose ingress prefers the instance in its
		// own failure domain.
		stale := c.run("vejle", proxy.listener.Addr().String())
		stale.awaitReady(1, 2)
		working, leaving := c.daemons[0], c.daemons[1]
		end := startLoad(6, working, leaving, stale)
		Eventually(leaving.backend.started.Load, testTimeout, "10ms").Should(BeNumerically(">", 20))

		proxy.setBlocked(true)
		Expect(working.publish(sheet(out(1, pastTime)), 1, "").Result).To(Equal(accepted))
		Eventually(leaving.version, 3*time.Second, "10ms").Should(Equal(uint64(2)))
		Eventually(leaving.backend.running.Load, testTimeout, "10ms").Should(BeZero())
		before := leaving.backend.started.Load()
		sent := 0
		for ; sent < 30 && stale.version() == 1; sent++ {
			Expect(stale.send(fmt.Sprint("/stale/", sent), "").outcome).NotTo(Equal(encoder.Unknown))
		}
		Expect(sent).To(BeNumerically(">", 0), "the daemon received the sheet before the test sent a request")
		Expect(leaving.backend.started.Load()).To(Equal(before))
		expectNoStarts(leaving, working)
		end()

		proxy.setBlocked(false)
		leaving.backend.serviceTime.Store(int64(50 * time.Millisecond))
		began := time.Now()
		Expect(working.publish(sheet(), 2, "").Result).To(Equal(accepted))
		end = startLoad(40, leaving)
		for share := 0.0; share < 1; time.Sleep(time.Millisecond) {
			running := leaving.backend.running.Load()
			share = 0.05 + 0.95*time.Since(began).Seconds()/2 // over the return ramp of 2 s
			Expect(running).To(BeNumerically("<=", math.Ceil(20*share)), "share %v", share)
		}
		end()
		Expect(leaving.backend.started.Load()).To(BeNumerically(">", before))
	})

	It("guards against an outage of the log that stops requests, newcomers or the timetable of a sheet", func() {
		leave := time.Now().Add(3500 * time.Millisecond)
		c := newCluster(sheet(out(1, leave)), "aarhus", "vejle")
		c.injectFault(`{"outage_ms":600000}`)
		newcomer := c.start("esbjerg", c.log)
		Eventually(newcomer.version, testTimeout, "20ms").Should(Equal(uint64(1)))
		Eventually(func() encoder.Outcome { return newcomer.send("/orders", "").outcome }, testTimeout, "20ms").Should(Equal(encoder.Complete))
		end := startLoad(3, c.daemons...)
		time.Sleep(time.Until(leave) + 500*time.Millisecond)
		Eventually(c.daemons[1].backend.running.Load, testTimeout, "10ms").Should(BeZero())
		expectNoStarts(c.daemons[1], c.daemons[0])
		for path, got := range end() {
			Expect(got.outcome).To(Equal(encoder.Complete), "%s: %+v", path, got)
		}
		c.injectFault(`{"clear":true}`)
	})

	It("guards against a change that counts twice after a lost answer, and against two accepted changes with the same base version", func() {
		c := newCluster(sheet(), "aarhus", "vejle")
		c.injectFault(`{"lose_next":1}`)
		Expect(c.daemons[0].publish(sheet(out(2, pastTime)), 1, "first").Result).To(Equal(accepted))
		Expect(c.daemons[0].version()).To(Equal(uint64(2)))

		c.injectFault(`{"slow_ms":300}`) // both changes are sent before either is accepted
		var race sync.WaitGroup
		results := make([]administrator.PublishChangeResponse_Result, 2)
		for i, d := range c.daemons {
			d.awaitReady(2, 2)
			race.Go(func() {
				defer GinkgoRecover()
				results[i] = d.publish(sheet(out(i, pastTime)), 2, "").Result
			})
		}
		race.Wait()
		Expect(results).To(ConsistOf(accepted, rejected))
		c.injectFault(`{"clear":true}`)
		c.start("esbjerg", c.log)
		for _, d := range c.daemons {
			d.awaitReady(3, 3)
			Expect(d.version()).To(Equal(uint64(3)))
			// The rejected change is folded after version 3 is in force, by each daemon at
			// a different time.
			Eventually(func(g Gomega) {
				first := c.daemons[0].auditTrail()
				g.Expect(strings.Count(first, "\n")).To(Equal(4), first)
				g.Expect(d.auditTrail()).To(Equal(first))
			}, testTimeout, "10ms").Should(Succeed())
		}
	})

	It("guards against a newcomer that starts with an empty state or skips records when the first ones have expired", func() {
		c := newCluster(sheet(), "aarhus", "vejle")
		Expect(c.daemons[0].publish(sheet(out(2, pastTime)), 1, "").Result).To(Equal(accepted))
		c.injectFault(`{"expire":{"stream":"configuration","keep":1}}`)
		newcomer := c.start("esbjerg", c.log)
		newcomer.awaitReady(2, 3)
		Expect(newcomer.version()).To(Equal(uint64(2)))
		Expect(newcomer.auditTrail()).To(Equal(c.daemons[0].auditTrail()))
	})

	It("guards against a second run of a key sent through another daemon, also after its owner stopped", func() {
		c := newClusterWithShutdownTimeout(testTimeout, sheet(), "aarhus", "vejle", "esbjerg")
		keys := 12 // more than the 4 shards, so that every daemon may own some
		for k := range keys {
			path := fmt.Sprint("/orders/", k)
			Eventually(func() encoder.Outcome { return c.daemons[0].send(path, path).outcome }, testTimeout, "50ms").Should(Equal(encoder.Complete))
		}
		resend := func(daemons ...*daemon) {
			for k := range keys {
				path := fmt.Sprint("/orders/", k)
				for _, d := range daemons {
					got := answer{}
					Eventually(func() encoder.Outcome { got = d.send(path, path); return got.outcome }, testTimeout, "50ms").
						ShouldNot(Equal(encoder.NotRun), func() string { return fmt.Sprintf("%s sent to %s: %+v", path, d.name, got) })
					Expect(got).To(Equal(answer{outcome: encoder.Complete, replayed: true, body: "answer to " + path}), path)
				}
				Expect(c.runCount(path)).To(Equal(1), path)
			}
		}
		resend(c.daemons...)
		c.daemons[0].cancel()
		<-c.daemons[0].done
		resend(c.daemons[1:]...)
	})

	It("guards against a planned stop that aborts a request or reports a request that ran as not run", func() {
		c := newClusterWithShutdownTimeout(testTimeout, sheet(), "aarhus", "vejle")
		for _, d := range c.daemons {
			d.backend.serviceTime.Store(int64(100 * time.Millisecond))
		}
		end := startLoad(16, c.daemons...)
		Eventually(c.daemons[0].backend.running.Load, testTimeout, "10ms").Should(BeNumerically(">", 2))
		c.daemons[0].cancel()
		<-c.daemons[0].done
		time.Sleep(100 * time.Millisecond) // callers keep sending to the stopped daemon and are refused
		refused := 0
		for path, got := range end() {
			switch got.outcome {
			case encoder.Complete:
				Expect(c.runCount(path)).To(Equal(1), path)
			case encoder.NotRun, "": // "" means that the stopped daemon did not accept the connection
				refused++
				Expect(c.runCount(path)).To(BeZero(), "%s: %+v", path, got)
			default:
				Fail(fmt.Sprintf("%s was aborted: %+v", path, got))
			}
		}
		Expect(refused).NotTo(BeZero())
	})

	It("guards against a cold backend server that receives more requests than its cold limit", func() {
		c := newCluster(sheet(func(s map[string]any) {
			class := s["instance_classes"].([]any)[0].(map[string]any)
			class["cold_limit"], class["ramp_completions"] = 2, 20
		}), "aarhus")
		cold := c.daemons[0].backend
		cold.serviceTime.Store(int64(5 * time.Millisecond))
		end := startLoad(16, c.daemons...)
		Eventually(cold.started.Load, testTimeout, "10ms").Should(BeNumerically(">", 20))
		Expect(cold.maxEarlyRunning.Load()).To(BeNumerically("<=", 2))
		for path, got := range end() {
			Expect(got.outcome).NotTo(Equal(encoder.Unknown), "%s: %+v", path, got)
		}
	})

	It("guards against load measuring over its budget, and against requests that wait for the measuring", func() {
		const probes = 5 // per second, of two messages each
		c := newCluster(sheet(func(s map[string]any) {
			s["measuring_budget"] = map[string]int{"messages_per_second": 2 * probes, "bytes_per_second": 65536}
		}), "aarhus")
		sink, err := net.ListenPacket("udp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(sink.Close)
		var received atomic.Int64
		go func() {
			for buf := make([]byte, 1500); ; received.Add(1) {
				if _, _, err := sink.ReadFrom(buf); err != nil {
					return
				}
			}
		}()
		var others []tracker.Member
		for i := range 20 {
			others = append(others, tracker.Member{
				Instance: identifier.InstanceID(fmt.Sprint("other-", i)), Incarnation: 1, Service: "materials",
				FailureDomain: "vejle", Region: "jutland", Class: "standard", Slots: 20, State: tracker.Ready,
				Peer: identifier.Address(c.daemons[0].peer), Probe: identifier.Address(sink.LocalAddr().String()),
			})
		}
		c.appendJoins(others...)
		c.daemons[0].awaitReady(1, 21)

		end := startLoad(8, c.daemons...)
		Eventually(received.Load, testTimeout, "10ms").Should(BeNumerically(">", 0))
		before, began := received.Load(), time.Now()
		time.Sleep(2 * time.Second)
		seconds := time.Since(began).Seconds()
		// The budget holds in every second, so a partial second may use a whole budget.
		Expect(received.Load() - before).To(BeNumerically("<=", probes*math.Ceil(seconds)))
		answers := end()
		Expect(len(answers)).To(BeNumerically(">", 100))
		for path, got := range answers {
			Expect(got.outcome).To(Equal(encoder.Complete), "%s: %+v", path, got)
		}
	})
})
