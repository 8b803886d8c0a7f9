package claimer

import (
	"context"

	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// appendTimeout bounds one append. The lease repeats an append every 2 s, so only
// a few are in progress at the same time.
const appendTimeout = 5 * timer.Second

// pendingAppends counts this daemon's appends for one epoch of a shard that have
// reached the log or may still reach it.
type pendingAppends struct {
	basedOn identifier.Epoch
	count   int
}

// countAppends counts records that are about to be appended. The caller holds the
// lock.
func (c *Claimer) countAppends(records []deduplicator.Record) {
	for _, record := range records {
		entry := c.appends[record.Shard]
		if entry.basedOn != record.BasedOnEpoch {
			entry = pendingAppends{basedOn: record.BasedOnEpoch}
		}
		entry.count++
		c.appends[record.Shard] = entry
	}
}

// appendRecords appends a batch once. If the result is uncertain, the lease learns
// it from the stream.
func (c *Claimer) appendRecords(records []deduplicator.Record) {
	payload, err := deduplicator.EncodeRecords(records)
	if err != nil {
		c.appendRefused(records)
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, appendTimeout.Duration())
	defer cancel()
	_, err = c.config.Log.Append(ctx, appender.Ownership, payload)
	switch {
	case err == nil:
		c.step(deduplicator.Appended{Records: records})
	case appender.Refused.Has(err):
		c.appendRefused(records)
	}
	if err != nil {
		c.config.Logger.Debug("ownership records not appended to the log", "records", len(records), "error", err)
	}
}

// appendRefused passes a definite refusal to the lease, but only for shards without
// another append for the same epoch that may still take effect. If a successor
// promised again while an earlier takeover, whose answer was lost, is still in
// transit, the shard would have two owners.
func (c *Claimer) appendRefused(records []deduplicator.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var certain []deduplicator.Record
	for _, record := range records {
		entry, found := c.appends[record.Shard]
		if !found || entry.basedOn != record.BasedOnEpoch {
			continue
		}
		entry.count--
		c.appends[record.Shard] = entry
		if entry.count == 0 {
			certain = append(certain, record)
		}
	}
	now := c.config.Clock.Now()
	c.perform(now, c.lease.Step(now, deduplicator.AppendRefused{Records: certain}, nil))
}
