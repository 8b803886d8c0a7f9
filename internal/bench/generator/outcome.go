package generator

// Outcome is the outcome of one request.
type Outcome string

// Outcomes of a request. Complete, NotRun and Unknown are reported by the system
// under test; the others are determined by the load tool.
const (
	Complete Outcome = "complete" // complete answer to its own request
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
	Failed   Outcome = "failed"  // complete answer with an error status
	Wrong    Outcome = "wrong"   // answer to another request
	Partial  Outcome = "partial" // incomplete answer
	Unsent   Outcome = "unsent"  // no connection; nothing was sent
)

// Reason gives the cause of an outcome.
type Reason string

// Reasons that the load tool determines itself.
const (
	ReasonDial          Reason = "dial"
	ReasonClientLimit   Reason = "client_limit"
	ReasonClientTimeout Reason = "client_timeout"
	ReasonClosed        Reason = "connection_closed"
	ReasonTransport     Reason = "transport"
	ReasonBroken        Reason = "broken_body"
)
