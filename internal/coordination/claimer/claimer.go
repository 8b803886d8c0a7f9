// Package claimer runs shard ownership and claims of idempotency keys against
// the other daemons and the log. Every decision is made by the state machines
// of package deduplicator; this package does their I/O.
//
// A Claimer implements follower.State for the ownership stream. That follower
// must not start from an empty state when records of the stream have expired: a
// daemon that knows no epoch would start epoch 1 although later epochs have
// owners. A daemon must therefore append Checkpoint before records expire.
//
// # Usage
//
//	c := claimer.New(claimer.Config{Self: self, Log: log, Peer: peer, ...})
//	defer c.Close()
//	c.Tick()          // every 100 ms
//	c.MarkConfirmed() // whenever the ownership stream was read to its end
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

// Claimer owns shards, sends claims to other owners and serves requests of other
// daemons. It is safe for concurrent use.
type Claimer struct {
	config Config
	// ctx is canceled by Close and ends all background work.
	ctx    context.Context
	cancel context.CancelFunc
	// background counts the running goroutines.
	background sync.WaitGroup

	// mu guards everything below and is never held during I/O.
	mu             sync.Mutex
	closed         bool
	stopping       bool
	pendingReports int
	confirmed      timer.Millis
	ownership      *deduplicator.Ownership
	lease          *deduplicator.Lease
	claims         *deduplicator.Claims
	released       *releasedTokens
	inbox          *inbox
	appends        map[identifier.Shard]pendingAppends
	// handedOver holds the epoch of each shard whose claims were released for a
	// handover.
	handedOver map[identifier.Shard]identifier.Epoch
}

// New returns a claimer for one incarnation of this daemon. It does no I/O.
func New(config Config) *Claimer {
	config = config.withDefaults()
	ownership := deduplicator.NewOwnership(config.ShardCount)
	c := &Claimer{
		config: config, ownership: ownership,
		lease:      deduplicator.NewLease(config.Self, ownership, config.Clock.Now()),
		claims:     deduplicator.NewClaims(config.Memory),
		released:   newReleasedTokens(config.Memory),
		inbox:      newInbox(config.Memory),
		appends:    map[identifier.Shard]pendingAppends{},
		handedOver: map[identifier.Shard]identifier.Epoch{},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close ends all background work and waits for it. Afterwards claims are
// refused. Close does not hand over shards.
func (c *Claimer) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.background.Wait()
}

// Tick advances the timers; it must be called every 100 ms.
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

// MarkConfirmed records that the ownership stream was just read to its end.
func (c *Claimer) MarkConfirmed() { c.MarkConfirmedAt(c.config.Clock.Now()) }

// MarkConfirmedAt records that all records that the ownership stream held at the
// given time of this daemon's clock have been folded. An owner without successors
// relies on this time alone, so a process that may pause between the read and the
// call, or that reads through a relay, should pass the time of the read.
func (c *Claimer) MarkConfirmedAt(at timer.Millis) {
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

// perform executes the actions of the lease. The caller holds the lock.
func (c *Claimer) perform(now timer.Millis, actions []deduplicator.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case deduplicator.Append:
			c.countAppends(a.Records)
			c.runInBackground(func() { c.appendRecords(a.Records) })
		case deduplicator.RequestPromises:
			// The time is taken before the request is sent, so that a promise expires
			// at the owner before it expires at the successor.
			c.runInBackground(func() { c.requestPromises(now, a) })
		case deduplicator.OwnershipStarted:
			c.claims.BeginOwnership(now, c.config.Clock.Wall(), a.Shard, a.ClaimsLost)
			c.logAsync("shard ownership started", "shard", a.Shard, "epoch", a.Epoch, "claims_lost", a.ClaimsLost)
		case deduplicator.OwnershipEnded:
			c.claims.EndOwnership(a.Shard)
			c.logAsync("shard ownership ended", "shard", a.Shard)
		}
	}
}

// runInBackground starts a goroutine that Close waits for. The caller holds the
// lock, so that none starts after Close began to wait.
func (c *Claimer) runInBackground(work func()) {
	if !c.closed {
		c.background.Go(work)
	}
}

// logAsync logs in the background, so that logging does not block the lock that
// the caller holds.
func (c *Claimer) logAsync(message string, attributes ...any) {
	c.runInBackground(func() { c.config.Logger.Info(message, attributes...) })
}

// owner returns the owner and epoch of a shard according to the fold; epoch 0
// means that it has no owner.
func (c *Claimer) owner(shard identifier.Shard) (deduplicator.Claimant, identifier.Epoch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.ownership.Current(shard)
	return current.Owner, current.Epoch
}

func (c *Claimer) shardOf(key deduplicator.Key) identifier.Shard {
	return deduplicator.ShardOf(key.Service, key.Key, c.config.ShardCount)
}
