package claimer

import (
	"context"

	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// appendTimeout bounds one append. The lease repeats an append every 2 s, so
// few are on their way at the same time.
const appendTimeout = 5 * timer.Second

// appendCount counts this daemon's appends for one epoch of a shard that are or
// may come to be in the log.
type appendCount struct {
	basedOn identifier.Epoch
	count   int
}

// countAppends notes records that are about to be sent. The caller holds the
// lock.
func (c *Claimer) countAppends(records []deduplicator.Record) {
	for _, record := range records {
		entry := c.appends[record.Shard]
		if entry.basedOn != record.BasedOnEpoch {
			entry = appendCount{basedOn: record.BasedOnEpoch}
		}
		entry.count++
		c.appends[record.Shard] = entry
	}
}

// appendRecords sends a batch once. Without a definite answer the lease learns the
// result from the stream.
func (c *Claimer) appendRecords(records []deduplicator.Record) {
	payload, err := deduplicator.EncodeRecords(records)
	if err != nil {
		c.refused(records)
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, appendTimeout.Duration())
	defer cancel()
	_, err = c.config.Log.Append(ctx, appender.Ownership, payload)
	switch {
	case err == nil:
		c.step(deduplicator.Appended{Records: records})
	case appender.Refused.Has(err):
		c.refused(records)
	}
	if err != nil {
		c.config.Logger.Debug("ownership record not appended", "records", len(records), "error", err)
	}
}

// refused passes on a definite refusal, but only for shards without another
// append of the same epoch that may still take effect. A successor that
// promised again while an earlier takeover with a lost answer is on its way
// would make two owners.
func (c *Claimer) refused(records []deduplicator.Record) {
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
