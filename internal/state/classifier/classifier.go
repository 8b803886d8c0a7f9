// Package classifier names why a request or an attempt did not end with an answer.
// The same reasons travel between daemons and stand in refusals, logs and metrics.
//
// # Usage
//
//	refusal := encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.Overloaded}
package classifier

// Reason says why an attempt or a request has no answer of a backend server.
type Reason string

// Reasons for which a request is not placed.
const (
	BadRequest     Reason = "bad_request"
	TooLarge       Reason = "too_large"
	HeaderTooLarge Reason = "header_too_large"
	NoService      Reason = "no_service"
	// NoInstance means that no instance was left for an attempt.
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
	// Overloaded means that the queue is full or the wait too long.
	Overloaded Reason = "overloaded"
	// Cold is Overloaded while the cold limit is the lowest, or means that the
	// backend server is starting.
	Cold Reason = "cold"
	// ConfigBehind means that the sender has a newer configuration.
	ConfigBehind Reason = "config_behind"
	// SenderBehind means that the sender's configuration is too old. Other instances
	// of the service refuse the attempt too.
	SenderBehind Reason = "sender_behind"
	// TooSlow means that a run is not expected to end in the time left.
	TooSlow Reason = "too_slow"
	// Slowed means that the VM is much slower than the sender assumed.
	Slowed Reason = "slowed"
	// Shed means that the backend server declined it.
	Shed Reason = "shed"
	// Quarantined means that the request crashes backend servers. Every instance of
	// the service refuses it, so it is not retried.
	Quarantined Reason = "quarantined"
)

// Reasons for which an instance takes no request at all.
const (
	// Draining means that the daemon or its backend server stops.
	Draining Reason = "draining"
	// DomainOut means that the failure domain is out of service.
	DomainOut Reason = "domain_out"
	// Isolated means that neither the log nor a peer has been heard of.
	Isolated Reason = "isolated"
	// Unavailable means that no backend server has announced itself or can be
	// reached.
	Unavailable Reason = "unavailable"
)

// Reasons for the end of an attempt that was sent.
const (
	ConnectionBroken Reason = "connection_broken"
	IncompleteAnswer Reason = "incomplete_answer"
	// Deadline means that the caller's time ended or nobody waits.
	Deadline Reason = "deadline"
	// Canceled means that the sender gave the attempt up.
	Canceled   Reason = "canceled"
	CallerGone Reason = "caller_gone"
	// Fenced means that a query proved that the attempt did not start.
	Fenced Reason = "fenced"
	// NoAnswer means that an attempt may have run without a complete answer.
	NoAnswer Reason = "no_answer"
)
