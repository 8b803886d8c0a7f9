package claimer_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/claimer"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const window = 10 * timer.Minute

var errLost = errors.New("lost")

// cluster is a deployment of daemons in one synctest bubble, whose clock advances
// only while all goroutines are blocked. Each daemon ticks and reads the log every
// 100 ms.
type cluster struct {
	Gomega
	// Log is nil; cluster implements only Append.
	appender.Log
	clock   timer.Clock
	daemons []*daemon
	members deduplicator.Members
	peers   map[deduplicator.Claimant]claimer.Peer

	mu  sync.Mutex
	log [][]byte
	// appendFailures, if set, are the errors that appends return without effect;
	// the last one is repeated. appends counts the failed appends.
	appendFailures []error
	appends        int
}

// daemon runs one claimer. Messages to a paused daemon wait; messages to an
// unreachable one fail.
type daemon struct {
	*claimer.Claimer
	*cluster
	self   deduplicator.Claimant
	memory *limitedMemory

	state               sync.Mutex
	paused, unreachable bool
	// lostClaimAnswers is the number of answers to claims that are still to be lost.
	lostClaimAnswers int
	// loseHandoverAnswers drops the answers that end handovers; handoverMessages
	// counts the messages.
	loseHandoverAnswers bool
	handoverMessages    int
}

// simulate runs a test in a synctest bubble after the only shard has got an owner.
func simulate(t *testing.T, size int, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := start(t, size, timer.NewSystem(), func(d *daemon) claimer.Peer { return link{d} })
		defer stop()
		time.Sleep(10 * time.Second)
		test(c)
	})
}

// start runs daemons that reach each other through the peers that connect returns.
func start(t *testing.T, size int, clock timer.Clock, connect func(*daemon) claimer.Peer) (c *cluster, stop func()) {
	c = &cluster{Gomega: NewWithT(t), clock: clock, peers: map[deduplicator.Claimant]claimer.Peer{}}
	ctx, cancel := context.WithCancel(context.Background())
	for i := range size {
		d := &daemon{cluster: c, self: deduplicator.Claimant{Instance: identifier.InstanceID(fmt.Sprint("daemon-", i)), Incarnation: 1}, memory: &limitedMemory{limit: 1 << 30}}
		d.Claimer = claimer.New(claimer.Config{
			Self: d.self, ShardCount: 1, Log: c, Clock: c.clock,
			Peer: func(claimant deduplicator.Claimant) (claimer.Peer, bool) {
				return c.peers[claimant], c.peers[claimant] != nil
			},
			Members: func() deduplicator.Members { return c.members },
			Window:  func(identifier.ServiceName) (timer.Millis, bool) { return window, true },
			Memory:  d.memory,
		})
		c.daemons = append(c.daemons, d)
		c.members.List = append(c.members.List, deduplicator.Member{Claimant: d.self})
		c.peers[d.self] = connect(d)
	}
	var running sync.WaitGroup
	for _, d := range c.daemons {
		running.Go(func() { d.run(ctx) })
	}
	return c, func() {
		cancel()
		running.Wait()
		for _, d := range c.daemons {
			d.Close()
		}
	}
}

func (d *daemon) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		if d.check(func() bool { return d.paused }) {
			continue
		}
		d.Tick()
		d.mu.Lock()
		log := d.log
		d.mu.Unlock()
		for i, payload := range log {
			if folded, found := d.Folded(); !found || i > int(folded) {
				d.Expect(d.Apply(identifier.Offset(i), payload)).To(Succeed())
			}
		}
		d.MarkConfirmed()
	}
}

func (d *daemon) check(condition func() bool) bool {
	d.state.Lock()
	defer d.state.Unlock()
	return condition()
}

func (d *daemon) update(change func()) { d.check(func() bool { change(); return true }) }

// roles returns the owner of the only shard, its successors and the other daemons.
func (c *cluster) roles() (owner *daemon, successors []*daemon, others []*daemon) {
	current := c.current()
	successors = make([]*daemon, len(current.Successors))
	for _, d := range c.daemons {
		if i := slices.Index(current.Successors, d.self); i >= 0 {
			successors[i] = d
		} else if d.self == current.Owner {
			owner = d
		} else {
			others = append(others, d)
		}
	}
	return owner, successors, others
}

func (c *cluster) current() deduplicator.Record { return c.fold().Current(0) }

// fold folds the log and then the given records.
func (c *cluster) fold(more ...[]byte) *deduplicator.Ownership {
	c.mu.Lock()
	defer c.mu.Unlock()
	fold := deduplicator.NewOwnership(1)
	for i, payload := range append(slices.Clone(c.log), more...) {
		_, err := fold.Apply(identifier.Offset(i), payload)
		c.Expect(err).NotTo(HaveOccurred())
	}
	return fold
}

// Append implements appender.Log.
func (c *cluster) Append(_ context.Context, _ appender.Stream, payload []byte) (identifier.Offset, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.appendFailures) > 0 {
		c.appends++
		return 0, c.appendFailures[min(c.appends, len(c.appendFailures))-1]
	}
	c.log = append(c.log, payload)
	return identifier.Offset(len(c.log) - 1), nil
}

func (c *cluster) failAppends(failures ...error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appendFailures = failures
}

// link is a Peer that delivers messages to a daemon of the cluster.
type link struct{ to *daemon }

func deliver[Q, A any](ctx context.Context, to *daemon, serve func(context.Context, Q) (A, error), request Q) (A, error) {
	var none A
	for to.check(func() bool { return to.paused && !to.unreachable }) && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	if ctx.Err() != nil || to.check(func() bool { return to.unreachable }) {
		return none, errLost
	}
	return serve(ctx, request)
}

func (l link) Promise(ctx context.Context, req *peerv1.PromiseRequest) (*peerv1.PromiseResponse, error) {
	return deliver(ctx, l.to, l.to.ServePromise, req)
}

func (l link) Claim(ctx context.Context, req *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	response, err := deliver(ctx, l.to, l.to.ServeClaim, req)
	if l.to.check(func() bool { l.to.lostClaimAnswers--; return l.to.lostClaimAnswers >= 0 }) {
		return nil, errLost
	}
	return response, err
}

func (l link) Settle(ctx context.Context, req *peerv1.SettleRequest) (*peerv1.SettleResponse, error) {
	return deliver(ctx, l.to, l.to.ServeSettle, req)
}

func (l link) Handover(ctx context.Context, req *peerv1.HandoverRequest) (*peerv1.HandoverResponse, error) {
	response, err := deliver(ctx, l.to, l.to.ServeHandover, req)
	if l.to.check(func() bool { l.to.handoverMessages++; return l.to.loseHandoverAnswers && len(req.GetClaims()) == 0 }) {
		return nil, errLost
	}
	return response, err
}

func newRequest(key, token string) deduplicator.Request {
	return deduplicator.Request{
		Key:   deduplicator.Key{Service: "materials", Key: identifier.IdempotencyKey(key)},
		Token: deduplicator.Token(token),
	}
}

// undecided is the verdict of a claim that no owner decided.
const undecided = deduplicator.Verdict(0)

// claim sends a claim through the daemon with a deadline of 2 s.
func (d *daemon) claim(request deduplicator.Request) (deduplicator.Verdict, string) {
	verdict, answer, ok := d.Claim(d.clock.Now()+2*timer.Second, request)
	d.Expect(ok).To(Equal(verdict != undecided))
	return verdict, string(answer)
}

// expect claims a key, checks the verdict and returns the answer.
func (d *daemon) expect(request deduplicator.Request, want deduplicator.Verdict) string {
	verdict, answer := d.claim(request)
	d.ExpectWithOffset(1, verdict).To(Equal(want))
	return answer
}

// claimMessage returns the message that another daemon would send for a request.
func (c *cluster) claimMessage(request deduplicator.Request) *peerv1.ClaimRequest {
	return &peerv1.ClaimRequest{
		Service: string(request.Key.Service), Key: string(request.Key.Key), Fingerprint: request.Fingerprint[:],
		Epoch: uint64(c.current().Epoch), Token: string(request.Token),
	}
}

func (d *daemon) expectNotOwner(request *peerv1.ClaimRequest) {
	response, err := d.ServeClaim(context.Background(), request)
	d.ExpectWithOffset(1, err).NotTo(HaveOccurred())
	d.ExpectWithOffset(1, response.GetVerdict()).To(Equal(peerv1.ClaimResponse_VERDICT_NOT_OWNER))
}

// promise sends a successor the promise request of an owner for the current epoch.
func (d *daemon) promise(owner *daemon) []*peerv1.ShardEpoch {
	response, err := d.ServePromise(context.Background(), &peerv1.PromiseRequest{
		Owner: string(owner.self.Instance), Incarnation: uint64(owner.self.Incarnation),
		Shards: []*peerv1.ShardEpoch{{Epoch: uint64(d.current().Epoch)}},
	})
	d.Expect(err).NotTo(HaveOccurred())
	return response.GetGranted()
}
