package claimer

import (
	"context"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// maxHandoverBytes bounds the claims in one message to half of the message
	// limit of 8 MB.
	maxHandoverBytes = 4 << 20
	// handoverTimeout bounds one message.
	handoverTimeout = 2 * timer.Second
	// handoverRounds is the number of attempts at all successors. A successor may
	// not have read the record of a new epoch yet.
	handoverRounds     = 3
	handoverRetryDelay = 200 * timer.Millis(1)
	// maxParallelHandovers bounds the number of shards without an owner and the
	// memory for messages.
	maxParallelHandovers = 4
)

// outgoingHandover is a shard that is handed over to a successor.
type outgoingHandover struct {
	deduplicator.Handover
	successors []deduplicator.Claimant
}

// unresponsivePeers holds successors that did not answer. They are tried last, so
// that a failed successor does not delay every shard.
type unresponsivePeers struct {
	mu  sync.Mutex
	all map[deduplicator.Claimant]bool
}

func (s *unresponsivePeers) add(claimant deduplicator.Claimant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[claimant] = true
}

func (s *unresponsivePeers) moveToEnd(list []deduplicator.Claimant) []deduplicator.Claimant {
	s.mu.Lock()
	defer s.mu.Unlock()
	var answering, unresponsive []deduplicator.Claimant
	for _, claimant := range list {
		if s.all[claimant] {
			unresponsive = append(unresponsive, claimant)
		} else {
			answering = append(answering, claimant)
		}
	}
	return append(answering, unresponsive...)
}

// HandOver hands all owned shards over to successors in a planned stop and waits
// until the outcomes of this daemon's own claims are reported. Afterwards this
// daemon takes over no more shards. The error names the shards that no successor
// accepted; the outcomes of their keys without a timestamp are unknown for a
// deduplication window. A later call handles shards that this daemon came to own
// again through an append in progress.
func (c *Claimer) HandOver(ctx context.Context) error {
	c.mu.Lock()
	c.stopping = true
	c.mu.Unlock()
	c.step(deduplicator.Stopping{})
	ctx, cancel := c.withClose(ctx)
	defer cancel()
	unresponsive := &unresponsivePeers{all: map[deduplicator.Claimant]bool{}}
	var mu sync.Mutex
	var failed []identifier.Shard
	var group sync.WaitGroup
	slots := make(chan struct{}, maxParallelHandovers)
	for shard := range identifier.Shard(c.config.ShardCount) {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			if c.handOverShard(ctx, unresponsive, shard) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			failed = append(failed, shard)
		})
	}
	group.Wait()
	c.awaitReports(ctx)
	if len(failed) > 0 {
		slices.Sort(failed)
		return Error.New("no successor accepted shards %v", failed)
	}
	return nil
}

// Rebalance hands one shard over to its first successor if that daemon is the
// preferred owner. It moves one shard per call, so that few claims wait at a time.
func (c *Claimer) Rebalance(ctx context.Context) {
	c.mu.Lock()
	shard, found := c.lease.MisplacedShard(c.config.Clock.Now())
	c.mu.Unlock()
	if !found {
		return
	}
	ctx, cancel := c.withClose(ctx)
	defer cancel()
	if !c.handOverShard(ctx, &unresponsivePeers{all: map[deduplicator.Claimant]bool{}}, shard) {
		c.config.Logger.Warn("shard not handed over to the preferred daemon", "shard", shard)
	}
}

// withClose returns a context that ends when ctx ends or the claimer is closed.
func (c *Claimer) withClose(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(c.ctx, cancel)
	return ctx, func() { stop(); cancel() }
}

// awaitReports waits until no report of an outcome is pending. Each ends within
// settleRetryPeriod.
func (c *Claimer) awaitReports(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		pending := c.pendingReports
		c.mu.Unlock()
		if pending == 0 {
			return
		}
		sleep(ctx, minSettleRetryDelay)
	}
}

// handOverShard hands a shard over to a successor. It returns true if a successor
// accepted the shard, or if this daemon does not own it or has already released it.
func (c *Claimer) handOverShard(ctx context.Context, unresponsive *unresponsivePeers, shard identifier.Shard) bool {
	out, owned := c.release(shard)
	if !owned || len(out.successors) == 0 {
		return !owned
	}
	messages := encodeHandover(out.Handover)
	for range handoverRounds {
		for _, successor := range unresponsive.moveToEnd(out.successors) {
			if c.sendHandover(ctx, unresponsive, successor, messages) {
				return true
			}
		}
		if ctx.Err() != nil {
			return false
		}
		sleep(ctx, handoverRetryDelay)
	}
	return false
}

// release stops granting claims of a shard and returns its claims. Both happen
// under one lock, so that the handover contains every claim and outcome.
func (c *Claimer) release(shard identifier.Shard) (outgoingHandover, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.ownership.Current(shard)
	if current.Epoch == 0 || current.Owner != c.config.Self || c.handedOver[shard] == current.Epoch {
		return outgoingHandover{}, false
	}
	now := c.config.Clock.Now()
	c.handedOver[shard] = current.Epoch
	c.perform(now, c.lease.Step(now, deduplicator.Released{Shard: shard, Epoch: current.Epoch}, nil))
	return outgoingHandover{
		Handover: c.claims.Export(now, shard, current.Epoch), successors: slices.Clone(current.Successors),
	}, true
}

// sendHandover sends all messages to one successor. If the last answer is lost, the
// next successor gets the same claims. Both successors then hold all claims, and
// the log decides which one owns the next epoch.
func (c *Claimer) sendHandover(ctx context.Context, unresponsive *unresponsivePeers, successor deduplicator.Claimant, messages []*peerv1.HandoverRequest) bool {
	peer, found := c.config.Peer(successor)
	if !found {
		return false
	}
	for _, message := range messages {
		response, err := call(ctx, handoverTimeout, peer.Handover, message)
		if err != nil {
			unresponsive.add(successor)
			c.config.Logger.Warn("claims of a shard not handed over to its successor", "shard", message.GetShard(), "successor", successor.Instance, "error", err)
			return false
		}
		if !response.GetAccepted() {
			return false
		}
	}
	return true
}

// encodeHandover splits a handover into messages below the message limit. The last
// message has no claims and marks the end of the handover.
func encodeHandover(handover deduplicator.Handover) []*peerv1.HandoverRequest {
	next := func() *peerv1.HandoverRequest {
		return &peerv1.HandoverRequest{
			Shard: uint32(handover.Shard), Epoch: uint64(handover.Epoch), Lost: handover.ClaimsLost,
			LostAtMs: int64(handover.LostAt), LostAgeMs: int64(handover.LostAge),
		}
	}
	var messages []*peerv1.HandoverRequest
	message, size := next(), 0
	for _, claim := range handover.Claims {
		if claim.ExpiresAt <= 0 {
			continue
		}
		encoded := encodeHandedClaim(claim)
		added := proto.Size(encoded)
		if len(message.Claims) > 0 && size+added > maxHandoverBytes {
			messages = append(messages, message)
			message, size = next(), 0
		}
		message.Claims = append(message.Claims, encoded)
		size += added
	}
	if len(message.Claims) > 0 {
		messages = append(messages, message)
	}
	return append(messages, next())
}

func encodeHandedClaim(claim deduplicator.Claim) *peerv1.HandoverClaim {
	return &peerv1.HandoverClaim{
		Service: string(claim.Key.Service), Key: string(claim.Key.Key), Fingerprint: claim.Fingerprint[:],
		Token: string(claim.Token), Done: claim.Done, Answer: claim.Answer, ExpiresInMs: int64(claim.ExpiresAt),
	}
}
