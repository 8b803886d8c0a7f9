package capacity_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/follower"
	"github.com/magnoliaknot/magnoliaknot/internal/coordination/holder"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// counter is a fold that keeps nothing but its position.
type counter struct{ next identifier.Offset }

func (c *counter) Apply(offset identifier.Offset, _ []byte) error { c.next = offset + 1; return nil }
func (c *counter) Restore([]byte) (bool, error)                   { return false, nil }
func (c *counter) Folded() (identifier.Offset, bool)              { return c.next - 1, c.next > 0 }

// memoryLog answers reads from records made on demand.
type memoryLog struct {
	end    int
	record func(n int) []byte
}

func (l *memoryLog) Append(context.Context, appender.Stream, []byte) (identifier.Offset, error) {
	return 0, errors.New("the log is only read")
}

func (l *memoryLog) Read(_ context.Context, _ appender.Stream, from identifier.Offset, limit int, _ timer.Millis) (appender.Batch, error) {
	batch := appender.Batch{Next: identifier.Offset(l.end)}
	for n := int(from); n < l.end && len(batch.Records) < limit; n++ {
		batch.Records = append(batch.Records, appender.Record{Offset: identifier.Offset(n), Payload: l.record(n)})
	}
	return batch, nil
}

// newReader returns a follower that reads a log and starts at the first record.
func newReader(log appender.Log, state follower.State) *follower.Follower {
	return follower.New(follower.Config{
		Stream: appender.Configuration, Log: log, Clock: timer.NewManual(1, noon), Rand: rand.New(rand.NewPCG(1, 2)),
		Assignment: func() follower.Assignment { return follower.Assignment{Reader: true} },
		Peers:      func() []identifier.Address { return nil },
	}, state)
}

func catchUp(f *follower.Follower, state follower.State, end int) {
	for {
		f.RunOnce(context.Background())
		if folded, ok := state.Folded(); ok && int(folded) == end-1 {
			return
		}
	}
}

// BenchmarkWindowMemory reports the heap of the records that a follower keeps
// for others, after more records than fit.
func BenchmarkWindowMemory(b *testing.B) {
	for _, count := range []int{500, 1000, 4000} {
		b.Run(fmt.Sprintf("records=%d", count), func(b *testing.B) {
			forEach(b, "payload", []int{128, 700, 4096}, func(b *testing.B, size int) {
				var used int64
				for b.Loop() {
					before := heap()
					state := &counter{}
					f := newReader(&memoryLog{end: count, record: func(int) []byte { return make([]byte, size) }}, state)
					catchUp(f, state, count)
					used = heap() - before
					runtime.KeepAlive(f)
				}
				b.ReportMetric(float64(used), "B")
			})
		})
	}
}

// BenchmarkCatchUp reports the time to fold the changes of a cut-off.
func BenchmarkCatchUp(b *testing.B) {
	list := changes(targetServices, 1333)
	forEach(b, "changes", []int{333, 667, 1333}, func(b *testing.B, count int) {
		b.ReportAllocs()
		for b.Loop() {
			b.StopTimer()
			state := holder.NewConfiguration(discard)
			if err := state.Apply(0, list[0]); err != nil {
				b.Fatal(err)
			}
			f := newReader(&memoryLog{end: count + 1, record: func(n int) []byte { return list[n] }}, state)
			b.StartTimer()
			catchUp(f, state, count+1)
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*count), "ns/change")
	})
}

// BenchmarkFanOut reports the time from one folded change until every waiting
// long poll has its encoded answer, without sockets. 391 is a third of the
// 1,172 followers of a failure domain.
func BenchmarkFanOut(b *testing.B) {
	payload := changePayload(1, 1, setService(1, 4))
	forEach(b, "polls", []int{100, 200, 391}, func(b *testing.B, polls int) {
		var spent float64
		for b.Loop() {
			b.StopTimer()
			state := &counter{}
			log := &memoryLog{end: 1, record: func(int) []byte { return payload }}
			f := newReader(log, state)
			catchUp(f, state, 1)
			var started, answered sync.WaitGroup
			for range polls {
				started.Add(1)
				answered.Go(func() {
					started.Done()
					res := follower.Serve(context.Background(), f, &peerv1.FetchRequest{From: 1, Limit: 256, WaitMs: 2000})
					if len(must(proto.Marshal(res))) < len(payload) {
						panic("the change is missing")
					}
				})
			}
			started.Wait()
			log.end = 2
			before := processorTime()
			b.StartTimer()
			catchUp(f, state, 2)
			answered.Wait()
			spent += float64((processorTime() - before).Nanoseconds())
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*polls), "ns/poll")
		b.ReportMetric(spent/float64(b.N*polls), "cpu-ns/poll")
	})
}
