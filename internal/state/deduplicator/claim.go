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

// Request asks the owner of a key for permission to run a request.
type Request struct {
	Key         Key
	Shard       identifier.Shard
	Fingerprint identifier.Fingerprint
	Token       Token
	// Window is the deduplication window, for which the claim is kept.
	Window timer.Millis
}

// Verdict is the owner's answer to a claim.
type Verdict int

// Verdicts of a claim.
const (
	// Granted lets the request run.
	Granted Verdict = iota + 1
	// InProgress means that an earlier arrival is still running or that its
	// outcome is unknown.
	InProgress
	// Done means that an earlier arrival completed.
	Done
	// Mismatch means that the key was used with another request.
	Mismatch
	// OwnerLost means that an earlier run cannot be excluded.
	OwnerLost
	// Full means that the table has no room for another claim.
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

// Claim is the owner's entry for one key.
type Claim struct {
	Key         Key
	Shard       identifier.Shard
	Fingerprint identifier.Fingerprint
	Token       Token
	Done        bool
	Answer      []byte
	ExpiresAt   timer.Millis
}

// Handover carries the claims of a shard from its owner to the next one, at a
// planned stop or a move to a preferred daemon.
type Handover struct {
	Shard identifier.Shard
	Epoch identifier.Epoch
	// Claims hold in ExpiresAt the time left until they expire.
	Claims []Claim
	// ClaimsLost is set if the sender does not know the claims of an earlier
	// owner. LostAt (Unix time) and LostAge (time passed since) then say when the
	// ownership without these claims began.
	ClaimsLost bool
	LostAt     timer.Millis
	LostAge    timer.Millis
}
