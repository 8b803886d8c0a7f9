package tracker

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"
	"math"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// maxCheckpointBytes bounds a decompressed checkpoint. 34,000 members take about
// a tenth of it.
const maxCheckpointBytes = 128 << 20

// entryJSON is one line of a checkpoint. A tombstone has no member.
type entryJSON struct {
	Member      *Member                `json:"member,omitempty"`
	Instance    identifier.InstanceID  `json:"instance,omitempty"`
	Incarnation identifier.Incarnation `json:"incarnation,omitempty"`
	Offset      identifier.Offset      `json:"offset"`
	Age         timer.Millis           `json:"age_ms"`
}

// Checkpoint encodes the state as a payload of the membership stream. It
// returns an error if nothing has been folded.
func (t *Tracker) Checkpoint() ([]byte, error) {
	folded, ok := t.Folded()
	if !ok {
		return nil, Error.New("nothing has been folded")
	}
	var buf bytes.Buffer
	compressor := gzip.NewWriter(&buf)
	encoder := json.NewEncoder(compressor)
	for _, i := range t.table.ordered() {
		if err := encoder.Encode(t.entry(&t.table.rows[i])); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	if err := compressor.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return EncodeBatch([]Record{Checkpoint{Folded: folded, members: buf.Bytes()}})
}

// EmptyCheckpoint encodes the state of a daemon that has folded up to an offset
// and found no member. Membership may start from it when neither the log nor a
// peer has a checkpoint: running daemons join again when they find that they
// are not members.
func EmptyCheckpoint(folded identifier.Offset) ([]byte, error) {
	t := New(Config{})
	t.next = folded + 1
	return t.Checkpoint()
}

func (t *Tracker) entry(r *row) entryJSON {
	entry := entryJSON{Offset: r.offset, Age: t.readableTime - r.renewed}
	if r.left {
		entry.Instance, entry.Incarnation = r.instance, r.incarnation
		return entry
	}
	member := t.table.member(r)
	entry.Member = &member
	return entry
}

// ordered returns the rows in use in the order of their hash, so that equal
// tables give equal checkpoints.
func (t *table) ordered() []uint32 {
	list := make([]uint32, 0, len(t.index))
	for _, i := range t.index {
		list = append(list, i)
	}
	slices.SortFunc(list, t.ringOrder)
	return list
}

// Restore replaces the state by a checkpoint if it covers a higher offset than
// the last folded one, and reports whether it did. It reports false without an
// error for a payload that is not a checkpoint. After an error the state is
// unchanged.
func (t *Tracker) Restore(payload []byte) (bool, error) {
	if !IsCheckpoint(payload) {
		return false, nil
	}
	checkpoint, err := decodeCheckpoint(payload)
	if err != nil || checkpoint.Folded < t.next {
		return false, err
	}
	restored, err := t.decodeTable(checkpoint.members)
	if err != nil {
		return false, err
	}
	restored.version = t.table.version + 1
	t.table = restored
	t.next = checkpoint.Folded + 1
	t.updateLastCheckpoint(checkpoint)
	for instance, h := range t.health {
		if r := t.table.find(instance); r == nil || r.left || r.incarnation != h.incarnation {
			t.clearLiveness(instance)
		}
	}
	return true, nil
}

func decodeCheckpoint(payload []byte) (Checkpoint, error) {
	records, err := decodeBatch(payload)
	if err != nil {
		return Checkpoint{}, err
	}
	for _, wire := range records {
		if checkpoint, ok := wire.record().(Checkpoint); ok && checkpoint.Folded < math.MaxUint64 {
			return checkpoint, nil
		}
	}
	return Checkpoint{}, Error.New("payload has no valid checkpoint")
}

func (t *Tracker) decodeTable(members []byte) (*table, error) {
	decompressor, err := gzip.NewReader(bytes.NewReader(members))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	decoder := json.NewDecoder(io.LimitReader(decompressor, maxCheckpointBytes))
	restored := newTable()
	for {
		var entry entryJSON
		if err := decoder.Decode(&entry); errors.Is(err, io.EOF) {
			return restored, nil
		} else if err != nil {
			return nil, Error.Wrap(err)
		}
		if err := entry.check(); err != nil {
			return nil, err
		}
		renewed := t.readableTime - entry.Age
		if entry.Member != nil {
			restored.put(*entry.Member, entry.Offset, renewed)
		} else {
			restored.putTombstone(entry.Instance, entry.Incarnation, entry.Offset, renewed)
		}
	}
}

func (e entryJSON) check() error {
	var findings reporter.Findings
	if e.Member != nil {
		e.Member.Check("checkpoint", &findings)
	} else {
		checkKey("checkpoint", e.Instance, e.Incarnation, &findings)
	}
	return Error.Wrap(findings.Err())
}
