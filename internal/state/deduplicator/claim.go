package deduplicator

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Token identifies one arrival of a request at an ingress.
type Token string

// Key names a request within its service.
type Key struct {
	Service identifier.ServiceName
	Key     identifier.IdempotencyKey
}

// Request asks for the right to run a keyed request.
type Request struct {
	Key         Key
	Shard       identifier.Shard
	Fingerprint identifier.Fingerprint
	Token       Token
	// Window is how long the key is remembered.
	Window timer.Millis
}

// Verdict is the owner's answer to a claim.
type Verdict int

// Verdicts of a claim.
const (
	// Granted lets the request run.
	Granted Verdict = iota + 1
	// InProgress means that an earlier arrival runs or its outcome is unknown.
	InProgress
	// Done means that an earlier arrival completed.
	Done
	// Mismatch means that the key was used with another request.
	Mismatch
	// OwnerLost means that an earlier run cannot be excluded.
	OwnerLost
	// Full means that no claim can be kept.
	Full
)

// Outcome is how a claimed request ended.
type Outcome int

// Outcomes of a claimed request.
const (
	// OutcomeComplete keeps the claim with its answer.
	OutcomeComplete Outcome = iota + 1
	// OutcomeNotRun releases the claim.
	OutcomeNotRun
	// OutcomeUnknown keeps the claim, so that the request never runs again.
	OutcomeUnknown
)

// Claim is one remembered key.
type Claim struct {
	Key         Key
	Shard       identifier.Shard
	Fingerprint identifier.Fingerprint
	Token       Token
	Done        bool
	Answer      []byte
	ExpiresAt   timer.Millis
}

// Handover is what an owner gives to the next one in a planned stop.
type Handover struct {
	Shard identifier.Shard
	Epoch identifier.Epoch
	// Claims hold the time left in ExpiresAt.
	Claims []Claim
	// ClaimsLost tells that the owner itself does not know the claims of an earlier
	// owner, LostAt and LostAge since when in Unix time and as a span.
	ClaimsLost bool
	LostAt     timer.Millis
	LostAge    timer.Millis
}
