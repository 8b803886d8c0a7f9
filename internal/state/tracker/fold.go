package tracker

import (
	"math"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

// Apply folds the payload at an offset. A payload at or below the last folded
// offset is ignored. One that leaves a gap changes nothing and returns an error
// of class Gap. A payload that cannot be decoded, or a record that fails its
// checks, counts as folded and as Malformed: all daemons skip it alike, and a
// fold that stopped there could never continue.
func (t *Tracker) Apply(offset identifier.Offset, payload []byte) error {
	if offset < t.next {
		return nil
	}
	if offset > t.next {
		return Gap.New("record at offset %d, expected %d", offset, t.next)
	}
	t.next++
	records, err := decodeBatch(payload)
	if err != nil {
		t.malformed++
		return nil
	}
	for _, wire := range records {
		t.fold(offset, wire.record())
	}
	return nil
}

func (t *Tracker) fold(offset identifier.Offset, record Record) {
	if record == nil {
		t.malformed++
		return
	}
	var findings reporter.Findings
	if record.Check("", &findings); !findings.Empty() {
		t.malformed++
		return
	}
	switch r := record.(type) {
	case Join:
		t.join(offset, r.Member)
	case Leave:
		t.leave(offset, r)
	case Renew:
		t.renew(offset, r)
	case Checkpoint:
		t.updateLastCheckpoint(r)
	case Suspect:
		t.malformed++
	}
}

func (t *Tracker) join(offset identifier.Offset, m Member) {
	if t.namesExhausted(m) {
		t.malformed++
		return
	}
	r := t.table.find(m.Instance)
	if r == nil || m.Incarnation > r.incarnation {
		t.table.put(m, offset, t.readableTime)
		t.clearLiveness(m.Instance)
		return
	}
	if m.Incarnation < r.incarnation || r.left {
		return
	}
	if m.Revision > r.revision {
		t.table.put(m, offset, t.readableTime)
		return
	}
	r.offset, r.renewed = offset, t.readableTime
}

// namesExhausted reports whether a member has a new region or class for which no
// number is left.
func (t *Tracker) namesExhausted(m Member) bool {
	_, region := t.table.regionNames.ids[m.Region]
	_, class := t.table.classNames.ids[m.Class]
	return !region && len(t.table.regionNames.list) > math.MaxUint16 ||
		!class && len(t.table.classNames.list) > math.MaxUint16
}

func (t *Tracker) leave(offset identifier.Offset, l Leave) {
	if r := t.table.find(l.Instance); r != nil && l.Incarnation < r.incarnation {
		return
	}
	t.table.putTombstone(l.Instance, l.Incarnation, offset, t.readableTime)
	t.clearLiveness(l.Instance)
}

// renew ignores an incarnation whose join has not been folded. It carries no
// address, so it could not create the entry.
func (t *Tracker) renew(offset identifier.Offset, n Renew) {
	if r := t.table.find(n.Instance); r != nil && !r.left && r.incarnation == n.Incarnation {
		r.offset, r.renewed = offset, t.readableTime
	}
}

// updateLastCheckpoint keeps the position of the newest checkpoint. A folded
// checkpoint changes no entry: its state covers only offsets that this daemon
// has folded already.
func (t *Tracker) updateLastCheckpoint(c Checkpoint) {
	if !t.checkpoint.Found || c.Folded > t.checkpoint.Folded {
		t.checkpoint = Checkpoint{Folded: c.Folded, Found: true}
	}
}

// LastCheckpoint returns the newest checkpoint that was folded or restored.
func (t *Tracker) LastCheckpoint() Checkpoint { return t.checkpoint }
