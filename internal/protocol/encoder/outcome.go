package encoder

// Outcome says what became of a request.
type Outcome string

// Outcomes of a request. Only Complete carries a backend server's answer.
const (
	// Complete means that the answer is whole.
	Complete Outcome = "complete"
	// NotRun means that no backend server has run the request or ever will.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Reason explains an outcome other than Complete.
type Reason string

// Reasons that ingress gives. Admission adds those of its state machine.
const (
	ReasonBadRequest     Reason = "bad_request"
	ReasonTooLarge       Reason = "too_large"
	ReasonHeaderTooLarge Reason = "header_too_large"
	ReasonNoService      Reason = "no_service"
	ReasonNoInstance     Reason = "no_instance"
	ReasonNotConfigured  Reason = "not_configured"
	ReasonTooDeep        Reason = "too_deep"
	ReasonKeyRequired    Reason = "key_required"
	ReasonKeyMismatch    Reason = "key_mismatch"
	ReasonKeyInProgress  Reason = "key_in_progress"
	ReasonKeyDone        Reason = "key_already_run"
	ReasonOwnerLost      Reason = "key_owner_lost"
	ReasonNoOwner        Reason = "key_owner_unavailable"
	ReasonConnection     Reason = "connection_broken"
	ReasonDeadline       Reason = "deadline"
	ReasonCanceled       Reason = "canceled"
	ReasonIncomplete     Reason = "incomplete_answer"
	ReasonFenced         Reason = "fenced"
	ReasonDraining       Reason = "draining"
	ReasonTooManyRequest Reason = "too_many_requests"
	ReasonQuarantined    Reason = "quarantined"
	ReasonShed           Reason = "shed"
)

// Reasons of admission that mean that an instance takes no request at all.
const (
	ReasonDomainOut   Reason = "domain_out"
	ReasonIsolated    Reason = "isolated"
	ReasonUnavailable Reason = "unavailable"
	// ReasonSenderBehind means that the sender's configuration is too old.
	ReasonSenderBehind Reason = "sender_behind"
	// ReasonTooSlow means that a run is not expected to end in the time left.
	ReasonTooSlow Reason = "too_slow"
	// ReasonSlowed means that the VM is much slower than the sender assumed.
	ReasonSlowed Reason = "slowed"
)
