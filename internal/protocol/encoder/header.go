// Package encoder defines the headers between callers, daemons and backend
// servers and encodes the values they carry.
//
// Callers see Service, Timeout, Depth, Outcome, Reason and RetryAfter. The
// headers Attempt, Version, Solo, Load, WantLoad, Urgency, Target and TargetVersion are used only
// between daemons; ingress removes them from callers' requests.
//
// # Usage
//
//	var attempt encoder.Attempt
//	err := attempt.Decode(&x.Request.Header)
//	...
//	encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.Draining}.WriteResponse(&x.Response)
package encoder

import "slices"

// Headers that callers and backend servers see.
const (
	HeaderService        = "Magnoliaknot-Service"
	HeaderTimeout        = "Magnoliaknot-Timeout-Ms"
	HeaderDepth          = "Magnoliaknot-Depth"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = "Magnoliaknot-Outcome"
	HeaderReason         = "Magnoliaknot-Reason"
	HeaderRetryAfterMs   = "Magnoliaknot-Retry-After-Ms"
	HeaderRetryAfter     = "Retry-After"
	HeaderReplayed       = "Magnoliaknot-Replayed"
	HeaderInstance       = "Magnoliaknot-Instance"
)

// Headers between daemons.
const (
	HeaderAttempt  = "Magnoliaknot-Attempt"
	HeaderVersion  = "Magnoliaknot-Configuration-Version"
	HeaderSolo     = "Magnoliaknot-Solo"
	HeaderLoad     = "Magnoliaknot-Load"
	HeaderWantLoad = "Magnoliaknot-Want-Load"
	HeaderUrgency  = "Magnoliaknot-Urgency"
	HeaderTarget   = "Magnoliaknot-Target"
	// HeaderTargetVersion names the version that the sender chose in a roll-out.
	HeaderTargetVersion = "Magnoliaknot-Version"
)

// ReadHeaders returns the headers that ingress and admission read and pass on.
func ReadHeaders() []string {
	return []string{HeaderService, HeaderTimeout, HeaderDepth, HeaderIdempotencyKey}
}

// InternalHeaders returns the headers that ingress removes from callers' requests.
func InternalHeaders() []string { return slices.Clone(internalHeaders) }

// internalHeaders lists the headers that ingress removes from callers' requests.
var internalHeaders = []string{HeaderAttempt, HeaderVersion, HeaderSolo, HeaderLoad, HeaderWantLoad, HeaderUrgency, HeaderTarget, HeaderTargetVersion}
