package deduplicator

import (
	"encoding/json"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// shardState is the ownership of one shard.
type shardState struct {
	Current Record `json:"current"`
	// Intents lists the daemons that announced a takeover of the current epoch.
	Intents []Claimant `json:"intents,omitempty"`
}

// ownershipSnapshot is the encoded state in a checkpoint.
type ownershipSnapshot struct {
	Next   identifier.Offset `json:"next_offset"`
	Shards []shardState      `json:"shards"`
}

// Ownership is the state that results from the ownership stream. The first
// record based on a shard's current epoch wins, so all daemons agree on every
// owner. It is not safe for concurrent use.
type Ownership struct {
	next   identifier.Offset
	shards []shardState
	// checkpointEnd is the offset after the last one that the newest checkpoint
	// seen covers; 0 means that none was seen.
	checkpointEnd identifier.Offset
}

// NewOwnership returns a state in which no shard has an owner.
func NewOwnership(count uint32) *Ownership {
	return &Ownership{shards: make([]shardState, count)}
}

// Apply applies the records at an offset and returns those that took effect. A
// repeated offset has no effect. A batch that cannot be decoded is skipped;
// since every daemon skips it, they still agree.
func (o *Ownership) Apply(offset identifier.Offset, payload []byte) ([]Record, error) {
	if offset < o.next {
		return nil, nil
	}
	if offset > o.next {
		return nil, Error.New("gap in the ownership stream: got offset %d, expected %d", offset, o.next)
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

// recordCheckpoint records how far a checkpoint covers the stream. Any other
// payload that is not a batch of records is skipped by every daemon.
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

// mayOwn reports whether a daemon may start the next epoch: any daemon if the
// shard has no owner, otherwise the owner, a successor or a daemon with an
// intent.
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

// HasIntent reports whether a daemon announced a takeover of the current epoch.
func (o *Ownership) HasIntent(shard identifier.Shard) bool { return len(o.shards[shard].Intents) > 0 }

// Count returns the number of shards.
func (o *Ownership) Count() uint32 { return uint32(len(o.shards)) }

// Next returns the next offset to apply.
func (o *Ownership) Next() identifier.Offset { return o.next }

// Checkpoint encodes the state.
func (o *Ownership) Checkpoint() ([]byte, error) {
	data, err := json.Marshal(ownershipSnapshot{Next: o.next, Shards: o.shards})
	return data, Error.Wrap(err)
}

// Restore replaces the state with that of a checkpoint that is ahead of it. It
// reports whether it did.
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
