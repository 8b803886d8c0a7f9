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

// owned folds an epoch for every shard. The owner of a shard is first + shard
// or, with one owner, first; its successors follow it.
func owned(shards, first int, one bool) *deduplicator.Ownership {
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

// BenchmarkLeaseTick reports one tick with 34,000 members: as one of many
// daemons while shards have no owner yet, as one of many while they have one,
// as one of many after owner and successors have been gone for long, and as the
// owner of all shards.
func BenchmarkLeaseTick(b *testing.B) {
	const self = 7
	members := leaseMembers(targetMembers)
	for _, c := range []struct {
		name  string
		owned func(shards int) *deduplicator.Ownership
	}{
		{"unowned", func(shards int) *deduplicator.Ownership { return deduplicator.NewOwnership(uint32(shards)) }},
		{"other-owner", func(shards int) *deduplicator.Ownership { return owned(shards, 100, false) }},
		{"owner-gone", func(shards int) *deduplicator.Ownership { return owned(shards, 2*targetMembers, false) }},
		{"owner", func(shards int) *deduplicator.Ownership { return owned(shards, self, true) }},
	} {
		b.Run(c.name, func(b *testing.B) {
			forEach(b, "shards", shardSizes, func(b *testing.B, shards int) {
				lease := newLease(c.owned(shards), self)
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
				// The first tick notes that an owner is gone.
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

// BenchmarkLeaseMembers reports a tick of a daemon that waits for a shard to
// get an owner, over the number of members.
func BenchmarkLeaseMembers(b *testing.B) {
	forEach(b, "members", memberSizes, func(b *testing.B, count int) {
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

// BenchmarkLeaseEpoch reports the choice of new successors by the owner of one
// shard whose successors do not answer.
func BenchmarkLeaseEpoch(b *testing.B) {
	forEach(b, "members", memberSizes, func(b *testing.B, count int) {
		lease := newLease(owned(1, 7, true), 7)
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
// checkpoint, and the heap of the fold.
func BenchmarkOwnership(b *testing.B) {
	forEach(b, "shards", shardSizes, func(b *testing.B, shards int) {
		var used int64
		var checkpoint []byte
		for b.Loop() {
			before := heap()
			o := owned(shards, 100, false)
			used = heap() - before
			checkpoint = must(o.Checkpoint())
			runtime.KeepAlive(o)
		}
		record := owned(1, 100, false).Current(0)
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

// BenchmarkClaims reports the time of a claim with its settlement, and the heap
// of a claim without an answer.
func BenchmarkClaims(b *testing.B) {
	forEach(b, "claims", []int{1000, 10_000, deduplicator.MaxClaims}, func(b *testing.B, count int) {
		var used int64
		var spent float64
		fill := func() *deduplicator.Claims {
			claims := deduplicator.NewClaims()
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
			building := processorTime() - started
			before := heap()
			started = processorTime()
			claims := fill()
			spent = float64((processorTime() - started - building).Nanoseconds())
			used = heap() - before
			runtime.KeepAlive(claims)
		}
		b.ReportMetric(float64(used)/float64(count), "B/claim")
		b.ReportMetric(spent/float64(count), "cpu-ns/claim")
	})
}
