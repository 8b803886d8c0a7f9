package reducer

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

// Result is the result of folding one record.
type Result interface{ isResult() }

// Results of folding a record.
type (
	// Accepted means that the change made a new version.
	Accepted struct {
		ID      identifier.ChangeID
		Version identifier.Version
	}
	// Rejected means that the change has no effect. Version is the one in force.
	Rejected struct {
		ID       identifier.ChangeID
		Version  identifier.Version
		Reason   Reason
		Findings []reporter.Finding
	}
	// Duplicate means that the id was folded before, at FirstOffset. Version is
	// the one it made then, or 0 if it was rejected.
	Duplicate struct {
		ID          identifier.ChangeID
		FirstOffset identifier.Offset
		Version     identifier.Version
	}
	// CheckpointSeen means that the record is a checkpoint. It is compared if
	// its offset lies within the hash history; if it then does not match, a
	// daemon has diverged.
	CheckpointSeen struct {
		FoldedOffset identifier.Offset
		Compared     bool
		Matches      bool
	}
	// AlreadyFolded means that the record was folded before.
	AlreadyFolded struct{}
	// Undecodable means that the record was skipped and added to the audit trail.
	Undecodable struct{ Detail string }
)

func (Accepted) isResult()       {}
func (Rejected) isResult()       {}
func (Duplicate) isResult()      {}
func (CheckpointSeen) isResult() {}
func (AlreadyFolded) isResult()  {}
func (Undecodable) isResult()    {}

// Reason says why a record has no effect.
type Reason string

// Reasons of rejected and undecodable records.
const (
	// ReasonStaleBase means that another change came first.
	ReasonStaleBase Reason = "stale_base"
	// ReasonUnknownBase means that the base version does not exist yet.
	ReasonUnknownBase Reason = "unknown_base"
	// ReasonInvalidChange means that the record breaks a rule by itself.
	ReasonInvalidChange Reason = "invalid_change"
	// ReasonInvalidSheet means that the resulting sheet breaks a rule.
	ReasonInvalidSheet Reason = "invalid_sheet"
	// ReasonUndecodable means that the record cannot be read.
	ReasonUndecodable Reason = "undecodable"
)
