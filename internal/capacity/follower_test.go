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

// offsetState is a follower.State that keeps only the next offset.
type offsetState struct{ next identifier.Offset }

func (c *offsetState) Apply(offset identifier.Offset, _ []byte) error {
	c.next = offset + 1
	return nil
}
func (c *offsetState) Restore([]byte) (bool, error)      { return false, nil }
func (c *offsetState) Folded() (identifier.Offset, bool) { return c.next - 1, c.next > 0 }

// memoryLog is a read-only log that creates its records when they are read.
type memoryLog struct {
	end    int
	record func(n int) []byte
}

func (l *memoryLog) Append(context.Context, appender.Stream, []byte) (identifier.Offset, error) {
	return 0, errors.New("the log is read-only")
}

func (l *memoryLog) Read(_ context.Context, _ appender.Stream, from identifier.Offset, limit int, _ timer.Millis) (appender.Batch, error) {
	batch := appender.Batch{Next: identifier.Offset(l.end)}
	for n := int(from); n < l.end && len(batch.Records) < limit; n++ {
		batch.Records = append(batch.Records, appender.Record{Offset: identifier.Offset(n), Payload: l.record(n)})
	}
	return batch, nil
}

// newLogReader returns a follower that reads the log itself, from the first record.
func newLogReader(log appender.Log, state follower.State) *follower.Follower {
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

// BenchmarkWindowMemory reports the heap of the records that a follower keeps to
// serve other daemons, after it has folded more records than it keeps.
func BenchmarkWindowMemory(b *testing.B) {
	for _, count := range []int{500, 1000, 4000} {
		b.Run(fmt.Sprintf("records=%d", count), func(b *testing.B) {
			runSizes(b, "payload", []int{128, 700, 4096}, func(b *testing.B, size int) {
				var used int64
				for b.Loop() {
					before := liveHeap()
					state := &offsetState{}
					f := newLogReader(&memoryLog{end: count, record: func(int) []byte { return make([]byte, size) }}, state)
					catchUp(f, state, count)
					used = liveHeap() - before
					runtime.KeepAlive(f)
				}
				b.ReportMetric(float64(used), "B")
			})
		})
	}
}

// BenchmarkCatchUp reports the time to fold the changes that a daemon missed while it
// was disconnected.
func BenchmarkCatchUp(b *testing.B) {
	list := changes(targetServices, 1333)
	runSizes(b, "changes", []int{333, 667, 1333}, func(b *testing.B, count int) {
		b.ReportAllocs()
		for b.Loop() {
			b.StopTimer()
			state := holder.NewConfiguration(discardLogger)
			if err := state.Apply(0, list[0]); err != nil {
				b.Fatal(err)
			}
			f := newLogReader(&memoryLog{end: count + 1, record: func(n int) []byte { return list[n] }}, state)
			b.StartTimer()
			catchUp(f, state, count+1)
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*count), "ns/change")
	})
}

// BenchmarkFanOut reports the time from the read of one change until every waiting
// long poll has its encoded answer, without sockets. 391 is a third of the
// 1,172 followers of a failure domain.
func BenchmarkFanOut(b *testing.B) {
	payload := changePayload(1, 1, setService(1, 4))
	runSizes(b, "polls", []int{100, 200, 391}, func(b *testing.B, polls int) {
		var cpuNanos float64
		for b.Loop() {
			b.StopTimer()
			state := &offsetState{}
			log := &memoryLog{end: 1, record: func(int) []byte { return payload }}
			f := newLogReader(log, state)
			catchUp(f, state, 1)
			var started, answered sync.WaitGroup
			for range polls {
				started.Add(1)
				answered.Go(func() {
					started.Done()
					res := follower.Serve(context.Background(), f, &peerv1.FetchRequest{From: 1, Limit: 256, WaitMs: 2000})
					if len(must(proto.Marshal(res))) < len(payload) {
						panic("the answer lacks the change")
					}
				})
			}
			started.Wait()
			log.end = 2
			before := processorTime()
			b.StartTimer()
			catchUp(f, state, 2)
			answered.Wait()
			cpuNanos += float64((processorTime() - before).Nanoseconds())
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*polls), "ns/poll")
		b.ReportMetric(cpuNanos/float64(b.N*polls), "cpu-ns/poll")
	})
}
