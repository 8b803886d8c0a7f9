package claimer

import (
	"context"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// ServeHandover implements Peer.Handover for a successor. Messages with claims are
// collected; the message without claims ends the handover, and only then does
// this daemon take the shard over. A successor that lacks claims would let
// requests run twice.
func (c *Claimer) ServeHandover(ctx context.Context, req *peerv1.HandoverRequest) (*peerv1.HandoverResponse, error) {
	handover, err := c.decodeHandover(req)
	if err != nil {
		return nil, invalidArgument(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkAvailable(ctx); err != nil {
		return nil, err
	}
	return &peerv1.HandoverResponse{Accepted: c.receive(handover)}, nil
}

// receive reports whether this daemon accepts a message of a handover. The
// caller holds the lock.
func (c *Claimer) receive(handover deduplicator.Handover) bool {
	shard, epoch := handover.Shard, handover.Epoch
	current := c.ownership.Current(shard)
	if c.stopping || current.Epoch != epoch || current.Owner == c.config.Self || !slices.Contains(current.Successors, c.config.Self) {
		return false
	}
	if c.inbox.isDone(shard, epoch) {
		return true
	}
	now := c.config.Clock.Now()
	if len(handover.Claims) > 0 {
		return c.inbox.add(now, shard, epoch, handover.Claims)
	}
	handover.Claims = c.inbox.take(shard, epoch)
	if !c.claims.Import(now, handover) {
		return false
	}
	c.inbox.setDone(shard, epoch)
	c.perform(now, c.lease.Step(now, deduplicator.HandoverReceived{Shard: shard, Epoch: epoch}, nil))
	// Claims of the shard wait for the new epoch, so its record is appended at once.
	c.perform(now, c.lease.Step(now, deduplicator.Tick{}, nil))
	return true
}

func (c *Claimer) decodeHandover(req *peerv1.HandoverRequest) (deduplicator.Handover, error) {
	handover := deduplicator.Handover{
		Shard: identifier.Shard(req.GetShard()), Epoch: identifier.Epoch(req.GetEpoch()),
		ClaimsLost: req.GetLost(), LostAt: timer.Millis(req.GetLostAtMs()), LostAge: timer.Millis(req.GetLostAgeMs()),
	}
	if err := c.checkEpoch(req.GetShard(), req.GetEpoch()); err != nil {
		return handover, err
	}
	if handover.LostAt < 0 || handover.LostAge < 0 {
		return handover, Error.New("shard %d: negative time or age of lost claims: lost at %d ms, age %d ms", handover.Shard, handover.LostAt, handover.LostAge)
	}
	if len(req.GetClaims()) > deduplicator.MaxClaims {
		return handover, Error.New("handover message has %d claims, at most %d allowed", len(req.GetClaims()), deduplicator.MaxClaims)
	}
	for _, encoded := range req.GetClaims() {
		claim, err := c.decodeHandedClaim(handover.Shard, encoded)
		if err != nil {
			return handover, err
		}
		handover.Claims = append(handover.Claims, claim)
	}
	return handover, nil
}

func (c *Claimer) decodeHandedClaim(shard identifier.Shard, encoded *peerv1.HandoverClaim) (deduplicator.Claim, error) {
	claim := deduplicator.Claim{
		Key: keyOf(encoded.GetService(), encoded.GetKey()), Shard: shard, Token: deduplicator.Token(encoded.GetToken()),
		Done: encoded.GetDone(), Answer: encoded.GetAnswer(), ExpiresAt: timer.Millis(encoded.GetExpiresInMs()),
	}
	if err := c.checkKey(encoded.GetService(), encoded.GetKey(), encoded.GetToken(), shard); err != nil {
		return claim, err
	}
	if err := checkAnswer(claim.Answer, claim.Done); err != nil {
		return claim, err
	}
	if claim.ExpiresAt <= 0 || claim.ExpiresAt > maxWindow {
		return claim, Error.New("claim expires in %d ms, must be above 0 and at most %d ms", claim.ExpiresAt, maxWindow)
	}
	fingerprint, err := decodeFingerprint(encoded.GetFingerprint())
	claim.Fingerprint = fingerprint
	return claim, err
}
