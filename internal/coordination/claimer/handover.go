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
	// handoverBytes bounds the claims of one message to half of the message
	// limit of 8 MB.
	handoverBytes = 4 << 20
	// handoverTimeout bounds one message.
	handoverTimeout = 2 * timer.Second
	// handoverRounds is how often all successors are tried. One may not have
	// read of a new epoch yet.
	handoverRounds = 3
	handoverPause  = 200 * timer.Millis(1)
	// parallelHandovers bounds the shards without owner and the memory for
	// messages.
	parallelHandovers = 4
)

// outgoing is a shard on its way to a successor.
type outgoing struct {
	deduplicator.Handover
	successors []deduplicator.Claimant
}

// silentPeers are successors that did not answer. They are tried last, so that
// a dead one does not hold up every shard.
type silentPeers struct {
	mu  sync.Mutex
	all map[deduplicator.Claimant]bool
}

func (s *silentPeers) add(claimant deduplicator.Claimant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[claimant] = true
}

func (s *silentPeers) last(list []deduplicator.Claimant) []deduplicator.Claimant {
	s.mu.Lock()
	defer s.mu.Unlock()
	var answering, silent []deduplicator.Claimant
	for _, claimant := range list {
		if s.all[claimant] {
			silent = append(silent, claimant)
		} else {
			answering = append(answering, claimant)
		}
	}
	return append(answering, silent...)
}

// HandOver gives all owned shards to successors in a planned stop, and waits
// until the outcomes of this daemon's own claims are reported. It takes no shard
// over from then on. The error names the shards that no successor accepted;
// their undated keys are unknown for a deduplication window. A later call
// handles shards that an append under way brought back to this daemon.
func (c *Claimer) HandOver(ctx context.Context) error {
	c.mu.Lock()
	c.stopping = true
	c.mu.Unlock()
	c.step(deduplicator.Stopping{})
	ctx, cancel := c.joined(ctx)
	defer cancel()
	silent := &silentPeers{all: map[deduplicator.Claimant]bool{}}
	var mu sync.Mutex
	var failed []identifier.Shard
	var group sync.WaitGroup
	slots := make(chan struct{}, parallelHandovers)
	for shard := range identifier.Shard(c.config.ShardCount) {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			if c.handOverShard(ctx, silent, shard) {
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

// Rebalance hands one shard to its first successor if that is preferred to this
// daemon. It moves one shard at a call, so that few claims wait at a time.
func (c *Claimer) Rebalance(ctx context.Context) {
	c.mu.Lock()
	shard, found := c.lease.MisplacedShard(c.config.Clock.Now())
	c.mu.Unlock()
	if !found {
		return
	}
	ctx, cancel := c.joined(ctx)
	defer cancel()
	if !c.handOverShard(ctx, &silentPeers{all: map[deduplicator.Claimant]bool{}}, shard) {
		c.config.Logger.Warn("shard not moved to the preferred daemon", "shard", shard)
	}
}

// joined returns a context that ends with ctx or the claimer.
func (c *Claimer) joined(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(c.ctx, cancel)
	return ctx, func() { stop(); cancel() }
}

// awaitReports waits for reports of outcomes, which end within settleSpan.
func (c *Claimer) awaitReports(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		settling := c.settling
		c.mu.Unlock()
		if settling == 0 {
			return
		}
		sleep(ctx, firstSettlePause)
	}
}

// handOverShard reports whether a shard needs this daemon no longer.
func (c *Claimer) handOverShard(ctx context.Context, silent *silentPeers, shard identifier.Shard) bool {
	out, owned := c.release(shard)
	if !owned || len(out.successors) == 0 {
		return !owned
	}
	messages := encodeHandover(out.Handover)
	for range handoverRounds {
		for _, successor := range silent.last(out.successors) {
			if c.offer(ctx, silent, successor, messages) {
				return true
			}
		}
		if ctx.Err() != nil {
			return false
		}
		sleep(ctx, handoverPause)
	}
	return false
}

// release stops granting claims of a shard and returns them. Both happen under
// one lock, so that no claim or outcome is missing from what the successor gets.
func (c *Claimer) release(shard identifier.Shard) (outgoing, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.ownership.Current(shard)
	if current.Epoch == 0 || current.Owner != c.config.Self || c.given[shard] == current.Epoch {
		return outgoing{}, false
	}
	now := c.config.Clock.Now()
	c.given[shard] = current.Epoch
	c.perform(now, c.lease.Step(now, deduplicator.Released{Shard: shard, Epoch: current.Epoch}, nil))
	return outgoing{
		Handover: c.claims.Export(now, shard, current.Epoch), successors: slices.Clone(current.Successors),
	}, true
}

// offer sends all messages to one successor. If the last answer is lost, the
// next successor gets the same claims. Both then hold all of them, and the log
// decides which one owns the next epoch.
func (c *Claimer) offer(ctx context.Context, silent *silentPeers, successor deduplicator.Claimant, messages []*peerv1.HandoverRequest) bool {
	peer, found := c.config.Peer(successor)
	if !found {
		return false
	}
	for _, message := range messages {
		response, err := call(ctx, handoverTimeout, peer.Handover, message)
		if err != nil {
			silent.add(successor)
			c.config.Logger.Warn("claims not handed over", "shard", message.GetShard(), "successor", successor.Instance, "error", err)
			return false
		}
		if !response.GetAccepted() {
			return false
		}
	}
	return true
}

// encodeHandover cuts a handover into messages below the message limit. The last
// one has no claims and tells the successor that it has them all.
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
		if len(message.Claims) > 0 && size+added > handoverBytes {
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
