package follower_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/follower"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestFollower(t *testing.T) { tester.RunSpecs(t, "follower") }

// waiting is a context that signals when a call begins to wait for Done.
type waiting struct {
	context.Context
	started chan struct{}
}

func (w waiting) Done() <-chan struct{} {
	w.started <- struct{}{}
	return nil
}

// checkNodes checks the invariants of all nodes.
func (w *cluster) checkNodes(t *rapid.T) {
	now := w.clock.Now()
	for _, n := range w.nodes {
		if next := n.state.next; next > 0 && n.state.sum != w.sums[next-1] {
			t.Fatalf("node %d folded wrong records up to offset %d", n.id, next-1)
		}
		known := now - n.follower.ConfirmedAge()
		for o, at := range w.times {
			if at < known && identifier.Offset(o) >= n.state.next {
				t.Fatalf("node %d confirms the log as of %d ms, but lacks offset %d appended at %d ms", n.id, known, o, at)
			}
		}
		answer := n.follower.Fetch(context.Background(), n.state.next, 1, 0)
		if answer.Next != n.state.next {
			t.Fatalf("node %d serves records up to next offset %d, but has folded up to next offset %d", n.id, answer.Next, n.state.next)
		}
	}
}

func (w *cluster) injectFault(t *rapid.T) {
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
	switch rapid.IntRange(0, 12).Draw(t, "what") {
	case 0:
		w.down = !w.down
	case 1:
		n.logUnreachable = !n.logUnreachable
	case 2:
		n.peersUnreachable = !n.peersUnreachable
	case 3:
		n.reader = !n.reader
	case 4:
		n.restart()
	case 5:
		if n.state.next > 0 && !w.down {
			w.append(n.state.checkpoint())
		}
	case 6:
		w.first = identifier.Offset(rapid.IntRange(int(w.first), len(w.records)).Draw(t, "first"))
	case 7:
		w.appendDuringRead = true
	case 8:
		w.corruption = rapid.IntRange(1, 2).Draw(t, "garble")
	default:
		if !w.down {
			w.change()
		}
	}
}

// Guards against gaps and reordered or repeated records, against a confirmed age
// that is too low, and against a follower that stays behind after log outages,
// broken connections, restarts and expired records.
func TestFollowing(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		w := newCluster(rapid.IntRange(1, 4).Draw(t, "nodes"))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.injectFault(t)
			w.runDue(timer.Millis(rapid.IntRange(0, 2000).Draw(t, "span")))
			w.checkNodes(t)
		}
		w.down, w.appendDuringRead, w.corruption = false, false, 0
		best := w.nodes[0]
		for _, n := range w.nodes {
			n.logUnreachable, n.peersUnreachable = false, false
			if n.state.next > best.state.next {
				best = n
			}
		}
		if best.state.next < w.first {
			return // No state or checkpoint is left to start from.
		}
		w.append(best.state.checkpoint())
		w.change()
		for range 600 {
			w.runDue(200)
			w.checkNodes(t)
		}
		for _, n := range w.nodes {
			if n.state.next != w.next() || n.follower.ConfirmedAge() > 10*timer.Second {
				t.Fatalf("node %d did not catch up: next offset %d, log ends at %d, confirmed age %d ms", n.id, n.state.next, w.next(), n.follower.ConfirmedAge())
			}
		}
	})
}

// Guards against a follower that switches from its relays to the log too early,
// does not switch when the relays are lost, or stays on the log after they return.
func TestRelayLoss(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		w := newCluster(4)
		n := w.nodes[3]
		for range 50 {
			w.runDue(100)
		}
		before := n.logReads
		for range rapid.IntRange(0, 29).Draw(t, "short") {
			n.peersUnreachable = true
			w.runDue(100)
		}
		n.peersUnreachable = false
		for range 50 {
			w.runDue(100)
		}
		if n.logReads != before {
			t.Fatalf("%d log reads after the relays were lost for less than 3 s, want none", n.logReads-before)
		}
		n.peersUnreachable = true
		for range 60 {
			w.runDue(100)
		}
		w.change()
		w.runDue(100)
		w.runDue(100)
		if n.state.next != w.next() {
			t.Fatal("relays lost, but the follower did not read the new record from the log")
		}
		n.peersUnreachable = false
		for range 150 {
			w.runDue(100)
		}
		before = n.logReads
		for range 50 {
			w.runDue(100)
		}
		if n.logReads != before {
			t.Fatal("follower still reads the log after the relays returned")
		}
	})
}

var _ = Describe("an outage of the log", func() {
	It("guards against tens of thousands of daemons that ask a failing log often", func() {
		w := newCluster(4)
		w.change()
		run := func(turns int) {
			for range turns {
				w.runDue(100)
			}
		}
		run(50)
		w.down = true
		run(1200)
		last := w.nodes[3]
		before := last.logReads
		run(1200)
		Expect(last.logReads - before).To(BeNumerically("<=", 4))
		w.down = false
		w.change()
		run(80)
		Expect(last.state.next).To(Equal(w.next()))
	})
})

var _ = Describe("bootstrapping", func() {
	It("guards against a newcomer that takes the first snapshot instead of the newest", func() {
		w := newCluster(4)
		for range 9 {
			w.change()
		}
		for _, n := range w.nodes[:3] {
			n.peersUnreachable = true
		}
		w.runDue(100)
		w.runDue(100)
		w.down = true
		for i, n := range w.nodes[:3] {
			n.peersUnreachable = false
			n.state.next = identifier.Offset([]int{3, 9, 6}[i])
			n.state.sum = w.sums[n.state.next-1]
		}
		newcomer := w.nodes[3]
		newcomer.restart()
		newcomer.follower.RunOnce(context.Background())
		Expect(newcomer.state.next).To(BeEquivalentTo(9))
	})

	It("guards against a start from an arbitrary record", func() {
		w := newCluster(1)
		for range 5 {
			w.change()
		}
		w.first = 2
		for range 100 {
			w.runDue(timer.Second)
		}
		Expect(w.nodes[0].state.next).To(BeEquivalentTo(0))
	})

	It("guards against a newcomer that uses a checkpoint whose next offset has expired", func() {
		w := newCluster(1)
		for range 5 {
			w.change()
		}
		old := hashChain{next: 2, sum: w.sums[1]}
		w.append(old.checkpoint())
		w.first = 4
		for range 500 {
			w.runDue(20)
		}
		Expect(w.nodes[0].state.next).To(BeNumerically("<=", 2))
		Expect(w.nodes[0].logReads).To(BeNumerically("<", 50), "log reads while there is no usable checkpoint")
	})

	It("guards against a follower that stays behind relays that restarted from a newer checkpoint", func() {
		w := newCluster(4)
		w.change()
		for range 10 {
			w.runDue(100)
		}
		n := w.nodes[3]
		n.logUnreachable, n.peersUnreachable = true, true
		for range 5 {
			w.change()
			w.runDue(100)
		}
		w.append(w.nodes[0].state.checkpoint())
		for _, relay := range w.nodes[:3] {
			relay.restart()
		}
		for range 20 {
			w.runDue(100)
		}
		n.logUnreachable, n.peersUnreachable = false, false
		for range 30 {
			w.runDue(100)
		}
		Expect(n.state.next).To(Equal(w.next()))
	})

	It("guards against a state that may start empty and never does, or does so without waiting", func() {
		w := newCluster(1)
		for range 5 {
			w.change()
		}
		w.first = 4
		state := &hashChain{}
		f := follower.New(follower.Config{
			Log: (*nodeLog)(w.nodes[0]), Relay: (*nodeRelay)(w.nodes[0]), Clock: w.clock, Rand: rand.New(rand.NewPCG(1, 1)),
			Assignment: func() follower.Assignment { return follower.Assignment{} },
			Peers:      func() []identifier.Address { return nil },
			Empty: func(folded identifier.Offset) ([]byte, error) {
				return fmt.Appendf(nil, "checkpoint %d 0", folded+1), nil
			},
		}, state)
		f.RunOnce(context.Background())
		Expect(state.next).To(BeEquivalentTo(0))
		for range 30 {
			w.clock.Advance(f.RunOnce(context.Background()) + 500)
		}
		Expect(state.next).To(BeEquivalentTo(5))
	})

	It("guards against a window that grows without bound, and against answers with records outside of it", func() {
		w := newCluster(1)
		for range 5000 {
			w.change()
		}
		for range 2000 {
			w.runDue(timer.Second)
		}
		f := w.nodes[0].follower
		answer := f.Fetch(context.Background(), 0, 10, 0)
		Expect(answer.Records).To(BeEmpty())
		Expect(answer.First).To(BeEquivalentTo(5000 - 2048))
		answer = f.Fetch(context.Background(), answer.First, 10, 0)
		Expect(answer.Records).To(HaveLen(10))
		Expect(answer.Records[0].Offset).To(BeEquivalentTo(5000 - 2048))
	})

	It("guards against a waiting follower that misses a new record", func() {
		w := newCluster(1)
		w.runDue(100)
		w.runDue(100)
		f := w.nodes[0].follower
		got := make(chan follower.FetchResult, 1)
		ctx := waiting{Context: context.Background(), started: make(chan struct{}, 9)}
		go func() { got <- f.Fetch(ctx, 0, 10, timer.Minute) }()
		<-ctx.started
		w.change()
		w.runDue(100)
		Eventually(got).Should(Receive(HaveField("Records", HaveLen(1))))
	})
})
