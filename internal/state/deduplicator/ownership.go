package deduplicator

import (
	"encoding/json"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// shardState is the folded state of one shard.
type shardState struct {
	Current Record `json:"current"`
	// Intents lists who announced a takeover of the current epoch.
	Intents []Claimant `json:"intents,omitempty"`
}

// ownershipSnapshot is the folded state on the wire.
type ownershipSnapshot struct {
	Next   identifier.Offset `json:"next_offset"`
	Shards []shardState      `json:"shards"`
}

// Ownership folds the ownership stream. The first record based on a shard's
// current epoch wins, so all daemons agree on every owner. It is not safe for
// concurrent use.
type Ownership struct {
	next   identifier.Offset
	shards []shardState
	// checkpointEnd is the offset after the last one that the newest checkpoint seen
	// covers; 0 means that none was seen.
	checkpointEnd identifier.Offset
}

// NewOwnership returns a fold without owners.
func NewOwnership(count uint32) *Ownership {
	return &Ownership{shards: make([]shardState, count)}
}

// Apply folds the records at an offset and returns those that took effect. A
// repeated offset has no effect. A record that cannot be decoded is skipped,
// since every daemon skips it alike.
func (o *Ownership) Apply(offset identifier.Offset, payload []byte) ([]Record, error) {
	if offset < o.next {
		return nil, nil
	}
	if offset > o.next {
		return nil, Error.New("offset %d leaves a gap after %d", offset, o.next)
	}
	o.next++
	records, err := DecodeRecords(payload)
	if err != nil {
		o.recordCheckpoint(payload)
		return nil, nil
	}
	var effective []Record
	for _, record := range records {
		if o.applyRecord(record) {
			effective = append(effective, record)
		}
	}
	return effective, nil
}

// recordCheckpoint remembers how far a checkpoint covers the stream. Anything else
// that is no batch of records is skipped alike by every daemon.
func (o *Ownership) recordCheckpoint(payload []byte) {
	var snapshot ownershipSnapshot
	if json.Unmarshal(payload, &snapshot) == nil {
		o.checkpointEnd = max(o.checkpointEnd, snapshot.Next)
	}
}

// LastCheckpoint returns the last offset that the newest checkpoint seen in the
// stream covers.
func (o *Ownership) LastCheckpoint() (identifier.Offset, bool) {
	if o.checkpointEnd == 0 {
		return 0, false
	}
	return o.checkpointEnd - 1, true
}

func (o *Ownership) applyRecord(record Record) bool {
	if int(record.Shard) >= len(o.shards) {
		return false
	}
	state := &o.shards[record.Shard]
	if record.BasedOnEpoch != state.Current.Epoch {
		return false
	}
	if record.Kind == KindIntent {
		return state.addIntent(record)
	}
	if !state.mayOwn(record) {
		return false
	}
	*state = shardState{Current: record}
	return true
}

func (s *shardState) addIntent(record Record) bool {
	if slices.Contains(s.Intents, record.Owner) {
		return false
	}
	s.Intents = append(s.Intents, record.Owner)
	return true
}

// mayOwn tells whether a daemon may found the next epoch: a shard without
// owner is free, otherwise the owner, a successor or a daemon with an intent.
func (s *shardState) mayOwn(record Record) bool {
	if s.Current.Epoch == 0 {
		return true
	}
	return record.Owner == s.Current.Owner ||
		slices.Contains(s.Current.Successors, record.Owner) ||
		slices.Contains(s.Intents, record.Owner)
}

// Current returns the record of a shard's epoch; its epoch is 0 without owner.
func (o *Ownership) Current(shard identifier.Shard) Record {
	if int(shard) >= len(o.shards) {
		return Record{}
	}
	return o.shards[shard].Current
}

// HasIntent tells whether somebody announced a takeover of the current epoch.
func (o *Ownership) HasIntent(shard identifier.Shard) bool { return len(o.shards[shard].Intents) > 0 }

// Count returns the number of shards.
func (o *Ownership) Count() uint32 { return uint32(len(o.shards)) }

// Next returns the offset that is folded next.
func (o *Ownership) Next() identifier.Offset { return o.next }

// Checkpoint encodes the folded state.
func (o *Ownership) Checkpoint() ([]byte, error) {
	data, err := json.Marshal(ownershipSnapshot{Next: o.next, Shards: o.shards})
	return data, Error.Wrap(err)
}

// Restore replaces the state by a checkpoint that is further on. It reports
// whether it did.
func (o *Ownership) Restore(payload []byte) (bool, error) {
	var snapshot ownershipSnapshot
	if err := json.Unmarshal(payload, &snapshot); err != nil {
		return false, Error.Wrap(err)
	}
	if len(snapshot.Shards) != len(o.shards) {
		return false, Error.New("checkpoint has %d shards, settings have %d", len(snapshot.Shards), len(o.shards))
	}
	if snapshot.Next <= o.next {
		return false, nil
	}
	o.next, o.shards = snapshot.Next, snapshot.Shards
	o.checkpointEnd = max(o.checkpointEnd, snapshot.Next)
	return true, nil
}
