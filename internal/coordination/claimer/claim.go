package claimer

import (
	"context"

	"connectrpc.com/connect"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// claimTimeout bounds one request to an owner. It exceeds a round trip
	// between regions and leaves time for retries.
	claimTimeout = 300 * timer.Millis(1)
	// deadlineMargin is reserved before the deadline to send a refusal to the
	// caller.
	deadlineMargin = 20 * timer.Millis(1)
	// The delay between attempts doubles from the minimum to the maximum.
	minClaimRetryDelay = 20 * timer.Millis(1)
	maxClaimRetryDelay = 200 * timer.Millis(1)
)

// verdicts decodes the verdicts on the wire. VERDICT_NOT_OWNER is left out, since
// it decides nothing.
var verdicts = map[peerv1.ClaimResponse_Verdict]deduplicator.Verdict{
	peerv1.ClaimResponse_VERDICT_GRANTED:     deduplicator.Granted,
	peerv1.ClaimResponse_VERDICT_IN_PROGRESS: deduplicator.InProgress,
	peerv1.ClaimResponse_VERDICT_DONE:        deduplicator.Done,
	peerv1.ClaimResponse_VERDICT_MISMATCH:    deduplicator.Mismatch,
	peerv1.ClaimResponse_VERDICT_OWNER_LOST:  deduplicator.OwnerLost,
	peerv1.ClaimResponse_VERDICT_FULL:        deduplicator.Full,
}

// wireVerdicts is the inverse of verdicts.
var wireVerdicts = func() map[deduplicator.Verdict]peerv1.ClaimResponse_Verdict {
	inverse := map[deduplicator.Verdict]peerv1.ClaimResponse_Verdict{}
	for wire, verdict := range verdicts {
		inverse[verdict] = wire
	}
	return inverse
}()

// claimResult is the result of one attempt. The verdict is zero if no owner
// decided.
type claimResult struct {
	verdict deduplicator.Verdict
	answer  []byte
	// uncertain is set if the claim may have been granted, or may still be
	// granted, without this daemon learning of it.
	uncertain bool
}

// Claim asks the owner of a key's shard whether a request may run. It retries
// until an owner decides or the deadline, on this daemon's monotonic clock, is
// near. The request may run only after Granted. If ok is false, no owner decided
// and the request must not run. The answer is set for Done if the owner kept it.
//
// The token must be unique to this call in the whole deployment, since a repeated
// claim with a granted token is granted again. Shard and window of the request
// are ignored: they are derived from the key and the configuration.
//
// If an attempt had no answer and the claim was not granted in the end, the claim
// is reported as not run in the background, so that a lost answer does not block
// the key. This is safe when messages are delayed: at that point this arrival is
// certain never to run, and Settle affects only the claim with its own token, so
// it cannot release a claim under which another arrival runs. A claim message
// that arrives after that report must not take the key again. The owner refuses
// it, because it remembers released tokens as long as a message can be in
// transit, and because a message to an earlier owner carries an earlier epoch. If
// the report is lost, or the token was evicted, the key is blocked for its
// deduplication window. Its outcome is then unknown, which is safe.
func (c *Claimer) Claim(deadline timer.Millis, request deduplicator.Request) (deduplicator.Verdict, []byte, bool) {
	request.Shard = c.shardOf(request.Key)
	err := c.checkKey(string(request.Key.Service), string(request.Key.Key), string(request.Token), request.Shard)
	if err != nil {
		c.config.Logger.Warn("claim of an idempotency key not sent: its fields are invalid", "error", err)
		return 0, nil, false
	}
	result := c.claimUntil(deadline-deadlineMargin, request)
	if result.uncertain && result.verdict != deduplicator.Granted {
		c.Settle(request, deduplicator.OutcomeNotRun, nil)
	}
	return result.verdict, result.answer, result.verdict != 0
}

// claimUntil sends the claim until an attempt returns a verdict or the end time is
// reached. The result is uncertain if any attempt was.
func (c *Claimer) claimUntil(end timer.Millis, request deduplicator.Request) claimResult {
	remaining := func() timer.Millis { return end - c.config.Clock.Now() }
	uncertain := false
	for pause := minClaimRetryDelay; remaining() > 0 && c.ctx.Err() == nil; pause = min(2*pause, maxClaimRetryDelay) {
		result := c.claimOnce(remaining(), request)
		uncertain = uncertain || result.uncertain
		if result.verdict != 0 {
			result.uncertain = uncertain
			return result
		}
		sleep(c.ctx, min(pause, remaining()))
	}
	return claimResult{uncertain: uncertain}
}

// claimOnce sends the claim once to the owner of the current epoch.
func (c *Claimer) claimOnce(remaining timer.Millis, request deduplicator.Request) claimResult {
	owner, epoch := c.owner(request.Shard)
	if epoch == 0 {
		return claimResult{}
	}
	if owner == c.config.Self {
		verdict, answer, _ := c.grant(c.ctx, request, epoch)
		return claimResult{verdict: verdict, answer: answer}
	}
	peer, found := c.config.Peer(owner)
	if !found {
		return claimResult{}
	}
	response, err := call(c.ctx, min(claimTimeout, remaining), peer.Claim, &peerv1.ClaimRequest{
		Service: string(request.Key.Service), Key: string(request.Key.Key), Fingerprint: request.Fingerprint[:],
		Shard: uint32(request.Shard), Epoch: uint64(epoch), Token: string(request.Token),
	})
	if err != nil {
		c.config.Logger.Debug("claim request to the owner of the shard failed", "owner", owner.Instance, "shard", request.Shard, "error", err)
		return claimResult{uncertain: true}
	}
	verdict, decided := verdicts[response.GetVerdict()]
	if !decided {
		return claimResult{uncertain: response.GetVerdict() != peerv1.ClaimResponse_VERDICT_NOT_OWNER}
	}
	return claimResult{verdict: verdict, answer: response.GetAnswer()}
}

// grant decides a claim as the owner of its shard. The verdict is zero if this
// daemon cannot decide; the error is set if the sender should learn the reason.
func (c *Claimer) grant(ctx context.Context, request deduplicator.Request, epoch identifier.Epoch) (deduplicator.Verdict, []byte, error) {
	window, known := c.config.Window(request.Key.Service)
	if !known {
		err := Error.New("service %s has no deduplication window in the configuration of this daemon", request.Key.Service)
		return 0, nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	request.Window = window
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkAvailable(ctx); err != nil {
		return 0, nil, err
	}
	// The clock is read after the lock is taken, so that a process that was paused
	// before sees that its lease has expired.
	now := c.config.Clock.Now()
	if c.released.has(now, request.Token) || !c.lease.CanGrant(now, request.Shard, epoch) {
		return 0, nil, nil
	}
	verdict, answer := c.claims.Claim(now, c.config.Clock.Wall(), request)
	return verdict, answer, nil
}

// ServeClaim implements Peer.Claim for the owner of a shard.
func (c *Claimer) ServeClaim(ctx context.Context, req *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	request, err := c.decodeClaim(req)
	if err != nil {
		return nil, invalidArgument(err)
	}
	verdict, answer, err := c.grant(ctx, request, identifier.Epoch(req.GetEpoch()))
	if err != nil {
		return nil, err
	}
	if verdict == 0 {
		return &peerv1.ClaimResponse{Verdict: peerv1.ClaimResponse_VERDICT_NOT_OWNER}, nil
	}
	return &peerv1.ClaimResponse{Verdict: wireVerdicts[verdict], Answer: answer}, nil
}

func (c *Claimer) decodeClaim(req *peerv1.ClaimRequest) (deduplicator.Request, error) {
	request := deduplicator.Request{
		Key: keyOf(req.GetService(), req.GetKey()), Shard: identifier.Shard(req.GetShard()),
		Token: deduplicator.Token(req.GetToken()),
	}
	if err := c.checkEpoch(req.GetShard(), req.GetEpoch()); err != nil {
		return request, err
	}
	if err := c.checkKey(req.GetService(), req.GetKey(), req.GetToken(), request.Shard); err != nil {
		return request, err
	}
	fingerprint, err := decodeFingerprint(req.GetFingerprint())
	request.Fingerprint = fingerprint
	return request, err
}
