package tracker

import (
	"bytes"
	"encoding/json"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

// Record is one record of the membership stream. Records travel in batches;
// one payload of the log holds one batch.
type Record interface {
	// Check adds a finding for each field that cannot be used.
	Check(place string, findings *reporter.Findings)
	wire() recordJSON
}

// Join announces a member. A daemon that changes its announcement joins again
// with the same incarnation and a higher revision.
type Join struct{ Member }

// Leave removes an incarnation of a member.
type Leave struct {
	Instance    identifier.InstanceID
	Incarnation identifier.Incarnation
}

// Renew confirms that an incarnation is still a member.
type Renew struct {
	Instance    identifier.InstanceID
	Incarnation identifier.Incarnation
}

// Suspect is a watcher's report that an instance fails its checks. It goes to
// the log readers of the failure domain and is never appended; readers turn
// two of them into a Leave.
type Suspect struct {
	Instance    identifier.InstanceID
	Incarnation identifier.Incarnation
	Watcher     identifier.InstanceID
}

// Checkpoint is the position of a checkpoint. The state itself stays encoded.
type Checkpoint struct {
	// Folded is the last offset that the checkpoint covers.
	Folded identifier.Offset
	// Found reports whether there was any checkpoint.
	Found bool

	members []byte
}

// Kinds of records on the wire.
const (
	kindJoin       = "join"
	kindLeave      = "leave"
	kindRenew      = "renew"
	kindSuspect    = "suspect"
	kindCheckpoint = "checkpoint"
)

type recordJSON struct {
	Kind        string                 `json:"kind"`
	Member      *Member                `json:"member,omitempty"`
	Instance    identifier.InstanceID  `json:"instance,omitempty"`
	Incarnation identifier.Incarnation `json:"incarnation,omitempty"`
	Watcher     identifier.InstanceID  `json:"watcher,omitempty"`
	Folded      *identifier.Offset     `json:"folded_offset,omitempty"`
	// Members holds one JSON object per member, compressed by gzip: a
	// checkpoint of 34,000 members must stay within one payload of the log.
	Members []byte `json:"members,omitempty"`
}

type batchJSON struct {
	Records []recordJSON `json:"records"`
}

func (j Join) wire() recordJSON { return recordJSON{Kind: kindJoin, Member: &j.Member} }

func (l Leave) wire() recordJSON {
	return recordJSON{Kind: kindLeave, Instance: l.Instance, Incarnation: l.Incarnation}
}

func (r Renew) wire() recordJSON {
	return recordJSON{Kind: kindRenew, Instance: r.Instance, Incarnation: r.Incarnation}
}

func (s Suspect) wire() recordJSON {
	return recordJSON{Kind: kindSuspect, Instance: s.Instance, Incarnation: s.Incarnation, Watcher: s.Watcher}
}

func (c Checkpoint) wire() recordJSON {
	return recordJSON{Kind: kindCheckpoint, Folded: &c.Folded, Members: c.members}
}

// Check checks the instance and incarnation.
func (l Leave) Check(place string, findings *reporter.Findings) {
	checkKey(place, l.Instance, l.Incarnation, findings)
}

// Check checks the instance and incarnation.
func (r Renew) Check(place string, findings *reporter.Findings) {
	checkKey(place, r.Instance, r.Incarnation, findings)
}

// Check checks the instance, incarnation and watcher.
func (s Suspect) Check(place string, findings *reporter.Findings) {
	checkKey(place, s.Instance, s.Incarnation, findings)
	checkName(place+".watcher", string(s.Watcher), findings)
}

// Check checks that the checkpoint has content.
func (c Checkpoint) Check(place string, findings *reporter.Findings) {
	if len(c.members) == 0 {
		findings.Add(place+".members", "", "is empty")
	}
}

// record converts a decoded record, or returns nil for an unknown kind.
func (r recordJSON) record() Record {
	switch r.Kind {
	case kindJoin:
		if r.Member != nil {
			return Join{Member: *r.Member}
		}
	case kindLeave:
		return Leave{Instance: r.Instance, Incarnation: r.Incarnation}
	case kindRenew:
		return Renew{Instance: r.Instance, Incarnation: r.Incarnation}
	case kindSuspect:
		return Suspect{Instance: r.Instance, Incarnation: r.Incarnation, Watcher: r.Watcher}
	case kindCheckpoint:
		if r.Folded != nil {
			return Checkpoint{Folded: *r.Folded, Found: true, members: r.Members}
		}
	}
	return nil
}

// EncodeBatch encodes records as one payload of the membership stream.
func EncodeBatch(records []Record) ([]byte, error) {
	batch := batchJSON{Records: make([]recordJSON, 0, len(records))}
	for _, r := range records {
		batch.Records = append(batch.Records, r.wire())
	}
	payload, err := json.Marshal(batch)
	return payload, Error.Wrap(err)
}

// EncodeRecord encodes one record for Peer.Announce.
func EncodeRecord(record Record) ([]byte, error) {
	text, err := json.Marshal(record.wire())
	return text, Error.Wrap(err)
}

// DecodeRecord decodes and checks one record from Peer.Announce.
func DecodeRecord(text []byte) (Record, error) {
	var wire recordJSON
	if err := json.Unmarshal(text, &wire); err != nil {
		return nil, Error.Wrap(err)
	}
	record := wire.record()
	if record == nil {
		return nil, Error.New("record has an unknown kind %q or no content", wire.Kind)
	}
	var findings reporter.Findings
	record.Check("record", &findings)
	if err := findings.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	return record, nil
}

func decodeBatch(payload []byte) ([]recordJSON, error) {
	var batch batchJSON
	if err := json.Unmarshal(payload, &batch); err != nil {
		return nil, Error.Wrap(err)
	}
	return batch.Records, nil
}

// IsCheckpoint reports whether a payload holds a checkpoint, without decoding
// it. Quotes inside JSON strings are escaped, so no name can match.
func IsCheckpoint(payload []byte) bool {
	return bytes.Contains(payload, []byte(`"kind":"checkpoint"`))
}
