package claimer

import (
	"context"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// promiseTimeout is below deduplicator.RenewInterval, so that at most one
// request to each successor is in progress.
const promiseTimeout = 400 * timer.Millis(1)

// requestPromises asks a successor to renew its promises.
func (c *Claimer) requestPromises(sentAt timer.Millis, a deduplicator.RequestPromises) {
	peer, found := c.config.Peer(a.Successor)
	if !found {
		return
	}
	request := &peerv1.PromiseRequest{
		Owner: string(c.config.Self.Instance), Incarnation: uint64(c.config.Self.Incarnation),
		Shards: encodeShardEpochs(a.Shards),
	}
	response, err := call(c.ctx, promiseTimeout, peer.Promise, request)
	if err != nil {
		c.config.Logger.Debug("request to renew the promises of a successor failed", "successor", a.Successor.Instance, "error", err)
		return
	}
	granted := slices.DeleteFunc(decodeShardEpochs(response.GetGranted()), func(s deduplicator.ShardEpoch) bool {
		return !slices.Contains(a.Shards, s)
	})
	c.step(deduplicator.PromiseAnswered{
		Successor: a.Successor, SentAt: sentAt, Duration: timer.Millis(response.GetPromiseMs()), Granted: granted,
	})
}

// ServePromise implements Peer.Promise: an owner renews its lease at this daemon.
func (c *Claimer) ServePromise(ctx context.Context, req *peerv1.PromiseRequest) (*peerv1.PromiseResponse, error) {
	if err := c.checkPromise(req); err != nil {
		return nil, invalidArgument(err)
	}
	owner := deduplicator.Claimant{
		Instance: identifier.InstanceID(req.GetOwner()), Incarnation: identifier.Incarnation(req.GetIncarnation()),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkAvailable(ctx); err != nil {
		return nil, err
	}
	granted := c.lease.Promise(c.config.Clock.Now(), owner, decodeShardEpochs(req.GetShards()))
	return &peerv1.PromiseResponse{
		Granted: encodeShardEpochs(granted), PromiseMs: int64(deduplicator.PromiseDuration),
	}, nil
}

func encodeShardEpochs(list []deduplicator.ShardEpoch) []*peerv1.ShardEpoch {
	encoded := make([]*peerv1.ShardEpoch, 0, len(list))
	for _, s := range list {
		encoded = append(encoded, &peerv1.ShardEpoch{Shard: uint32(s.Shard), Epoch: uint64(s.Epoch)})
	}
	return encoded
}

func decodeShardEpochs(list []*peerv1.ShardEpoch) []deduplicator.ShardEpoch {
	decoded := make([]deduplicator.ShardEpoch, 0, len(list))
	for _, s := range list {
		decoded = append(decoded, deduplicator.ShardEpoch{
			Shard: identifier.Shard(s.GetShard()), Epoch: identifier.Epoch(s.GetEpoch()),
		})
	}
	return decoded
}
