package deduplicator

import (
	"encoding/json"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// RecordKind distinguishes the records of the ownership stream.
type RecordKind string

// Kinds of records.
const (
	// KindOwn makes a daemon the owner of a shard in a new epoch.
	KindOwn RecordKind = "own"
	// KindIntent announces a takeover by a daemon that is not a successor.
	KindIntent RecordKind = "intent"
)

// maxSuccessors is the number of successors named by an epoch.
const maxSuccessors = 2

// Claimant is one run of one daemon. A restarted daemon is another claimant,
// because it does not know what its predecessor promised or appended.
type Claimant struct {
	Instance    identifier.InstanceID  `json:"instance"`
	Incarnation identifier.Incarnation `json:"incarnation"`
}

// Record is one record of the ownership stream.
type Record struct {
	Kind         RecordKind       `json:"kind"`
	Shard        identifier.Shard `json:"shard"`
	Epoch        identifier.Epoch `json:"epoch"`
	BasedOnEpoch identifier.Epoch `json:"based_on_epoch"`
	Owner        Claimant         `json:"owner"`
	Successors   []Claimant       `json:"successors,omitempty"`
}

// EncodeRecords encodes a batch for one append.
func EncodeRecords(records []Record) ([]byte, error) {
	data, err := json.Marshal(records)
	return data, Error.Wrap(err)
}

// DecodeRecords decodes and checks a batch.
func DecodeRecords(payload []byte) ([]Record, error) {
	var records []Record
	if err := json.Unmarshal(payload, &records); err != nil {
		return nil, Error.Wrap(err)
	}
	for _, record := range records {
		if err := record.check(); err != nil {
			return nil, err
		}
	}
	return records, nil
}

func (r Record) check() error {
	if r.Kind != KindOwn && r.Kind != KindIntent {
		return Error.New("unknown record kind %q", r.Kind)
	}
	if r.Owner.Instance == "" || r.Owner.Incarnation == 0 {
		return Error.New("shard %d: owner or incarnation is missing", r.Shard)
	}
	if len(r.Successors) > maxSuccessors {
		return Error.New("shard %d: %d successors, at most %d are allowed", r.Shard, len(r.Successors), maxSuccessors)
	}
	if r.Kind == KindOwn && r.Epoch != r.BasedOnEpoch+1 {
		return Error.New("shard %d: epoch %d does not follow epoch %d", r.Shard, r.Epoch, r.BasedOnEpoch)
	}
	return nil
}
