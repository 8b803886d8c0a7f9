package deduplicator_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// limitedMemory counts reserved bytes.
type limitedMemory struct{ used, limit int64 }

func (m *limitedMemory) Grow(bytes int64) bool {
	if m.used+bytes > m.limit {
		return false
	}
	m.used += bytes
	return true
}

func (m *limitedMemory) Shrink(bytes int64) { m.used -= bytes }

// Guards against claims and answers that take memory beyond its bound, or whose memory is
// freed twice or never, so that the bound is lost or no key is granted any more.
func TestClaimsAreReserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const shards = 3
		memory := &limitedMemory{limit: rapid.Int64Range(0, 8000).Draw(t, "limit")}
		other := &limitedMemory{limit: 8000}
		claims, source := deduplicator.NewClaims(memory), deduplicator.NewClaims(other)
		now, wall := timer.Millis(1), timer.Millis(1_700_000_000_000)
		for shard := range identifier.Shard(shards) {
			claims.BeginOwnership(now, wall, shard, false)
			source.BeginOwnership(now, wall, shard, false)
		}
		request := func() deduplicator.Request {
			n := rapid.IntRange(0, 20).Draw(t, "key")
			return deduplicator.Request{
				Key:   deduplicator.Key{Service: "payouts", Key: identifier.IdempotencyKey(fmt.Sprint("key-", n))},
				Shard: identifier.Shard(n % shards), Token: "t", Window: timer.Millis(rapid.IntRange(1, 1000).Draw(t, "window")),
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim":       func(*rapid.T) { claims.Claim(now, wall, request()) },
			"claim other": func(*rapid.T) { source.Claim(now, wall, request()) },
			"settle": func(t *rapid.T) {
				outcome := deduplicator.Outcome(rapid.IntRange(1, 3).Draw(t, "outcome"))
				claims.Settle(request().Key, "t", outcome, make([]byte, rapid.IntRange(0, 2000).Draw(t, "answer")))
			},
			"settle other": func(t *rapid.T) {
				source.Settle(request().Key, "t", deduplicator.OutcomeComplete, make([]byte, rapid.IntRange(0, 2000).Draw(t, "answer")))
			},
			"wait":   func(t *rapid.T) { now += timer.Millis(rapid.IntRange(1, 5000).Draw(t, "time")) },
			"import": func(t *rapid.T) { claims.Import(now, source.Export(now, shardOf(t, shards), 1)) },
			"end": func(t *rapid.T) {
				shard := shardOf(t, shards)
				claims.EndOwnership(shard)
				claims.BeginOwnership(now, wall, shard, false)
			},
			"": func(t *rapid.T) {
				var held int64
				for shard := range identifier.Shard(shards) {
					for _, claim := range claims.Export(now, shard, 1).Claims {
						held += claim.Bytes() + int64(len(claim.Answer))
					}
				}
				if memory.used != held || held > memory.limit {
					t.Fatalf("%d bytes are reserved, the claims hold %d of %d", memory.used, held, memory.limit)
				}
			},
		})
	})
}

func shardOf(t *rapid.T, shards int) identifier.Shard {
	return identifier.Shard(rapid.IntRange(0, shards-1).Draw(t, "shard"))
}
