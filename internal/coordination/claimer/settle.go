package claimer

import (
	"bytes"
	"context"

	"connectrpc.com/connect"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// settleRetryPeriod bounds the attempts to report an outcome. It covers a
	// handover and the time until this daemon has read the new owner's record.
	settleRetryPeriod = 5 * timer.Second
	settleTimeout     = 500 * timer.Millis(1)
	// The delay between attempts doubles from the minimum to the maximum.
	minSettleRetryDelay = 50 * timer.Millis(1)
	maxSettleRetryDelay = 800 * timer.Millis(1)
	// maxPendingReports bounds the reports in progress while an owner does not
	// answer. With answers of the maximum size they take 16 MB.
	maxPendingReports = 1024
	// reportBytes is the memory that a report takes beside its texts and its answer,
	// which is encoded for each attempt.
	reportBytes  = 4 << 10
	answerCopies = 2
)

// settlement is the outcome of a claimed request that is reported to the owner.
type settlement struct {
	key     deduplicator.Key
	shard   identifier.Shard
	token   deduplicator.Token
	outcome deduplicator.Outcome
	answer  []byte
}

var outcomes = map[peerv1.SettleRequest_Outcome]deduplicator.Outcome{
	peerv1.SettleRequest_OUTCOME_COMPLETE: deduplicator.OutcomeComplete,
	peerv1.SettleRequest_OUTCOME_NOT_RUN:  deduplicator.OutcomeNotRun,
	peerv1.SettleRequest_OUTCOME_UNKNOWN:  deduplicator.OutcomeUnknown,
}

var wireOutcomes = map[deduplicator.Outcome]peerv1.SettleRequest_Outcome{
	deduplicator.OutcomeComplete: peerv1.SettleRequest_OUTCOME_COMPLETE,
	deduplicator.OutcomeNotRun:   peerv1.SettleRequest_OUTCOME_NOT_RUN,
	deduplicator.OutcomeUnknown:  peerv1.SettleRequest_OUTCOME_UNKNOWN,
}

// Settle reports the outcome of a claimed request to the owner without blocking. A
// report to another daemon is retried in the background for settleRetryPeriod and
// then dropped, since an unsettled claim counts as unknown. The answer is copied.
func (c *Claimer) Settle(request deduplicator.Request, outcome deduplicator.Outcome, answer []byte) {
	// An unsettled claim already counts as unknown.
	if outcome == deduplicator.OutcomeUnknown {
		return
	}
	s := settlement{key: request.Key, shard: c.shardOf(request.Key), token: request.Token, outcome: outcome}
	if outcome == deduplicator.OutcomeComplete && len(answer) <= deduplicator.MaxAnswerBytes {
		s.answer = bytes.Clone(answer)
	}
	if !c.settleOrReport(s) {
		c.config.Logger.Warn("claim outcome dropped: too many pending reports, or no memory", "shard", s.shard, "limit", maxPendingReports)
	}
}

// bytes returns the memory that a report of the outcome takes.
func (s settlement) bytes() int64 {
	return reportBytes + int64(len(s.key.Key)) + answerCopies*int64(len(s.answer))
}

// settleOrReport records an outcome as owner or starts to report it to the owner.
// It returns false if too many reports are pending or no memory is left. An answer that
// finds no room is left out of its report: the key is settled without it.
func (c *Claimer) settleOrReport(s settlement) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settleOwn(c.ownership.Current(s.shard).Epoch, s) {
		return true
	}
	if c.pendingReports >= maxPendingReports {
		return false
	}
	if !c.config.Memory.Grow(s.bytes()) {
		s.answer = nil
		if !c.config.Memory.Grow(s.bytes()) {
			return false
		}
	}
	c.pendingReports++
	c.runInBackground(func() {
		c.report(s)
		c.config.Memory.Shrink(s.bytes())
		c.mu.Lock()
		defer c.mu.Unlock()
		c.pendingReports--
	})
	return true
}

// report sends an outcome to the current owner of the shard until an owner accepts
// it or settleRetryPeriod has passed.
func (c *Claimer) report(s settlement) {
	end := c.config.Clock.Now() + settleRetryPeriod
	for pause := minSettleRetryDelay; c.config.Clock.Now() < end && c.ctx.Err() == nil; pause = min(2*pause, maxSettleRetryDelay) {
		if c.reportOnce(s) {
			return
		}
		sleep(c.ctx, pause)
	}
	c.config.Logger.Debug("claim outcome not reported: retry period ended", "shard", s.shard)
}

func (c *Claimer) reportOnce(s settlement) bool {
	owner, epoch := c.owner(s.shard)
	if epoch == 0 {
		return false
	}
	if owner == c.config.Self {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.settleOwn(epoch, s)
	}
	peer, found := c.config.Peer(owner)
	if !found {
		return false
	}
	_, err := call(c.ctx, settleTimeout, peer.Settle, &peerv1.SettleRequest{
		Service: string(s.key.Service), Key: string(s.key.Key), Shard: uint32(s.shard), Epoch: uint64(epoch),
		Token: string(s.token), Outcome: wireOutcomes[s.outcome], Answer: s.answer,
	})
	return err == nil
}

// settleOwn records an outcome as owner and reports whether it could. An owner
// that has handed its claims over must refuse, since the report would be lost. An
// earlier epoch of the same owner is accepted, since the owner kept its claims.
// The caller holds the lock.
func (c *Claimer) settleOwn(epoch identifier.Epoch, s settlement) bool {
	current := c.ownership.Current(s.shard)
	if current.Epoch == 0 || current.Owner != c.config.Self || epoch > current.Epoch || c.handedOver[s.shard] == current.Epoch {
		return false
	}
	c.claims.Settle(s.key, s.token, s.outcome, s.answer)
	if s.outcome == deduplicator.OutcomeNotRun {
		c.released.add(c.config.Clock.Now(), s.token)
	}
	return true
}

// ServeSettle implements Peer.Settle for the owner of a shard.
func (c *Claimer) ServeSettle(ctx context.Context, req *peerv1.SettleRequest) (*peerv1.SettleResponse, error) {
	s, err := c.decodeSettle(req)
	if err != nil {
		return nil, invalidArgument(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkAvailable(ctx); err != nil {
		return nil, err
	}
	if !c.settleOwn(identifier.Epoch(req.GetEpoch()), s) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, Error.New("this daemon does not own shard %d", s.shard))
	}
	return &peerv1.SettleResponse{}, nil
}

func (c *Claimer) decodeSettle(req *peerv1.SettleRequest) (settlement, error) {
	outcome, known := outcomes[req.GetOutcome()]
	s := settlement{
		key: keyOf(req.GetService(), req.GetKey()), shard: identifier.Shard(req.GetShard()),
		token: deduplicator.Token(req.GetToken()), outcome: outcome, answer: req.GetAnswer(),
	}
	if !known {
		return s, Error.New("invalid outcome %d", req.GetOutcome())
	}
	if err := c.checkEpoch(req.GetShard(), req.GetEpoch()); err != nil {
		return s, err
	}
	if err := c.checkKey(req.GetService(), req.GetKey(), req.GetToken(), s.shard); err != nil {
		return s, err
	}
	return s, checkAnswer(s.answer, outcome == deduplicator.OutcomeComplete)
}
