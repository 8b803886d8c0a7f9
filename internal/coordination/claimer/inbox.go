package claimer

import (
	"maps"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// handoverIdleTimeout is the maximum time between two messages of a handover.
const handoverIdleTimeout = 30 * timer.Second

// incomingHandover is a handover of one shard to this daemon.
type incomingHandover struct {
	epoch  identifier.Epoch
	claims map[deduplicator.Key]deduplicator.Claim
	// answerBytes is the total size of the answers in claims.
	answerBytes int
	// reserved is the memory of claims.
	reserved      int64
	lastMessageAt timer.Millis
	// done is set once the claims were imported.
	done bool
}

// inbox collects the messages of handovers until they are complete. It is not
// safe for concurrent use.
type inbox struct {
	memory deduplicator.Memory
	shards map[identifier.Shard]*incomingHandover
}

func newInbox(memory deduplicator.Memory) *inbox {
	return &inbox{memory: memory, shards: map[identifier.Shard]*incomingHandover{}}
}

// add stores claims until take and reports whether they were within the limit. A
// repeated message has no further effect, since the sender's claims do not change
// during a handover.
func (i *inbox) add(now timer.Millis, shard identifier.Shard, epoch identifier.Epoch, claims []deduplicator.Claim) bool {
	total, answerBytes := 0, 0
	for _, in := range i.shards {
		total += len(in.claims)
		answerBytes += in.answerBytes
	}
	in := i.shards[shard]
	if in == nil || in.epoch != epoch {
		i.remove(shard)
		in = &incomingHandover{epoch: epoch, claims: map[deduplicator.Key]deduplicator.Claim{}}
		i.shards[shard] = in
	}
	in.lastMessageAt = now
	for _, claim := range claims {
		if _, found := in.claims[claim.Key]; found {
			continue
		}
		if total >= deduplicator.MaxClaims {
			return false
		}
		// A claim without its answer still prevents a second run.
		if answerBytes+len(claim.Answer) > deduplicator.MaxTotalAnswerBytes {
			claim.Answer = nil
		}
		bytes := claim.Bytes() + int64(len(claim.Answer))
		if !i.memory.Grow(bytes) {
			return false
		}
		in.reserved += bytes
		in.claims[claim.Key] = claim
		in.answerBytes += len(claim.Answer)
		answerBytes += len(claim.Answer)
		total++
	}
	return true
}

// isDone reports whether the claims of an epoch were imported.
func (i *inbox) isDone(shard identifier.Shard, epoch identifier.Epoch) bool {
	in := i.shards[shard]
	return in != nil && in.epoch == epoch && in.done
}

// take removes and returns the collected claims of an epoch in the order of their
// expiry. Their memory is freed.
func (i *inbox) take(shard identifier.Shard, epoch identifier.Epoch) []deduplicator.Claim {
	in := i.shards[shard]
	if in == nil || in.epoch != epoch {
		return nil
	}
	i.remove(shard)
	return slices.SortedFunc(maps.Values(in.claims), func(a, b deduplicator.Claim) int {
		return int(a.ExpiresAt - b.ExpiresAt)
	})
}

// setDone records that the claims of an epoch were imported.
func (i *inbox) setDone(shard identifier.Shard, epoch identifier.Epoch) {
	i.remove(shard)
	i.shards[shard] = &incomingHandover{epoch: epoch, done: true}
}

// drop removes the handover of a shard and reports whether its claims were
// imported.
func (i *inbox) drop(shard identifier.Shard) bool {
	in := i.shards[shard]
	i.remove(shard)
	return in != nil && in.done
}

// remove removes the handover of a shard, if any, and frees its memory.
func (i *inbox) remove(shard identifier.Shard) {
	if in := i.shards[shard]; in != nil {
		i.memory.Shrink(in.reserved)
		delete(i.shards, shard)
	}
}

// expire removes incomplete handovers whose messages stopped.
func (i *inbox) expire(now timer.Millis) {
	for shard, in := range i.shards {
		if !in.done && now-in.lastMessageAt >= handoverIdleTimeout {
			i.remove(shard)
		}
	}
}
