package capacity_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

var shardSizes = []int{deduplicator.DefaultShardCount, 1024, 4096}

func claimant(n int) deduplicator.Claimant {
	return deduplicator.Claimant{Instance: instanceID(n), Incarnation: incarnation(n)}
}

func newLease(ownership *deduplicator.Ownership, self int) *deduplicator.Lease {
	return deduplicator.NewLease(claimant(self), ownership, 1)
}

func leaseMembers(count int) []deduplicator.Member {
	list := make([]deduplicator.Member, 0, count)
	for n := range count {
		list = append(list, deduplicator.Member{Claimant: claimant(n), FailureDomain: domainName(n)})
	}
	return list
}

// newOwnership returns an ownership with one folded epoch for every shard. The
// owner of a shard is claimant first + shard or, with one owner, claimant first;
// its successors are the next two claimants.
func newOwnership(shards, first int, one bool) *deduplicator.Ownership {
	o := deduplicator.NewOwnership(uint32(shards))
	records := make([]deduplicator.Record, 0, shards)
	for n := range shards {
		owner := first
		if !one {
			owner += n
		}
		records = append(records, deduplicator.Record{
			Kind: deduplicator.KindOwn, Shard: identifier.Shard(n), Epoch: 1, Owner: claimant(owner),
			Successors: []deduplicator.Claimant{claimant(owner + 1), claimant(owner + 2)},
		})
	}
	effective := must(o.Apply(0, must(deduplicator.EncodeRecords(records))))
	if len(effective) != shards {
		panic("an epoch was not folded")
	}
	return o
}

// BenchmarkLeaseTick reports the time of one tick with 34,000 members: for a
// daemon that owns no shard while the shards have no owner, have other owners,
// or lost their owner and successors long ago, and for the owner of all shards.
func BenchmarkLeaseTick(b *testing.B) {
	const self = 7
	members := leaseMembers(targetMembers)
	for _, c := range []struct {
		name         string
		newOwnership func(shards int) *deduplicator.Ownership
	}{
		{"unowned", func(shards int) *deduplicator.Ownership { return deduplicator.NewOwnership(uint32(shards)) }},
		{"other-owner", func(shards int) *deduplicator.Ownership { return newOwnership(shards, 100, false) }},
		{"owner-gone", func(shards int) *deduplicator.Ownership { return newOwnership(shards, 2*targetMembers, false) }},
		{"owner", func(shards int) *deduplicator.Ownership { return newOwnership(shards, self, true) }},
	} {
		b.Run(c.name, func(b *testing.B) {
			runSizes(b, "shards", shardSizes, func(b *testing.B, shards int) {
				lease := newLease(c.newOwnership(shards), self)
				lease.Step(1, deduplicator.Members{List: members}, nil)
				now := timer.Hour
				tick := func() {
					now += deduplicator.RenewInterval
					lease.Step(now, deduplicator.LogConfirmed{}, nil)
					for _, action := range lease.Step(now, deduplicator.Tick{}, nil) {
						if r, ok := action.(deduplicator.RequestPromises); ok && c.name == "owner" {
							lease.Step(now, deduplicator.PromiseAnswered{
								Successor: r.Successor, SentAt: now, Duration: deduplicator.PromiseDuration, Granted: r.Shards,
							}, nil)
						}
					}
				}
				// The first tick detects that an owner is gone.
				tick()
				if c.name == "owner-gone" {
					now += timer.Minute
				}
				b.ReportAllocs()
				for b.Loop() {
					tick()
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/shard")
			})
		})
	}
}

// BenchmarkLeaseMembers reports the time of a tick of a daemon that waits for a
// shard to get an owner, by number of members.
func BenchmarkLeaseMembers(b *testing.B) {
	runSizes(b, "members", memberSizes, func(b *testing.B, count int) {
		lease := newLease(deduplicator.NewOwnership(deduplicator.DefaultShardCount), 7)
		lease.Step(1, deduplicator.Members{List: leaseMembers(count)}, nil)
		now := timer.Hour
		for b.Loop() {
			now += deduplicator.RenewInterval
			lease.Step(now, deduplicator.LogConfirmed{}, nil)
			lease.Step(now, deduplicator.Tick{}, nil)
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*count), "ns/member")
	})
}

// BenchmarkLeaseEpoch reports the time in which the owner of one shard chooses
// new successors because the current ones do not answer.
func BenchmarkLeaseEpoch(b *testing.B) {
	runSizes(b, "members", memberSizes, func(b *testing.B, count int) {
		lease := newLease(newOwnership(1, 7, true), 7)
		lease.Step(1, deduplicator.Members{List: leaseMembers(count)}, nil)
		now := timer.Hour
		for b.Loop() {
			now += timer.Minute
			lease.Step(now, deduplicator.LogConfirmed{}, nil)
			if _, ok := lease.Step(now, deduplicator.Tick{}, nil)[0].(deduplicator.Append); !ok {
				b.Fatal("no new epoch")
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*count), "ns/member")
	})
}

// BenchmarkOwnership reports the bytes of one epoch in the log and of a
// checkpoint, and the heap of the folded ownership.
func BenchmarkOwnership(b *testing.B) {
	runSizes(b, "shards", shardSizes, func(b *testing.B, shards int) {
		var used int64
		var checkpoint []byte
		for b.Loop() {
			before := liveHeap()
			o := newOwnership(shards, 100, false)
			used = liveHeap() - before
			checkpoint = must(o.Checkpoint())
			runtime.KeepAlive(o)
		}
		record := newOwnership(1, 100, false).Current(0)
		b.ReportMetric(float64(len(must(deduplicator.EncodeRecords([]deduplicator.Record{record})))), "B/record")
		b.ReportMetric(float64(len(checkpoint))/float64(shards), "checkpoint-B/shard")
		b.ReportMetric(float64(used)/float64(shards), "B/shard")
	})
}

func request(n int) deduplicator.Request {
	return deduplicator.Request{
		Key: deduplicator.Key{
			Service: serviceName(n % 8), Key: identifier.IdempotencyKey(fmt.Sprintf("0c9b1a2c-7d3e-4000-8000-%012d", n)),
		},
		Token: deduplicator.Token(fmt.Sprintf("%x-%d", uint64(incarnation(n)), n)), Window: 10 * timer.Minute,
	}
}

// BenchmarkClaims reports the processor time of a claim with its settlement, and
// the heap of a claim that keeps no answer.
func BenchmarkClaims(b *testing.B) {
	runSizes(b, "claims", []int{1000, 10_000, deduplicator.MaxClaims}, func(b *testing.B, count int) {
		var used int64
		var cpuNanos float64
		fillClaims := func() *deduplicator.Claims {
			claims := deduplicator.NewClaims(nil)
			claims.BeginOwnership(1, noon, 0, false)
			for n := range count {
				r := request(n)
				if verdict, _ := claims.Claim(1, noon, r); verdict != deduplicator.Granted {
					b.Fatal(verdict)
				}
				claims.Settle(r.Key, r.Token, deduplicator.OutcomeComplete, nil)
			}
			return claims
		}
		for b.Loop() {
			started := processorTime()
			for n := range count {
				request(n)
			}
			buildTime := processorTime() - started
			before := liveHeap()
			started = processorTime()
			claims := fillClaims()
			cpuNanos = float64((processorTime() - started - buildTime).Nanoseconds())
			used = liveHeap() - before
			runtime.KeepAlive(claims)
		}
		b.ReportMetric(float64(used)/float64(count), "B/claim")
		b.ReportMetric(cpuNanos/float64(count), "cpu-ns/claim")
	})
}
