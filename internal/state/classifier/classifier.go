// Package classifier defines the reasons why a request or an attempt ended without
// an answer. The same reasons are sent between daemons and appear in refusals, logs
// and metrics.
//
// # Usage
//
//	refusal := encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.Overloaded}
package classifier

// Reason is why an attempt or a request has no answer from a backend server.
type Reason string

// Reasons for which a request is not sent to an instance.
const (
	BadRequest     Reason = "bad_request"
	TooLarge       Reason = "too_large"
	HeaderTooLarge Reason = "header_too_large"
	NoService      Reason = "no_service"
	// NoInstance means that no instance was left to try.
	NoInstance       Reason = "no_instance"
	NotConfigured    Reason = "not_configured"
	TooDeep          Reason = "too_deep"
	KeyRequired      Reason = "key_required"
	KeyMismatch      Reason = "key_mismatch"
	KeyInProgress    Reason = "key_in_progress"
	KeyAlreadyRun    Reason = "key_already_run"
	OwnerLost        Reason = "key_owner_lost"
	OwnerUnavailable Reason = "key_owner_unavailable"
	TooManyRequests  Reason = "too_many_requests"
)

// Reasons for which admission refuses an attempt.
const (
	// Overloaded means that the queue is full or the wait would be too long.
	Overloaded Reason = "overloaded"
	// Cold means the same as Overloaded while the cold limit is the lowest one, or
	// that the backend server is starting.
	Cold Reason = "cold"
	// RateLimited means that the rate of requests that the backend server takes is used
	// up.
	RateLimited Reason = "rate_limited"
	// ConfigBehind means that the sender has a newer configuration.
	ConfigBehind Reason = "config_behind"
	// SenderBehind means that the sender's configuration is too old. Other instances
	// of the service refuse the attempt too.
	SenderBehind Reason = "sender_behind"
	// TooSlow means that a run is not expected to end within the remaining time.
	TooSlow Reason = "too_slow"
	// Slowed means that the VM is much slower than the sender assumed.
	Slowed Reason = "slowed"
	// VersionNotInService means that the roll-out of the service sends no requests, or not
	// this one, to the version of the backend server.
	VersionNotInService Reason = "version_not_in_service"
	// Shed means that the backend server rejected the attempt.
	Shed Reason = "shed"
	// Quarantined means that the request crashes backend servers. Every instance of
	// the service refuses it, so it is not retried.
	Quarantined Reason = "quarantined"
)

// Reasons for which an instance accepts no requests.
const (
	// Draining means that the daemon or its backend server is stopping.
	Draining Reason = "draining"
	// DomainOut means that the failure domain is out of service.
	DomainOut Reason = "domain_out"
	// Isolated means that neither the log nor a peer has answered for too long.
	Isolated Reason = "isolated"
	// Unavailable means that no backend server has announced itself or can be
	// reached.
	Unavailable Reason = "unavailable"
)

// Reasons for the end of an attempt that was sent.
const (
	ConnectionBroken Reason = "connection_broken"
	IncompleteAnswer Reason = "incomplete_answer"
	// Deadline means that the caller's deadline has passed or that no caller waits
	// any more.
	Deadline Reason = "deadline"
	// Canceled means that the sender canceled the attempt.
	Canceled   Reason = "canceled"
	CallerGone Reason = "caller_gone"
	// Fenced means that a query proved that the attempt did not start.
	Fenced Reason = "fenced"
	// NoAnswer means that an attempt may have run without a complete answer.
	NoAnswer Reason = "no_answer"
)
