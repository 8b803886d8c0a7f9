package capacity_test

import (
	"fmt"
	"math"
	"runtime"
	"testing"

	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/internal/state/scheduler"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// BenchmarkMemberRecord reports the bytes of one append of membership records.
func BenchmarkMemberRecord(b *testing.B) {
	for _, kind := range []struct {
		name      string
		newRecord func(n int) tracker.Record
	}{
		{"join", func(n int) tracker.Record { return tracker.Join{Member: member(n)} }},
		{"renew", func(n int) tracker.Record { return tracker.Renew{Instance: instanceID(n), Incarnation: incarnation(n)} }},
		{"leave", func(n int) tracker.Record { return tracker.Leave{Instance: instanceID(n), Incarnation: incarnation(n)} }},
	} {
		b.Run(kind.name, func(b *testing.B) {
			runSizes(b, "batch", []int{1, 10, 50}, func(b *testing.B, count int) {
				var payload []byte
				for b.Loop() {
					batch := make([]tracker.Record, 0, count)
					for n := range count {
						batch = append(batch, kind.newRecord(n))
					}
					payload = must(tracker.EncodeBatch(batch))
				}
				b.ReportMetric(float64(len(payload)), "B")
				b.ReportMetric(float64(len(payload))/float64(count), "B/record")
			})
		})
	}
}

// BenchmarkMembershipMemory reports the heap of the tracker after all members have
// joined, and after the instances of every service were requested.
func BenchmarkMembershipMemory(b *testing.B) {
	runSizes(b, "members", memberSizes, func(b *testing.B, count int) {
		var table, used int64
		for b.Loop() {
			before := liveHeap()
			t := membership(count)
			table = liveHeap() - before
			for n := range targetServices {
				t.Instances(serviceName(n))
			}
			used = liveHeap() - before
			runtime.KeepAlive(t)
		}
		b.ReportMetric(float64(table)/float64(count), "B/member")
		b.ReportMetric(float64(used)/float64(count), "B/member-all-services")
	})
}

// BenchmarkMembershipCheckpoint reports the cost for a peer of encoding a
// snapshot and for a new daemon of restoring it.
func BenchmarkMembershipCheckpoint(b *testing.B) {
	runSizes(b, "members", memberSizes, func(b *testing.B, count int) {
		t := membership(count)
		payload := must(t.Checkpoint())
		b.Run("encode", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				must(t.Checkpoint())
			}
			b.ReportMetric(float64(len(payload)), "B")
			b.ReportMetric(float64(len(payload))/float64(count), "B/member")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*count), "ns/member")
		})
		b.Run("restore", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				must(tracker.New(tracker.Config{Self: "newcomer", Retention: timer.Day}).Restore(payload))
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*count), "ns/member")
		})
	})
}

// BenchmarkMembershipChange reports the time to fold one restart (a join with a
// new incarnation) in a full tracker, alone and with the choice of log readers
// and relays that follows it.
func BenchmarkMembershipChange(b *testing.B) {
	for _, assign := range []bool{false, true} {
		b.Run(fmt.Sprintf("assignment=%t", assign), func(b *testing.B) {
			runSizes(b, "members", memberSizes, func(b *testing.B, count int) {
				t := membership(count)
				folded, _ := t.Folded()
				n := 0
				b.ReportAllocs()
				for b.Loop() {
					b.StopTimer()
					n++
					m := member(n * 31 % count)
					m.Incarnation += identifier.Incarnation(n) << 20
					payload := must(tracker.EncodeBatch([]tracker.Record{tracker.Join{Member: m}}))
					b.StartTimer()
					if err := t.Apply(folded+identifier.Offset(n), payload); err != nil {
						b.Fatal(err)
					}
					if assign {
						t.ReaderRank(instanceID(0))
						t.Relays(domainName(0), instanceID(0))
					}
				}
			})
		})
	}
}

// BenchmarkRouteRefresh reports the time of the search for usable members, which
// ingress repeats for each service in use.
func BenchmarkRouteRefresh(b *testing.B) {
	schedule := scheduler.New(must(parser.Apply(nil, sheetEdits(1))), nil)
	runSizes(b, "members", []int{15, 150, 1200}, func(b *testing.B, count int) {
		t := tracker.New(tracker.Config{Self: instanceID(0), FailureDomain: domainName(0), Retention: timer.Day})
		for n := range count {
			m := member(n)
			m.Service = "one"
			if err := t.Apply(identifier.Offset(n), must(tracker.EncodeBatch([]tracker.Record{tracker.Join{Member: m}}))); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportAllocs()
		for b.Loop() {
			var usable []tracker.Member
			for _, m := range t.Instances("one") {
				if d := schedule.Domain(noon, m.FailureDomain); d.Known && !d.Out && t.Usable(m.Instance, 1) {
					usable = append(usable, m)
				}
			}
			if len(usable) != count {
				b.Fatal(len(usable))
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*count), "ns/member")
	})
}

// claimants lists the members as the runner does for the lease of key shards.
func claimants(t *tracker.Tracker) []deduplicator.Member {
	list := make([]deduplicator.Member, 0, t.Len()+1)
	for m := range t.Members() {
		if t.Usable(m.Instance, math.MaxInt64) {
			list = append(list, deduplicator.Member{
				Claimant:      deduplicator.Claimant{Instance: m.Instance, Incarnation: m.Incarnation},
				FailureDomain: m.FailureDomain,
			})
		}
	}
	return list
}

// BenchmarkClaimants reports the time to list the members for the lease, and the
// heap that the lease uses for the list.
func BenchmarkClaimants(b *testing.B) {
	runSizes(b, "members", memberSizes, func(b *testing.B, count int) {
		t := membership(count)
		before := liveHeap()
		lease := newLease(deduplicator.NewOwnership(deduplicator.DefaultShardCount), 0)
		b.ReportAllocs()
		for b.Loop() {
			lease.Step(1, deduplicator.Members{List: claimants(t)}, nil)
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*count), "ns/member")
		b.ReportMetric(float64(liveHeap()-before)/float64(count), "B/member")
		runtime.KeepAlive(lease)
		runtime.KeepAlive(t)
	})
}
