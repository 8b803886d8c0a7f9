package reducer

import (
	"fmt"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Bounds of one entry. They keep 1,000 entries within about 9 MB when every
// text has its full length.
const (
	maxAuditEdits      = 16
	maxAuditFindings   = 8
	maxAuditLineLength = 200
)

// AuditResult is the result of a record in the audit trail.
type AuditResult string

// Results in the audit trail.
const (
	ResultAccepted    AuditResult = "accepted"
	ResultRejected    AuditResult = "rejected"
	ResultUndecodable AuditResult = "undecodable"
)

// AuditEntry records who changed what, from which version and with what result.
// An undecodable record has only Offset, Version, Result and Reason.
type AuditEntry struct {
	Offset      identifier.Offset       `json:"offset"`
	ChangeID    identifier.ChangeID     `json:"change_id,omitempty"`
	Operator    identifier.OperatorName `json:"operator,omitempty"`
	PublishedAt timer.Millis            `json:"published_at_ms,omitempty"`
	BaseVersion identifier.Version      `json:"base_version"`
	// Version is the one in force after the record.
	Version  identifier.Version `json:"version"`
	Result   AuditResult        `json:"result"`
	Reason   Reason             `json:"reason,omitempty"`
	Comment  string             `json:"comment,omitempty"`
	Findings []reporter.Finding `json:"findings,omitempty"`
	// Edits describes the first edits, one line each.
	Edits []string `json:"edits,omitempty"`
}

func newAuditEntry(offset identifier.Offset, change Change, findings []reporter.Finding) AuditEntry {
	entry := AuditEntry{
		Offset:      offset,
		ChangeID:    change.ID,
		Operator:    identifier.OperatorName(clip(string(change.Operator), maxIDLength)),
		PublishedAt: change.PublishedAt,
		BaseVersion: change.BaseVersion,
		Comment:     clip(change.Comment, maxCommentLength),
	}
	for _, finding := range findings[:min(len(findings), maxAuditFindings)] {
		entry.Findings = append(entry.Findings, reporter.Finding{
			Place:  clip(finding.Place, maxAuditLineLength),
			Value:  clip(finding.Value, maxAuditLineLength),
			Reason: clip(finding.Reason, maxAuditLineLength),
		})
	}
	for i, edit := range change.Edits {
		if i == maxAuditEdits {
			entry.Edits = append(entry.Edits, fmt.Sprintf("and %d more", len(change.Edits)-i))
			break
		}
		entry.Edits = append(entry.Edits, clip(edit.String(), maxAuditLineLength))
	}
	return entry
}

// Audit returns up to limit entries, newest first. The entries must not be
// modified.
func (r *Reducer) Audit(limit int) []AuditEntry {
	entries := r.auditTrail.items
	count := max(0, min(limit, len(entries)))
	newest := make([]AuditEntry, 0, count)
	for i := range count {
		newest = append(newest, entries[len(entries)-1-i])
	}
	return newest
}

// OldestAuditOffset returns the offset from which the trail is complete. As
// long as it holds fewer entries than the bound allows, none was dropped and
// the offset is 0.
func (r *Reducer) OldestAuditOffset() identifier.Offset {
	if len(r.auditTrail.items) < r.auditTrail.limit {
		return 0
	}
	return r.auditTrail.items[0].Offset
}
