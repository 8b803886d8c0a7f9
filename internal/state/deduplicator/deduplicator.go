// Package deduplicator keeps a request with an idempotency key from running
// twice, whichever daemons its resends come through.
//
// The key space is divided into shards. Each shard has one owner, agreed through
// the ownership stream of the log, and two successors. Three state machines
// work together; none does I/O:
//
//   - Ownership applies the ownership stream and holds the owner of each shard in
//     its current epoch.
//   - Lease decides when this daemon may grant claims as owner, and when it may
//     take a shard over as successor.
//   - Claims is the owner's table of keys.
//
// Claims are held only in the owner's memory. After an owner is lost, a key
// that it may have seen is answered OwnerLost for the deduplication window. A
// key that is a UUIDv7 (RFC 9562) made after the takeover cannot have been seen
// and runs.
//
// # Usage
//
//	ownership.Apply(offset, payload)
//	actions = lease.Step(now, deduplicator.Tick{}, nil)
//	if lease.CanGrant(now, shard, epoch) {
//		verdict := claims.Claim(now, wall, request)
//	}
package deduplicator

import (
	"hash/fnv"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Error is the class of errors of this package.
var Error = errs.Class("deduplicator")

// Times of the lease protocol. An owner stops granting before another daemon
// may take over; the margin covers clocks that run at different rates.
const (
	// PromiseDuration is how long a successor promises not to take over.
	PromiseDuration = 3 * timer.Second
	// PromiseMargin is how much earlier than its successor an owner considers a
	// promise expired.
	PromiseMargin = 500 * timer.Millis(1)
	// RenewInterval is the time between renewals of promises.
	RenewInterval = 500 * timer.Millis(1)
	// IntentDelay is how long a daemon that is not a successor waits between its
	// intent and its takeover.
	IntentDelay = 600 * timer.Second
	// LogContactTimeout is how long an owner may grant without reading the log.
	LogContactTimeout = 590 * timer.Second
	// ClockTolerance is the largest accepted error of a caller's clock.
	ClockTolerance = 30 * timer.Second
)

// DefaultShardCount is the number of shards unless settings say otherwise.
const DefaultShardCount = 64

// ShardOf returns the shard of a service's key.
func ShardOf(service identifier.ServiceName, key identifier.IdempotencyKey, count uint32) identifier.Shard {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	return identifier.Shard(h.Sum64() % uint64(count))
}
