package claimer

import (
	"context"

	"connectrpc.com/connect"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Limits of the fields that other daemons send, in bytes.
const (
	// MaxTokenBytes bounds a token.
	MaxTokenBytes = 64
	// maxServiceBytes is the limit of a service name in the sheet.
	maxServiceBytes  = 63
	maxInstanceBytes = 255
)

// maxWindow is the longest deduplication window that the sheet allows.
const maxWindow = 7 * timer.Day

func invalidArgument(err error) error { return connect.NewError(connect.CodeInvalidArgument, err) }

// checkAvailable returns an error if this daemon is stopping or the sender has
// canceled the request, which would take effect although the sender no longer
// acts on the response. The caller holds the lock.
func (c *Claimer) checkAvailable(ctx context.Context) error {
	if c.closed {
		return connect.NewError(connect.CodeUnavailable, Error.New("this daemon is stopping"))
	}
	if err := ctx.Err(); err != nil {
		return connect.NewError(connect.CodeCanceled, Error.New("request canceled by the sender: %w", err))
	}
	return nil
}

func (c *Claimer) checkPromise(req *peerv1.PromiseRequest) error {
	if err := checkText("owner", req.GetOwner(), maxInstanceBytes); err != nil {
		return err
	}
	if req.GetIncarnation() == 0 {
		return Error.New("incarnation is missing")
	}
	if len(req.GetShards()) > int(c.config.ShardCount) {
		return Error.New("request has %d shards, at most %d allowed", len(req.GetShards()), c.config.ShardCount)
	}
	for _, s := range req.GetShards() {
		if err := c.checkEpoch(s.GetShard(), s.GetEpoch()); err != nil {
			return err
		}
	}
	return nil
}

func (c *Claimer) checkEpoch(shard uint32, epoch uint64) error {
	if shard >= c.config.ShardCount {
		return Error.New("shard %d out of range: must be below %d", shard, c.config.ShardCount)
	}
	if epoch == 0 {
		return Error.New("shard %d: epoch is missing", shard)
	}
	return nil
}

// checkKey checks the service, key and token of a claim, and that sender and owner
// map the key to the same shard.
func (c *Claimer) checkKey(service, key, token string, shard identifier.Shard) error {
	if err := checkText("service", service, maxServiceBytes); err != nil {
		return err
	}
	if err := checkText("key", key, deduplicator.MaxKeyBytes); err != nil {
		return err
	}
	if err := checkText("token", token, MaxTokenBytes); err != nil {
		return err
	}
	if want := c.shardOf(keyOf(service, key)); want != shard {
		return Error.New("claim names shard %d, but its key belongs to shard %d of %d", shard, want, c.config.ShardCount)
	}
	return nil
}

func checkText(name, value string, limit int) error {
	if value == "" {
		return Error.New("%s is missing", name)
	}
	if len(value) > limit {
		return Error.New("%s has %d bytes, at most %d allowed", name, len(value), limit)
	}
	return nil
}

func checkAnswer(answer []byte, done bool) error {
	if len(answer) > deduplicator.MaxAnswerBytes {
		return Error.New("answer has %d bytes, at most %d allowed", len(answer), deduplicator.MaxAnswerBytes)
	}
	if len(answer) > 0 && !done {
		return Error.New("claim has an answer but no complete outcome")
	}
	return nil
}

func decodeFingerprint(raw []byte) (identifier.Fingerprint, error) {
	var fingerprint identifier.Fingerprint
	if len(raw) != len(fingerprint) {
		return fingerprint, Error.New("fingerprint has %d bytes, expected %d", len(raw), len(fingerprint))
	}
	copy(fingerprint[:], raw)
	return fingerprint, nil
}

func keyOf(service, key string) deduplicator.Key {
	return deduplicator.Key{Service: identifier.ServiceName(service), Key: identifier.IdempotencyKey(key)}
}
