package claimer

import (
	"context"

	"connectrpc.com/connect"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Limits of what other daemons send, in bytes.
const (
	// MaxKeyBytes bounds an idempotency key. 100,000 claims with the longest
	// keys take 26 MB.
	MaxKeyBytes = 256
	// MaxTokenBytes bounds a token.
	MaxTokenBytes = 64
	// maxServiceBytes is the limit of the sheet.
	maxServiceBytes  = 63
	maxInstanceBytes = 255
)

// maxWindow is the longest deduplication window of the sheet.
const maxWindow = 7 * timer.Day

func invalid(err error) error { return connect.NewError(connect.CodeInvalidArgument, err) }

// available refuses work for a daemon that ends or a sender that gave up, whose
// request would take effect without anybody to act on it. The caller holds the
// lock.
func (c *Claimer) available(ctx context.Context) error {
	if c.closed {
		return connect.NewError(connect.CodeUnavailable, Error.New("this daemon is stopping"))
	}
	if err := ctx.Err(); err != nil {
		return connect.NewError(connect.CodeCanceled, Error.New("the sender gave up: %w", err))
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
		return Error.New("%d shards, at most %d", len(req.GetShards()), c.config.ShardCount)
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
		return Error.New("shard %d is not below %d", shard, c.config.ShardCount)
	}
	if epoch == 0 {
		return Error.New("shard %d: epoch is missing", shard)
	}
	return nil
}

// checkKey checks the names of a claim, and that sender and owner cut the key
// space into the same shards.
func (c *Claimer) checkKey(service, key, token string, shard identifier.Shard) error {
	if err := checkText("service", service, maxServiceBytes); err != nil {
		return err
	}
	if err := checkText("key", key, MaxKeyBytes); err != nil {
		return err
	}
	if err := checkText("token", token, MaxTokenBytes); err != nil {
		return err
	}
	if want := c.shardOf(keyOf(service, key)); want != shard {
		return Error.New("shard %d, but the key is in shard %d of %d", shard, want, c.config.ShardCount)
	}
	return nil
}

func checkText(name, value string, limit int) error {
	if value == "" {
		return Error.New("%s is missing", name)
	}
	if len(value) > limit {
		return Error.New("%s has %d bytes, at most %d", name, len(value), limit)
	}
	return nil
}

func checkAnswer(answer []byte, done bool) error {
	if len(answer) > deduplicator.MaxAnswerBytes {
		return Error.New("answer has %d bytes, at most %d", len(answer), deduplicator.MaxAnswerBytes)
	}
	if len(answer) > 0 && !done {
		return Error.New("answer without a complete outcome")
	}
	return nil
}

func decodeFingerprint(raw []byte) (identifier.Fingerprint, error) {
	var fingerprint identifier.Fingerprint
	if len(raw) != len(fingerprint) {
		return fingerprint, Error.New("fingerprint has %d bytes, not %d", len(raw), len(fingerprint))
	}
	copy(fingerprint[:], raw)
	return fingerprint, nil
}

func keyOf(service, key string) deduplicator.Key {
	return deduplicator.Key{Service: identifier.ServiceName(service), Key: identifier.IdempotencyKey(key)}
}
