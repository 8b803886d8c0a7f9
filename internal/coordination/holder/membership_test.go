package holder_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/announcer"
	"github.com/magnoliaknot/magnoliaknot/internal/coordination/checkpointer"
	"github.com/magnoliaknot/magnoliaknot/internal/coordination/follower"
	"github.com/magnoliaknot/magnoliaknot/internal/coordination/holder"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1/peerv1connect"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	domain    = identifier.FailureDomain("aarhus")
	retention = timer.Hour
)

var errLost = errors.New("log unavailable")

func TestHolder(t *testing.T) { tester.RunSpecs(t, "holder") }

// memoryLog is a log in memory that can be set unavailable.
type memoryLog struct {
	mu      sync.Mutex
	records [][]byte
	down    atomic.Bool
}

func (l *memoryLog) Append(_ context.Context, _ appender.Stream, payload []byte) (identifier.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down.Load() {
		return 0, errLost
	}
	l.records = append(l.records, payload)
	return identifier.Offset(len(l.records) - 1), nil
}

func (l *memoryLog) Read(_ context.Context, _ appender.Stream, from identifier.Offset, limit int, _ timer.Millis) (appender.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down.Load() {
		return appender.Batch{}, errLost
	}
	batch := appender.Batch{Next: identifier.Offset(len(l.records))}
	for o := from; o < batch.Next && len(batch.Records) < limit; o++ {
		batch.Records = append(batch.Records, appender.Record{Offset: o, Payload: l.records[o]})
	}
	return batch, nil
}

// process runs the coordination parts of one daemon and serves them on a loopback
// socket.
type process struct {
	peerv1connect.UnimplementedPeerHandler
	*holder.Membership
	follower  *follower.Follower
	announcer *announcer.Announcer
	address   identifier.Address
}

func (p *process) Fetch(ctx context.Context, req *peerv1.FetchRequest) (*peerv1.FetchResponse, error) {
	return follower.Serve(ctx, p.follower, req), nil
}

func (p *process) Announce(ctx context.Context, req *peerv1.AnnounceRequest) (*peerv1.AnnounceResponse, error) {
	return announcer.Serve(ctx, p.announcer, req)
}

func (p *process) GetSnapshot(context.Context, *peerv1.GetSnapshotRequest) (*peerv1.GetSnapshotResponse, error) {
	folded, _ := p.Folded()
	payload, err := p.Checkpoint()
	return &peerv1.GetSnapshotResponse{Membership: payload, MembershipOffset: uint64(folded)}, err
}

func client(address identifier.Address) peerv1connect.PeerClient {
	return peerv1connect.NewPeerClient(http.DefaultClient, "http://"+string(address))
}

func (p *process) progress() checkpointer.Progress {
	progress := checkpointer.Progress{Confirmed: p.follower.ConfirmedAge() < 10*timer.Second}
	progress.Folded, progress.HasFolded = p.Folded()
	progress.Checkpoint, progress.HasCheckpoint = p.LastCheckpoint()
	progress.Rank, progress.Reader = p.ReaderRank()
	return progress
}

func member(n int) tracker.Member {
	return tracker.Member{
		Instance: identifier.InstanceID(fmt.Sprint("i-", n)), Incarnation: 1, Service: "materials", FailureDomain: domain,
		Region: "jutland", Class: "standard", Slots: 20, State: tracker.Ready,
	}
}

// run starts a daemon that runs until the spec ends.
func run(n int, log appender.Log, clock timer.Clock, seeds []identifier.Address) *process {
	m := member(n)
	p := &process{Membership: holder.NewMembership(tracker.Config{Self: m.Instance, FailureDomain: domain, Retention: retention})}
	random := func() *rand.Rand { return rand.New(rand.NewPCG(uint64(n), 9)) }
	p.follower = follower.New(follower.Config{
		Stream: appender.Membership, Log: log, Relay: follower.PeerRelay{Client: client}, Clock: clock, Rand: random(),
		Assignment: p.Assignment, Peers: func() []identifier.Address { return seeds },
	}, p)
	p.announcer = announcer.New(announcer.Config{
		Log: log, Peers: announcer.PeerClients{Client: client}, Clock: clock, Rand: random(), Retention: retention, Status: p.Status,
		NewIncarnation: func(above identifier.Incarnation) identifier.Incarnation { return above + 1 },
		OnSuspect: func(s tracker.Suspect) {
			for _, action := range p.Step(clock.Now(), tracker.Suspected{Suspect: s}) {
				_ = p.announcer.Append(action.(tracker.AppendLeave).Leave)
			}
		},
	})
	checkpoints := checkpointer.New(checkpointer.Config{
		Stream: appender.Membership, Log: log, Clock: clock, Rand: random(), Retention: retention, Checkpoint: p.Checkpoint,
		Progress: p.progress,
	})
	path, handler := peerv1connect.NewPeerHandler(p)
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	server := httptest.NewServer(mux)
	p.address = identifier.Address(server.Listener.Addr().String())
	m.Peer = p.address
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, runOnce := range []func(context.Context) timer.Millis{p.follower.RunOnce, p.announcer.RunOnce, checkpoints.RunOnce} {
		group.Go(func() {
			for ctx.Err() == nil {
				for until := clock.Now() + runOnce(ctx); clock.Now() <= until && ctx.Err() == nil; {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	DeferCleanup(func() { cancel(); server.CloseClientConnections(); group.Wait(); server.Close() })
	p.announcer.Join(m)
	return p
}

var _ = Describe("the daemons of a failure domain", func() {
	It("guards against coordination parts that do not work together over real connections", func() {
		clock := timer.NewManual(1000, 0)
		log := &memoryLog{}
		var daemons []*process
		var seeds []identifier.Address
		eventually := func(condition func() bool) {
			GinkgoHelper()
			Eventually(func() bool { clock.Advance(20); return condition() }).
				WithTimeout(time.Minute).WithPolling(2 * time.Millisecond).Should(BeTrue())
		}
		agree := func(count int) func() bool {
			return func() bool {
				for _, d := range daemons {
					if len(d.Instances("materials")) != count {
						return false
					}
				}
				return true
			}
		}
		for n := range 5 {
			daemons = append(daemons, run(n, log, clock, seeds))
			seeds = append(seeds, daemons[n].address)
		}
		eventually(agree(5))

		By("a newcomer joins while the log is unavailable")
		log.down.Store(true)
		daemons = append(daemons, run(5, log, clock, seeds))
		eventually(agree(5))
		log.down.Store(false)
		eventually(agree(6))

		By("two watchers suspect a running daemon, which joins again")
		for _, watcher := range []identifier.InstanceID{"i-1", "i-2"} {
			text, err := tracker.EncodeRecord(tracker.Suspect{Instance: "i-0", Incarnation: 1, Watcher: watcher})
			Expect(err).NotTo(HaveOccurred())
			_, err = client(daemons[3].address).Announce(context.Background(), &peerv1.AnnounceRequest{Records: [][]byte{text}})
			Expect(err).NotTo(HaveOccurred())
		}
		eventually(func() bool { e, ok := daemons[5].Lookup("i-0"); return ok && e.Incarnation == 2 })

		By("a daemon leaves")
		left := make(chan error, 1)
		go func() { left <- daemons[4].announcer.Leave(context.Background()) }()
		eventually(agree(5))
		eventually(func() bool { return len(left) == 1 })

		By("a checkpoint is written that a newcomer can start from")
		clock.Advance(retention / 4)
		eventually(func() bool { return daemons[0].progress().HasCheckpoint })
	})
})
