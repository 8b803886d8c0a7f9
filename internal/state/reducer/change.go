package reducer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Kind distinguishes the records of the stream.
type Kind string

// Kinds of records.
const (
	KindChange     Kind = "change"
	KindCheckpoint Kind = "checkpoint"
)

// Bounds of a change, which bound the audit trail as well.
const (
	maxIDLength      = 64
	maxCommentLength = 1000
	// maxPublishedAt is the year 2200, so that sums with durations cannot
	// overflow.
	maxPublishedAt timer.Millis = 7_258_118_400_000
)

// Change is the record of one change. MarshalJSON sets the kind.
type Change struct {
	Kind        Kind                    `json:"kind"`
	ID          identifier.ChangeID     `json:"id"`
	BaseVersion identifier.Version      `json:"base_version"`
	Operator    identifier.OperatorName `json:"operator"`
	PublishedAt timer.Millis            `json:"published_at_ms"`
	Comment     string                  `json:"comment"`
	Edits       parser.Edits            `json:"edits"`
}

// MarshalJSON encodes the record with its kind.
func (c Change) MarshalJSON() ([]byte, error) {
	type record Change
	c.Kind = KindChange
	return json.Marshal(record(c))
}

// UnmarshalJSON decodes and checks the record.
func (c *Change) UnmarshalJSON(data []byte) error {
	decoded, list, err := decodeChange(data)
	if err != nil {
		return err
	}
	var findings reporter.Findings
	findings.Append(list...)
	if err := findings.Err(); err != nil {
		return Error.Wrap(err)
	}
	*c = decoded
	return nil
}

// header holds the fields that distinguish records and identify the state of a
// checkpoint, so that its sheet need not be decoded.
type header struct {
	Kind         Kind               `json:"kind"`
	FoldedOffset *identifier.Offset `json:"folded_offset"`
	StateHash    *Hash              `json:"state_hash"`
}

func decodeHeader(payload []byte) (header, error) {
	var h header
	if !utf8.Valid(payload) {
		return h, Error.New("record is not valid UTF-8")
	}
	if err := json.Unmarshal(payload, &h); err != nil {
		return h, Error.Wrap(err)
	}
	switch {
	case h.Kind != KindChange && h.Kind != KindCheckpoint:
		return h, Error.New("unknown kind of record %q", h.Kind)
	case h.Kind == KindCheckpoint && (h.FoldedOffset == nil || h.StateHash == nil):
		return h, Error.New("checkpoint without folded_offset or state_hash")
	}
	return h, nil
}

// decodeChange decodes a change. An error means that the record cannot be
// decoded or has no valid id; the findings list everything else that is wrong
// with the record by itself.
func decodeChange(payload []byte) (Change, []reporter.Finding, error) {
	type record Change
	var envelope struct {
		record
		Edits json.RawMessage `json:"edits"`
	}
	decoder := json.NewDecoder(bytes.NewReader(payload))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&envelope); err != nil {
		return Change{}, nil, Error.Wrap(err)
	}
	change := Change(envelope.record)
	if change.Kind != KindChange {
		return Change{}, nil, Error.New("unknown kind of record %q", change.Kind)
	}
	if !IsIdentifier(string(change.ID)) {
		return Change{}, nil, Error.New("change id %.80q is not 1 to %d visible ASCII characters", change.ID, maxIDLength)
	}
	var findings reporter.Findings
	change.check(&findings)
	if len(envelope.Edits) == 0 {
		findings.Add("edits", "", "is missing")
		return change, findings.List(), nil
	}
	edits, err := parser.DecodeEdits(envelope.Edits)
	if err != nil {
		findings.Append(findingsOf(err)...)
		return change, findings.List(), nil
	}
	if len(edits) == 0 {
		findings.Add("edits", "", "is empty")
	}
	change.Edits = edits
	return change, findings.List(), nil
}

func (c Change) check(findings *reporter.Findings) {
	if !IsIdentifier(string(c.Operator)) {
		findings.Add("operator", clip(string(c.Operator), maxIDLength),
			fmt.Sprintf("is not 1 to %d visible ASCII characters", maxIDLength))
	}
	if c.PublishedAt <= 0 || c.PublishedAt > maxPublishedAt {
		findings.Add("published_at_ms", c.PublishedAt, "is not a time before the year 2200")
	}
	if len(c.Comment) > maxCommentLength {
		findings.Add("comment", clip(c.Comment, maxIDLength), fmt.Sprintf("is longer than %d bytes", maxCommentLength))
	}
}

// IsIdentifier reports whether text can be an id of a change or the name of an
// operator: 1 to 64 visible ASCII characters.
func IsIdentifier(text string) bool {
	return text != "" && len(text) <= maxIDLength && !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' })
}

// clip truncates text to at most limit bytes without splitting a character.
func clip(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit], "")
}
