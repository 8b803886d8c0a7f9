package claimer

import (
	"encoding/json"

	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// maxSuccessors is the maximum number of successors of a shard.
const maxSuccessors = 2

// checkpointHeader is the part of a checkpoint that is checked before a restore.
type checkpointHeader struct {
	Next   *identifier.Offset `json:"next_offset"`
	Shards []struct {
		Current deduplicator.Record `json:"current"`
	} `json:"shards"`
}

// Apply folds a record of the ownership stream. Checkpoints and records that
// cannot be decoded advance the fold and have no other effect.
func (c *Claimer) Apply(offset identifier.Offset, payload []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	effective, err := c.ownership.Apply(offset, payload)
	for _, record := range effective {
		c.recordApplied(record)
	}
	return Error.Wrap(err)
}

// Restore replaces the fold by a checkpoint that covers a higher offset. It
// reports false without an error for a payload that is not a checkpoint.
func (c *Claimer) Restore(payload []byte) (bool, error) {
	var head checkpointHeader
	if json.Unmarshal(payload, &head) != nil || head.Next == nil || len(head.Shards) == 0 {
		return false, nil
	}
	if err := head.check(); err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	epochs := make([]identifier.Epoch, c.ownership.Count())
	for i := range epochs {
		epochs[i] = c.ownership.Current(identifier.Shard(i)).Epoch
	}
	restored, err := c.ownership.Restore(payload)
	if !restored || err != nil {
		return false, Error.Wrap(err)
	}
	// A shard whose epoch did not change keeps its promises and takeovers.
	// Otherwise a successor with a takeover in transit to the log would promise
	// again, and the takeover would make it a second owner.
	for i, before := range epochs {
		if current := c.ownership.Current(identifier.Shard(i)); current.Epoch != before {
			c.recordApplied(current)
		}
	}
	return true, nil
}

// Folded returns the offset of the last folded record, or false if nothing has
// been folded or restored.
func (c *Claimer) Folded() (identifier.Offset, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ownership.Next() == 0 {
		return 0, false
	}
	return c.ownership.Next() - 1, true
}

// Checkpoint encodes the fold as a record for the ownership stream. Records are
// JSON arrays and a checkpoint is a JSON object, so Apply skips it.
func (c *Claimer) Checkpoint() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	payload, err := c.ownership.Checkpoint()
	return payload, Error.Wrap(err)
}

// LastCheckpoint returns the last offset covered by the newest checkpoint that was
// seen in the stream.
func (c *Claimer) LastCheckpoint() (identifier.Offset, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownership.LastCheckpoint()
}

// recordApplied handles a record that took effect in the fold. The caller holds the
// lock.
func (c *Claimer) recordApplied(record deduplicator.Record) {
	now := c.config.Clock.Now()
	c.perform(now, c.lease.Step(now, deduplicator.RecordApplied{Record: record}, nil))
	if record.Kind != deduplicator.KindOwn {
		return
	}
	if record.Owner == c.config.Self {
		// Claims of the shard wait for the successors' promises, so they are
		// requested at once.
		c.perform(now, c.lease.Step(now, deduplicator.Tick{}, nil))
	}
	delete(c.handedOver, record.Shard)
	delete(c.appends, record.Shard)
	// Claims that were handed over to this daemon are used only if it owns the next
	// epoch. If kept in the table, they would hide claims of a later handover.
	if c.inbox.drop(record.Shard) && record.Owner != c.config.Self {
		c.claims.EndOwnership(record.Shard)
	}
}

// check returns an error for a checkpoint with records that no fold can produce.
func (h checkpointHeader) check() error {
	for i, shard := range h.Shards {
		current := shard.Current
		if current.Epoch == 0 {
			continue
		}
		if current.Kind != deduplicator.KindOwn || int(current.Shard) != i || current.Owner.Instance == "" ||
			current.Epoch != current.BasedOnEpoch+1 || len(current.Successors) > maxSuccessors {
			return Error.New("checkpoint has an invalid record of shard %d", i)
		}
	}
	return nil
}
