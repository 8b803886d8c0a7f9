package capacity_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/internal/state/fencer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/limiter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/selector"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/forwarder"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func attempt(n uint64) encoder.Attempt {
	return encoder.Attempt{
		ID:        identifier.AttemptID{Origin: incarnation(0), Sequence: n},
		Remaining: 2000, Version: 1_000_000, Depth: 4, WantLoad: true,
	}
}

var busyLoad = encoder.Load{InFlight: 18, Queued: 40, Limit: 20, LatencyMicros: 25_000}

// BenchmarkAttemptHeader reports the bytes that an attempt adds to the headers of a
// request and the time to encode and decode them, by number of attempts sent so far.
func BenchmarkAttemptHeader(b *testing.B) {
	for _, sequence := range []uint64{1, 1 << 16, 1 << 32} {
		b.Run(fmt.Sprintf("sequence=%d", sequence), func(b *testing.B) {
			var header fasthttp.RequestHeader
			plain := len(header.String())
			var decoded encoder.Attempt
			b.ReportAllocs()
			for b.Loop() {
				attempt(sequence).Encode(&header)
				if err := decoded.Decode(&header); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(header.String())-plain), "B/attempt")
		})
	}
}

// BenchmarkLoad reports the bytes of the load of an idle instance, of a busy one
// and of one with extreme values, as header field and as probe datagrams with IPv4
// and UDP headers.
func BenchmarkLoad(b *testing.B) {
	const overhead = 28
	for _, c := range []struct {
		name string
		load encoder.Load
	}{
		{"idle", encoder.Load{Limit: 20}},
		{"busy", busyLoad},
		{"extreme", encoder.Load{InFlight: 1 << 30, Queued: 1 << 30, Limit: 1 << 30, LatencyMicros: 1 << 31, Cold: true}},
	} {
		b.Run(c.name, func(b *testing.B) {
			var text string
			b.ReportAllocs()
			for b.Loop() {
				text = c.load.String()
				must(encoder.ParseLoad([]byte(text)))
			}
			nonce := uint64(1) << 40
			b.ReportMetric(float64(len(encoder.HeaderLoad)+len(": \r\n")+len(text)), "B/field")
			b.ReportMetric(float64(overhead+proto.Size(&peerv1.Probe{Nonce: nonce})), "B/probe")
			b.ReportMetric(float64(overhead+proto.Size(&peerv1.ProbeAnswer{Nonce: nonce, Load: c.load.Message()})), "B/probe-answer")
		})
	}
}

// BenchmarkLimiter reports the rate of messages and bytes that the budget allows
// over a minute, by demand in probes a second. A probe counts as two messages and
// 113 bytes.
func BenchmarkLimiter(b *testing.B) {
	runSizes(b, "probes", []int{50, 200, 1000}, func(b *testing.B, demand int) {
		var messages, bytes uint64
		for b.Loop() {
			l := limiter.New(limiter.Budget{MessagesPerSecond: 200, BytesPerSecond: 16_384}, 0)
			for n := range 60 * demand {
				l.Take(timer.Millis(n*1000/demand), limiter.ProbeSent, 2, 113)
			}
			c := l.Counters(limiter.ProbeSent)
			messages, bytes = c.TakenMessages, c.TakenBytes
		}
		b.ReportMetric(float64(messages)/60, "messages/s")
		b.ReportMetric(float64(bytes)/60, "B/s")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*60*demand), "ns/take")
	})
}

// BenchmarkSelectorMemory reports the heap that ingress needs for each member
// of a service in use, without the members themselves.
func BenchmarkSelectorMemory(b *testing.B) {
	runSizes(b, "members", []int{15, 150, 1200}, func(b *testing.B, count int) {
		var used int64
		const routes = 20
		for b.Loop() {
			before := liveHeap()
			policies := make([]*selector.PowerOfChoices, 0, routes)
			for range routes {
				p := selector.NewPowerOfChoices(selector.Config{Self: instanceID(0), Domain: domainName(0)}, rand.New(rand.NewPCG(1, 2)))
				list := make([]selector.Instance, 0, count)
				for n := range count {
					m := member(n)
					list = append(list, selector.Instance{ID: m.Instance, Domain: m.FailureDomain, Slots: m.Slots})
				}
				p.Step(1, selector.InstancesChanged{Instances: list})
				policies = append(policies, p)
			}
			used = (liveHeap() - before) / routes
			runtime.KeepAlive(policies)
		}
		b.ReportMetric(float64(used), "B/service")
		b.ReportMetric(float64(used)/float64(count), "B/member")
	})
}

// BenchmarkFencerMemory reports the heap of the attempt table at the target rate
// of 324 attempts a second for 15 minutes, by number of sending daemons.
func BenchmarkFencerMemory(b *testing.B) {
	const attempts = 324 * 15 * 60
	runSizes(b, "senders", []int{100, 1000, 10_000}, func(b *testing.B, senders int) {
		var used int64
		var kept int
		for b.Loop() {
			before := liveHeap()
			table := fencer.New(fencer.Config{})
			for n := range attempts {
				id := identifier.AttemptID{Origin: incarnation(n % senders), Sequence: uint64(n / senders)}
				now := timer.Millis(n) * timer.Second / 324
				table.Arrive(now, id)
				table.Started(now, id)
				table.Finished(now, id)
			}
			used = liveHeap() - before
			_, kept = table.Size()
			runtime.KeepAlive(table)
		}
		b.ReportMetric(float64(used), "B")
		b.ReportMetric(float64(kept), "attempts")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*attempts), "ns/attempt")
	})
}

// BenchmarkHops reports the cost of a call over loopback in one process, direct and
// through one and two forwarding servers that encode and decode the attempt headers.
// No state machine runs, so this is a lower bound for the cost of the two hops.
func BenchmarkHops(b *testing.B) {
	target := listen(b, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") }).Addr().String()
	runSizes(b, "hops", []int{0, 1, 2}, func(b *testing.B, hops int) {
		address := target
		for range hops {
			f := forwarder.New(forwarder.Config{
				Address: identifier.Address(address), MaxConnections: 16, ConnectTimeout: timer.Second, MaxAnswerBytes: 1 << 20,
			})
			address = listen(b, func(ctx *fasthttp.RequestCtx) {
				attempt(1).Encode(&ctx.Request.Header)
				var decoded encoder.Attempt
				request := &exchanger.Request{Body: exchanger.NewContent(ctx.Request.Body())}
				ctx.Request.Header.CopyTo(&request.Header)
				if decoded.Decode(&request.Header) != nil ||
					f.Send(&exchanger.Call{Request: request, Response: &ctx.Response}, timer.Second) != forwarder.Answered {
					ctx.SetStatusCode(fasthttp.StatusBadGateway)
				}
			}).Addr().String()
		}
		client := fasthttp.HostClient{Addr: address, MaxIdemponentCallAttempts: 1}
		call, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		call.SetRequestURI("http://" + address + "/x")
		started := processorTime()
		b.ReportAllocs()
		for b.Loop() {
			if err := client.Do(call, answer); err != nil || answer.StatusCode() != fasthttp.StatusOK {
				b.Fatal(err, answer.StatusCode())
			}
		}
		b.ReportMetric(float64((processorTime()-started).Nanoseconds())/float64(b.N), "cpu-ns/op")
	})
}

// BenchmarkConnectionMemory reports the heap and stacks of connections during a
// call and while idle, with both ends in this process.
func BenchmarkConnectionMemory(b *testing.B) {
	runSizes(b, "connections", []int{64, 256, 1024}, func(b *testing.B, count int) {
		var arrived sync.WaitGroup
		release := make(chan struct{})
		address := listen(b, func(ctx *fasthttp.RequestCtx) {
			arrived.Done()
			<-release
			ctx.SetBodyString("ok")
		}).Addr().String()
		f := forwarder.New(forwarder.Config{
			Address: identifier.Address(address), MaxConnections: count, ConnectTimeout: 10 * timer.Second,
			MaxAnswerBytes: 1 << 20, IdleTimeout: timer.Minute,
		})
		var running, idle int64
		for b.Loop() {
			release = make(chan struct{})
			before := liveHeapAndStacks()
			arrived.Add(count)
			var done sync.WaitGroup
			for range count {
				done.Go(func() {
					call := &exchanger.Call{Request: &exchanger.Request{}, Response: &fasthttp.Response{}}
					call.Request.Header.SetRequestURI("/x")
					call.Request.Header.SetHost(address)
					if result := f.Send(call, 20*timer.Second); result != forwarder.Answered {
						panic(result)
					}
				})
			}
			arrived.Wait()
			running = liveHeapAndStacks() - before
			close(release)
			done.Wait()
			// Wait until the servers' goroutines wait for the next request.
			time.Sleep(50 * time.Millisecond)
			idle = liveHeapAndStacks() - before
			f.CloseIdle()
		}
		b.ReportMetric(float64(running)/float64(count), "B/connection-in-call")
		b.ReportMetric(float64(idle)/float64(count), "B/connection-idle")
	})
}

// liveHeapAndStacks returns the size of the live heap and the stacks in bytes.
func liveHeapAndStacks() int64 {
	live := liveHeap()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return live + int64(stats.StackInuse)
}
