package reducer

import (
	"encoding/json"
	"maps"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Checkpoint is the record of a whole state, from which a starting daemon
// continues to fold at folded_offset + 1. Lists are ordered oldest first.
type Checkpoint struct {
	Kind         Kind                                      `json:"kind"`
	FoldedOffset identifier.Offset                         `json:"folded_offset"`
	Version      identifier.Version                        `json:"version"`
	Sheet        *parser.Sheet                             `json:"sheet"`
	ReturnedAt   map[identifier.FailureDomain]timer.Millis `json:"returned_at_ms,omitempty"`
	RecentIDs    []RecentID                                `json:"recent_ids"`
	Audit        []AuditEntry                              `json:"audit"`
	StateHash    Hash                                      `json:"state_hash"`
}

// checkpointRecord has the fields of Checkpoint without its methods:
// MarshalJSON would call itself on a Checkpoint.
type checkpointRecord Checkpoint

// MarshalJSON encodes the record with its kind.
func (c Checkpoint) MarshalJSON() ([]byte, error) {
	c.Kind = KindCheckpoint
	return json.Marshal(checkpointRecord(c))
}

// Checkpoint encodes the state as a record. It costs one encoding of the whole
// sheet. It fails if no record was folded yet.
func (r *Reducer) Checkpoint() ([]byte, error) {
	if !r.state.Folded {
		return nil, Error.New("no record was folded yet")
	}
	data, err := json.Marshal(checkpointRecord{
		Kind:         KindCheckpoint,
		FoldedOffset: r.state.FoldedOffset,
		Version:      r.state.Version,
		Sheet:        r.state.Sheet,
		ReturnedAt:   r.state.ReturnedAt,
		RecentIDs:    r.recent.order.items,
		Audit:        r.auditTrail.items,
		StateHash:    r.hash(),
	})
	return data, Error.Wrap(err)
}

// Restore replaces the state with that of a checkpoint and reports whether it
// did. The state never moves back: a checkpoint that is not ahead is only
// compared, and an error of class Diverged means that it holds another state.
// Any other error means that the checkpoint is damaged. After an error the
// state is unchanged.
func (r *Reducer) Restore(payload []byte) (bool, error) {
	header, err := decodeHeader(payload)
	if err != nil {
		return false, err
	}
	if header.Kind != KindCheckpoint {
		return false, Error.New("record of kind %q is not a checkpoint", header.Kind)
	}
	if *header.FoldedOffset < r.state.Next() {
		hash, known := r.history.at(*header.FoldedOffset)
		if known && hash != *header.StateHash {
			return false, Diverged.New("state hash at offset %d is %s here and %s in the checkpoint",
				*header.FoldedOffset, hash, header.StateHash)
		}
		return false, nil
	}
	var record checkpointRecord
	if err := json.Unmarshal(payload, &record); err != nil {
		return false, Error.Wrap(err)
	}
	restored, err := record.restore(r.bounds)
	if err != nil {
		return false, err
	}
	if restored.state.Version < r.state.Version {
		return false, Diverged.New("checkpoint at offset %d has version %d, but version %d is in force since offset %d",
			record.FoldedOffset, record.Version, r.state.Version, r.state.FoldedOffset)
	}
	*r = *restored
	return true, nil
}

// restore builds the state and compares its hash, which covers every part that
// later records depend on.
func (c checkpointRecord) restore(limits bounds) (*Reducer, error) {
	switch {
	case (c.Version == 0) != (c.Sheet == nil):
		return nil, Error.New("checkpoint of version %d: sheet must be set if and only if the version is not 0", c.Version)
	case len(c.RecentIDs) > limits.recent:
		return nil, Error.New("checkpoint has %d recent ids, more than %d", len(c.RecentIDs), limits.recent)
	case len(c.Audit) > limits.audit:
		return nil, Error.New("checkpoint has %d audit entries, more than %d", len(c.Audit), limits.audit)
	}
	r := newWithBounds(limits)
	r.state = State{
		Version:      c.Version,
		Sheet:        c.Sheet,
		FoldedOffset: c.FoldedOffset,
		Folded:       true,
		ReturnedAt:   maps.Clone(c.ReturnedAt),
	}
	if c.Sheet != nil {
		r.sums.update(nil, c.Sheet, parser.Diff(nil, c.Sheet))
	}
	for domain, at := range c.ReturnedAt {
		r.sums.returned.add(returnedDigest(domain, at))
	}
	for _, id := range c.RecentIDs {
		r.addRecentID(id)
	}
	for _, entry := range c.Audit {
		r.addAuditEntry(entry)
	}
	hash := r.hash()
	if hash != c.StateHash {
		return nil, Error.New("checkpoint at offset %d does not match its state hash", c.FoldedOffset)
	}
	r.history.push(c.FoldedOffset, hash)
	return r, nil
}
