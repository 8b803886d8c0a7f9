// Package reducer folds the configuration stream into the sheet in force.
//
// Records are folded in offset order. The first change that is based on the
// current version wins and makes the next version; every other one is rejected
// and stays in the audit trail. The result depends only on the records, so all
// daemons that have folded the same offset agree, whether they started at
// offset 0 or from a checkpoint.
//
// A Reducer is not safe for concurrent use; its owner serialises calls. The
// snapshots that State returns may be shared freely.
//
// # Usage
//
//	fold := reducer.New(reducer.Config{})
//	moved, err := fold.Restore(checkpoint)
//	result, err := fold.Apply(fold.State().Next(), payload)
//	switch r := result.(type) {
//	case reducer.Accepted:
//		publish(fold.State())
//	case reducer.CheckpointSeen:
//		if r.Compared && !r.Matches {
//			raiseAlarm(r)
//		}
//	}
package reducer

import (
	"fmt"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

// Classes of errors of this package.
var (
	// Error is the class of errors of this package.
	Error = errs.Class("reducer")
	// Diverged means that two daemons have folded the same records to different
	// states. An operator has to resolve it.
	Diverged = errs.Class("configuration diverged")
)

// Bounds of the folded state. They are part of the fold: daemons with other
// bounds would disagree on repeated ids and on the state hash.
const (
	// recentIDLimit is the number of change ids that are kept to detect repeats.
	// At 32,000 changes a day it covers about an hour and a half, far longer than
	// a writer retries. An older repeat is based on an old version and therefore
	// rejected.
	recentIDLimit = 2000
	// auditLimit is the number of entries of the audit trail.
	auditLimit = 1000
	// defaultHashHistory covers four intervals between checkpoints of 1,000
	// changes, at 32 bytes for each offset.
	defaultHashHistory = 4000
)

// Config holds the settings that may differ between daemons.
type Config struct {
	// HashHistory is the number of past offsets whose state hash is kept to
	// compare late checkpoints with. Zero means 4,000.
	HashHistory int
}

// GapError says that a record does not follow the last one folded.
type GapError struct {
	Want identifier.Offset
	Got  identifier.Offset
}

// Error formats the error.
func (e *GapError) Error() string {
	return fmt.Sprintf("reducer: expected offset %d, got %d", e.Want, e.Got)
}

// Reducer holds the folded state.
type Reducer struct {
	state      State
	recent     recentIDs
	auditTrail boundedList[AuditEntry]
	sums       sums
	history    history
	bounds     bounds
}

type bounds struct {
	recent, audit, history int
}

// New returns a reducer that has folded no record.
func New(config Config) *Reducer {
	limits := bounds{recent: recentIDLimit, audit: auditLimit, history: config.HashHistory}
	if limits.history <= 0 {
		limits.history = defaultHashHistory
	}
	return newWithBounds(limits)
}

func newWithBounds(limits bounds) *Reducer {
	return &Reducer{
		recent:     newRecentIDs(limits.recent),
		auditTrail: boundedList[AuditEntry]{limit: limits.audit},
		history:    history{hashes: boundedList[Hash]{limit: limits.history}},
		bounds:     limits,
	}
}

// State returns an immutable snapshot.
func (r *Reducer) State() State { return r.state }

// Apply folds the record at an offset. The error is a *GapError if the offset
// is not the next one; the state is then unchanged. Records that were folded
// before are ignored.
func (r *Reducer) Apply(offset identifier.Offset, payload []byte) (Result, error) {
	next := r.state.Next()
	if offset < next {
		return AlreadyFolded{}, nil
	}
	if offset > next {
		return nil, &GapError{Want: next, Got: offset}
	}
	result := r.fold(offset, payload)
	r.state.FoldedOffset = offset
	r.state.Folded = true
	r.history.push(offset, r.hash())
	return result, nil
}

func (r *Reducer) fold(offset identifier.Offset, payload []byte) Result {
	header, err := decodeHeader(payload)
	if err != nil {
		return r.skipUndecodable(offset, err)
	}
	if header.Kind == KindCheckpoint {
		// A checkpoint does not change the state: one from a writer that was paused
		// is older.
		seen := CheckpointSeen{FoldedOffset: *header.FoldedOffset}
		var hash Hash
		if hash, seen.Compared = r.history.at(seen.FoldedOffset); seen.Compared {
			seen.Matches = hash == *header.StateHash
		}
		return seen
	}
	change, findings, err := decodeChange(payload)
	if err != nil {
		return r.skipUndecodable(offset, err)
	}
	return r.foldChange(offset, change, findings)
}

// skipUndecodable adds an undecodable record to the audit trail. The text of
// the error is not part of the state: it may come from the standard library and
// change with its release.
func (r *Reducer) skipUndecodable(offset identifier.Offset, err error) Result {
	r.addAuditEntry(AuditEntry{Offset: offset, Version: r.state.Version, Result: ResultUndecodable, Reason: ReasonUndecodable})
	return Undecodable{Detail: err.Error()}
}

func (r *Reducer) foldChange(offset identifier.Offset, change Change, findings []reporter.Finding) Result {
	if first, seen := r.recent.find(change.ID); seen {
		return Duplicate{ID: change.ID, FirstOffset: first.Offset, Version: first.Version}
	}
	sheet, reason, findings := r.evaluate(change, findings)
	entry := newAuditEntry(offset, change, findings)
	if reason != "" {
		entry.Version, entry.Result, entry.Reason = r.state.Version, ResultRejected, reason
		r.addRecentID(RecentID{ID: change.ID, Offset: offset})
		r.addAuditEntry(entry)
		return Rejected{ID: change.ID, Version: r.state.Version, Reason: reason, Findings: findings}
	}
	r.sums.update(r.state.Sheet, sheet, change.Edits)
	r.state.ReturnedAt = r.sums.updateReturned(r.state, sheet, change)
	r.state.Sheet = sheet
	r.state.Version++
	entry.Version, entry.Result = r.state.Version, ResultAccepted
	r.addRecentID(RecentID{ID: change.ID, Offset: offset, Version: r.state.Version})
	r.addAuditEntry(entry)
	return Accepted{ID: change.ID, Version: r.state.Version}
}

// evaluate returns the sheet that a change leads to, or why it is rejected.
func (r *Reducer) evaluate(change Change, findings []reporter.Finding) (*parser.Sheet, Reason, []reporter.Finding) {
	switch {
	case change.BaseVersion < r.state.Version:
		return nil, ReasonStaleBase, findings
	case change.BaseVersion > r.state.Version:
		return nil, ReasonUnknownBase, findings
	case len(findings) > 0:
		return nil, ReasonInvalidChange, findings
	}
	sheet, err := parser.Apply(r.state.Sheet, change.Edits)
	if err != nil {
		return nil, ReasonInvalidSheet, findingsOf(err)
	}
	return sheet, "", nil
}

// findingsOf lists the findings of an error, so that every rejection has one.
func findingsOf(err error) []reporter.Finding {
	if list := parser.FindingsOf(err); len(list) > 0 {
		return list
	}
	return []reporter.Finding{{Place: "edits", Reason: err.Error()}}
}

func (r *Reducer) addRecentID(id RecentID) {
	r.sums.recent.add(id.digest())
	if evicted, full := r.recent.push(id); full {
		r.sums.recent.subtract(evicted.digest())
	}
}

func (r *Reducer) addAuditEntry(entry AuditEntry) {
	r.sums.audit.add(entry.digest())
	if evicted, full := r.auditTrail.push(entry); full {
		r.sums.audit.subtract(evicted.digest())
	}
}
