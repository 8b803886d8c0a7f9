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

// world is a deployment in one synctest bubble, whose clock moves only while
// everything waits. Each daemon ticks and reads the log every 100 ms.
type world struct {
	Gomega
	// Log has no methods but the one that world replaces.
	appender.Log
	clock   timer.Clock
	daemons []*daemon
	members deduplicator.Members
	peers   map[deduplicator.Claimant]claimer.Peer

	mu  sync.Mutex
	log [][]byte
	// failures, if set, are the results of appends, which then have no effect;
	// the last one is repeated. appends counts them.
	failures []error
	appends  int
}

// daemon is one claimer. Messages to a paused one wait; a cut one is
// unreachable.
type daemon struct {
	*claimer.Claimer
	*world
	self deduplicator.Claimant

	state       sync.Mutex
	paused, cut bool
	// loseClaims is how many answers to claims are lost.
	loseClaims int
	// loseHandovers loses the answers that end handovers; handed counts the messages.
	loseHandovers bool
	handed        int
}

// simulate runs a test in a bubble once the only shard has an owner.
func simulate(t *testing.T, size int, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w, stop := start(t, size, timer.NewSystem(), func(d *daemon) claimer.Peer { return link{d} })
		defer stop()
		time.Sleep(10 * time.Second)
		test(w)
	})
}

// start runs daemons that reach each other through what connect returns.
func start(t *testing.T, size int, clock timer.Clock, connect func(*daemon) claimer.Peer) (w *world, stop func()) {
	w = &world{Gomega: NewWithT(t), clock: clock, peers: map[deduplicator.Claimant]claimer.Peer{}}
	ctx, cancel := context.WithCancel(context.Background())
	for i := range size {
		d := &daemon{world: w, self: deduplicator.Claimant{Instance: identifier.InstanceID(fmt.Sprint("daemon-", i)), Incarnation: 1}}
		d.Claimer = claimer.New(claimer.Config{
			Self: d.self, ShardCount: 1, Log: w, Clock: w.clock,
			Peer:    func(c deduplicator.Claimant) (claimer.Peer, bool) { return w.peers[c], w.peers[c] != nil },
			Members: func() deduplicator.Members { return w.members },
			Window:  func(identifier.ServiceName) (timer.Millis, bool) { return window, true },
		})
		w.daemons = append(w.daemons, d)
		w.members.List = append(w.members.List, deduplicator.Member{Claimant: d.self})
		w.peers[d.self] = connect(d)
	}
	var running sync.WaitGroup
	for _, d := range w.daemons {
		running.Go(func() { d.run(ctx) })
	}
	return w, func() {
		cancel()
		running.Wait()
		for _, d := range w.daemons {
			d.Close()
		}
	}
}

func (d *daemon) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		if d.is(func() bool { return d.paused }) {
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

func (d *daemon) is(condition func() bool) bool {
	d.state.Lock()
	defer d.state.Unlock()
	return condition()
}

func (d *daemon) set(change func()) { d.is(func() bool { change(); return true }) }

// roles returns the folded owner of the only shard, its successors and the
// other daemons.
func (w *world) roles() (owner *daemon, successors []*daemon, others []*daemon) {
	current := w.current()
	successors = make([]*daemon, len(current.Successors))
	for _, d := range w.daemons {
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

func (w *world) current() deduplicator.Record { return w.fold().Current(0) }

// fold folds the log and further records.
func (w *world) fold(more ...[]byte) *deduplicator.Ownership {
	w.mu.Lock()
	defer w.mu.Unlock()
	fold := deduplicator.NewOwnership(1)
	for i, payload := range append(slices.Clone(w.log), more...) {
		_, err := fold.Apply(identifier.Offset(i), payload)
		w.Expect(err).NotTo(HaveOccurred())
	}
	return fold
}

// Append is the log's.
func (w *world) Append(_ context.Context, _ appender.Stream, payload []byte) (identifier.Offset, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.failures) > 0 {
		w.appends++
		return 0, w.failures[min(w.appends, len(w.failures))-1]
	}
	w.log = append(w.log, payload)
	return identifier.Offset(len(w.log) - 1), nil
}

func (w *world) failAppends(failures ...error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = failures
}

// link carries messages to a daemon.
type link struct{ to *daemon }

func deliver[Q, A any](ctx context.Context, to *daemon, serve func(context.Context, Q) (A, error), request Q) (A, error) {
	var none A
	for to.is(func() bool { return to.paused && !to.cut }) && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	if ctx.Err() != nil || to.is(func() bool { return to.cut }) {
		return none, errLost
	}
	return serve(ctx, request)
}

func (l link) Promise(ctx context.Context, req *peerv1.PromiseRequest) (*peerv1.PromiseResponse, error) {
	return deliver(ctx, l.to, l.to.ServePromise, req)
}

func (l link) Claim(ctx context.Context, req *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	response, err := deliver(ctx, l.to, l.to.ServeClaim, req)
	if l.to.is(func() bool { l.to.loseClaims--; return l.to.loseClaims >= 0 }) {
		return nil, errLost
	}
	return response, err
}

func (l link) Settle(ctx context.Context, req *peerv1.SettleRequest) (*peerv1.SettleResponse, error) {
	return deliver(ctx, l.to, l.to.ServeSettle, req)
}

func (l link) Handover(ctx context.Context, req *peerv1.HandoverRequest) (*peerv1.HandoverResponse, error) {
	response, err := deliver(ctx, l.to, l.to.ServeHandover, req)
	if l.to.is(func() bool { l.to.handed++; return l.to.loseHandovers && len(req.GetClaims()) == 0 }) {
		return nil, errLost
	}
	return response, err
}

func order(key, token string) deduplicator.Request {
	return deduplicator.Request{
		Key:   deduplicator.Key{Service: "materials", Key: identifier.IdempotencyKey(key)},
		Token: deduplicator.Token(token),
	}
}

// undecided is the verdict of a claim that nobody decided.
const undecided = deduplicator.Verdict(0)

// claim asks through a daemon with a time limit of 2 s.
func (d *daemon) claim(request deduplicator.Request) (deduplicator.Verdict, string) {
	verdict, answer, ok := d.Claim(d.clock.Now()+2*timer.Second, request)
	d.Expect(ok).To(Equal(verdict != undecided))
	return verdict, string(answer)
}

// expect claims with a verdict and returns the answer.
func (d *daemon) expect(request deduplicator.Request, want deduplicator.Verdict) string {
	verdict, answer := d.claim(request)
	d.ExpectWithOffset(1, verdict).To(Equal(want))
	return answer
}

// wire returns a request as another daemon would send it.
func (w *world) wire(request deduplicator.Request) *peerv1.ClaimRequest {
	return &peerv1.ClaimRequest{
		Service: string(request.Key.Service), Key: string(request.Key.Key), Fingerprint: request.Fingerprint[:],
		Epoch: uint64(w.current().Epoch), Token: string(request.Token),
	}
}

func (d *daemon) expectNotOwner(request *peerv1.ClaimRequest) {
	response, err := d.ServeClaim(context.Background(), request)
	d.ExpectWithOffset(1, err).NotTo(HaveOccurred())
	d.ExpectWithOffset(1, response.GetVerdict()).To(Equal(peerv1.ClaimResponse_VERDICT_NOT_OWNER))
}

// promise asks a successor as the owner of the current epoch would.
func (d *daemon) promise(owner *daemon) []*peerv1.ShardEpoch {
	response, err := d.ServePromise(context.Background(), &peerv1.PromiseRequest{
		Owner: string(owner.self.Instance), Incarnation: uint64(owner.self.Incarnation),
		Shards: []*peerv1.ShardEpoch{{Epoch: uint64(d.current().Epoch)}},
	})
	d.Expect(err).NotTo(HaveOccurred())
	return response.GetGranted()
}
