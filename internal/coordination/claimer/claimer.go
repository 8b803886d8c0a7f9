// Package claimer runs shard ownership and claims of idempotency keys against
// the other daemons and the log. Every decision is made by the state machines
// of package deduplicator; this package does their I/O.
//
// A Claimer is a state of the ownership stream for package follower. That
// follower must not start from an empty state when the records of the stream
// have expired: a daemon that knows no epoch would found epoch 1 beside the
// owners of later epochs. Somebody must append Checkpoint before they expire.
//
// # Usage
//
//	c := claimer.New(claimer.Config{Self: self, Log: log, Peer: peer, ...})
//	defer c.Close()
//	c.Tick()      // every 100 ms
//	c.Confirmed() // whenever the ownership stream was read to its end
//
//	verdict, answer, ok := c.Claim(deadline, request)
//	if !ok {
//		// The request must not run.
//	}
//	c.Settle(request, deduplicator.OutcomeComplete, body)
//
//	err := c.HandOver(ctx) // in a planned stop, before Close
package claimer

import (
	"context"
	"sync"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Error is the class of errors of this package.
var Error = errs.Class("claimer")

// Claimer owns shards, asks owners for claims and answers other daemons. It is
// safe for concurrent use.
type Claimer struct {
	config Config
	// ctx ends all background work.
	ctx    context.Context
	cancel context.CancelFunc
	// work counts background goroutines.
	work sync.WaitGroup

	// mu guards everything below and is never held during I/O.
	mu        sync.Mutex
	closed    bool
	stopping  bool
	settling  int
	confirmed timer.Millis
	ownership *deduplicator.Ownership
	lease     *deduplicator.Lease
	claims    *deduplicator.Claims
	released  *releasedTokens
	inbox     *inbox
	appends   map[identifier.Shard]appendCount
	// given holds the epochs whose claims this daemon gave away.
	given map[identifier.Shard]identifier.Epoch
}

// New returns a claimer for one incarnation of this daemon. It does no I/O.
func New(config Config) *Claimer {
	config = config.withDefaults()
	ownership := deduplicator.NewOwnership(config.ShardCount)
	c := &Claimer{
		config: config, ownership: ownership,
		lease:    deduplicator.NewLease(config.Self, ownership, config.Clock.Now()),
		claims:   deduplicator.NewClaims(),
		released: newReleasedTokens(),
		inbox:    newInbox(),
		appends:  map[identifier.Shard]appendCount{},
		given:    map[identifier.Shard]identifier.Epoch{},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close ends all background work and waits for it. Claims are refused from
// then on. It does not hand over.
func (c *Claimer) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.work.Wait()
}

// Tick lets time pass; it is due every 100 ms.
func (c *Claimer) Tick() {
	members := c.config.Members()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	now := c.config.Clock.Now()
	c.inbox.expire(now)
	c.perform(now, c.lease.Step(now, members, nil))
	c.perform(now, c.lease.Step(now, deduplicator.Tick{}, nil))
}

// Confirmed tells that the ownership stream was just read to its end.
func (c *Claimer) Confirmed() { c.ConfirmedAt(c.config.Clock.Now()) }

// ConfirmedAt tells that everything that the ownership stream held at a time of
// this daemon's clock has been folded. An owner without successors relies on
// this time alone, so a process that may pause between the read and the call,
// or reads through a relay, should pass the time of the read.
func (c *Claimer) ConfirmedAt(at timer.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at <= c.confirmed {
		return
	}
	c.confirmed = at
	c.perform(at, c.lease.Step(at, deduplicator.LogConfirmed{}, nil))
}

// step passes an event to the lease.
func (c *Claimer) step(event deduplicator.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	now := c.config.Clock.Now()
	c.perform(now, c.lease.Step(now, event, nil))
}

// perform starts the actions of the lease. The caller holds the lock.
func (c *Claimer) perform(now timer.Millis, actions []deduplicator.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case deduplicator.Append:
			c.countAppends(a.Records)
			c.spawn(func() { c.appendRecords(a.Records) })
		case deduplicator.RequestPromises:
			// The time is taken before the request is sent, so that the owner's
			// count of a promise ends before the successor's.
			c.spawn(func() { c.requestPromises(now, a) })
		case deduplicator.OwnershipStarted:
			c.claims.BeginOwnership(now, c.config.Clock.Wall(), a.Shard, a.ClaimsLost)
			c.note("ownership began", "shard", a.Shard, "epoch", a.Epoch, "claims_lost", a.ClaimsLost)
		case deduplicator.OwnershipEnded:
			c.claims.EndOwnership(a.Shard)
			c.note("ownership ended", "shard", a.Shard)
		}
	}
}

// spawn runs background work until Close. The caller holds the lock, so that no
// work starts after Close began to wait.
func (c *Claimer) spawn(work func()) {
	if !c.closed {
		c.work.Go(work)
	}
}

// note logs without holding up the lock, which the caller holds.
func (c *Claimer) note(message string, attributes ...any) {
	c.spawn(func() { c.config.Logger.Info(message, attributes...) })
}

// owner returns the folded owner and epoch of a shard; epoch 0 means none.
func (c *Claimer) owner(shard identifier.Shard) (deduplicator.Claimant, identifier.Epoch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.ownership.Current(shard)
	return current.Owner, current.Epoch
}

func (c *Claimer) shardOf(key deduplicator.Key) identifier.Shard {
	return deduplicator.ShardOf(key.Service, key.Key, c.config.ShardCount)
}
