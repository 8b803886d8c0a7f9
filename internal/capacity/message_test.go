package capacity_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/follower"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1/peerv1connect"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/pkg/administrator"
)

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	in, out atomic.Int64
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (t *countingListener) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	return &countingConn{conn, t}, err
}

func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.listener.in.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.listener.out.Add(int64(n))
	return n, err
}

// listen starts a server on loopback with the server settings of the runner.
func listen(b *testing.B, handler fasthttp.RequestHandler) *countingListener {
	t := &countingListener{Listener: must(net.Listen("tcp", "127.0.0.1:0"))}
	server := &fasthttp.Server{Handler: handler, ReadBufferSize: 16 << 10, NoDefaultServerHeader: true, NoDefaultContentType: true, Concurrency: 4096}
	go func() { _ = server.Serve(t) }()
	b.Cleanup(func() { _ = t.Close() })
	return t
}

// fakePeer answers control messages as the responder does, but has no side effects.
type fakePeer struct {
	peerv1connect.UnimplementedPeerHandler
	follower *follower.Follower
}

func (p *fakePeer) Fetch(ctx context.Context, request *peerv1.FetchRequest) (*peerv1.FetchResponse, error) {
	return follower.Serve(ctx, p.follower, request), nil
}

func (p *fakePeer) Ping(context.Context, *peerv1.PingRequest) (*peerv1.PingResponse, error) {
	return &peerv1.PingResponse{Instance: string(instanceID(1)), Incarnation: uint64(incarnation(1)), ConfigurationVersion: 1_000_000}, nil
}

func (p *fakePeer) Announce(context.Context, *peerv1.AnnounceRequest) (*peerv1.AnnounceResponse, error) {
	return &peerv1.AnnounceResponse{Appended: true}, nil
}

func (p *fakePeer) Promise(_ context.Context, request *peerv1.PromiseRequest) (*peerv1.PromiseResponse, error) {
	return &peerv1.PromiseResponse{Granted: request.Shards, PromiseMs: 3000}, nil
}

func (p *fakePeer) Claim(context.Context, *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	return &peerv1.ClaimResponse{Verdict: peerv1.ClaimResponse_VERDICT_GRANTED}, nil
}

func (p *fakePeer) Settle(context.Context, *peerv1.SettleRequest) (*peerv1.SettleResponse, error) {
	return &peerv1.SettleResponse{}, nil
}

// BenchmarkMessage reports the cost of one control message over a kept-alive
// loopback connection: the bytes in both directions with HTTP headers but without
// those of TCP and IP, and the processor time of both ends.
func BenchmarkMessage(b *testing.B) {
	state := &offsetState{}
	// The follower keeps 256 changes from offset 0 on. They differ from each other
	// like real ones, since answers are compressed.
	list := changes(targetServices, 256)[1:]
	f := newLogReader(&memoryLog{end: 256, record: func(n int) []byte { return list[n] }}, state)
	catchUp(f, state, 256)
	_, handler := peerv1connect.NewPeerHandler(&fakePeer{follower: f}, connect.WithReadMaxBytes(16<<20))
	listener := listen(b, fasthttpadaptor.NewFastHTTPHandler(handler))
	client := peerv1connect.NewPeerClient(&http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 2, DisableCompression: true,
	}}, "http://"+listener.Addr().String(), connect.WithReadMaxBytes(16<<20))
	ctx := context.Background()
	fetch := func(from uint64) func() error {
		return func() error {
			_, err := client.Fetch(ctx, &peerv1.FetchRequest{Stream: "configuration", From: from, Limit: 256})
			return err
		}
	}
	claimRequest := request(1)
	type call struct {
		name string
		call func() error
	}
	calls := []call{
		{"fetch/records=0", fetch(256)},
		{"fetch/records=1", fetch(255)},
		{"fetch/records=16", fetch(240)},
		{"fetch/records=256", fetch(0)},
		{"ping", func() error {
			_, err := client.Ping(ctx, &peerv1.PingRequest{Instance: string(instanceID(0)), Incarnation: uint64(incarnation(0))})
			return err
		}},
		{"announce", func() error {
			record := must(tracker.EncodeRecord(tracker.Join{Member: member(0)}))
			_, err := client.Announce(ctx, &peerv1.AnnounceRequest{Records: [][]byte{record}})
			return err
		}},
		{"claim", func() error {
			_, err := client.Claim(ctx, &peerv1.ClaimRequest{
				Service: string(claimRequest.Key.Service), Key: string(claimRequest.Key.Key), Fingerprint: claimRequest.Fingerprint[:], Shard: 63, Epoch: 7, Token: string(claimRequest.Token),
			})
			return err
		}},
		{"settle", func() error {
			_, err := client.Settle(ctx, &peerv1.SettleRequest{
				Service: string(claimRequest.Key.Service), Key: string(claimRequest.Key.Key), Shard: 63, Epoch: 7, Token: string(claimRequest.Token), Outcome: 1,
				Answer: make([]byte, 512),
			})
			return err
		}},
	}
	for _, shards := range []int{1, 16, 64} {
		request := &peerv1.PromiseRequest{Owner: string(instanceID(0)), Incarnation: uint64(incarnation(0))}
		for n := range shards {
			request.Shards = append(request.Shards, &peerv1.ShardEpoch{Shard: uint32(n), Epoch: 7})
		}
		calls = append(calls, call{fmt.Sprintf("promise/shards=%d", shards), func() error {
			_, err := client.Promise(ctx, request)
			return err
		}})
	}
	for _, c := range calls {
		b.Run(c.name, func(b *testing.B) {
			if err := c.call(); err != nil {
				b.Fatal(err)
			}
			in, out, started := listener.in.Load(), listener.out.Load(), processorTime()
			b.ReportAllocs()
			for b.Loop() {
				if err := c.call(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(listener.in.Load()-in)/float64(b.N), "B-request")
			b.ReportMetric(float64(listener.out.Load()-out)/float64(b.N), "B-answer")
			b.ReportMetric(float64((processorTime()-started).Nanoseconds())/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkStatus reports the bytes of the status answer of the administration
// API, which lists every instance.
func BenchmarkStatus(b *testing.B) {
	runSizes(b, "members", memberSizes, func(b *testing.B, count int) {
		t := membership(count)
		var data []byte
		b.ReportAllocs()
		for b.Loop() {
			status := &administrator.GetStatusResponse{Instance: string(instanceID(0)), LogState: "confirmed"}
			for n := range targetServices {
				for _, m := range t.Instances(serviceName(n)) {
					status.Instances = append(status.Instances, &administrator.InstanceStatus{
						Instance: string(m.Instance), Service: string(m.Service), FailureDomain: string(m.FailureDomain),
						Address: string(m.Peer), State: m.State.String(),
					})
				}
			}
			data = must(proto.Marshal(status))
		}
		b.ReportMetric(float64(len(data)), "B")
		b.ReportMetric(float64(len(data))/float64(count), "B/member")
	})
}

// BenchmarkAudit reports the bytes of a page of the audit trail.
func BenchmarkAudit(b *testing.B) {
	fold := foldConfiguration(changes(100, 2000))
	runSizes(b, "entries", []int{100, 500, 1000}, func(b *testing.B, count int) {
		var data []byte
		for b.Loop() {
			list := new(administrator.ListAuditResponse)
			entries, _ := fold.Audit(count)
			for _, e := range entries {
				list.Entries = append(list.Entries, &administrator.AuditEntry{
					Offset: uint64(e.Offset), ChangeId: string(e.ChangeID), Operator: string(e.Operator),
					PublishedAtMs: int64(e.PublishedAt), BaseVersion: uint64(e.BaseVersion), Version: uint64(e.Version),
					Result: string(e.Result), Comment: e.Comment, Edits: e.Edits,
				})
			}
			data = must(proto.Marshal(list))
		}
		b.ReportMetric(float64(len(data))/float64(count), "B/entry")
		b.ReportMetric(float64(len(data)), "B")
	})
}
