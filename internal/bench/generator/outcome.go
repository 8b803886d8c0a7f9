package generator

// Outcome is what became of one request.
type Outcome string

// Outcomes of a request. Complete, NotRun and Unknown are what the system says;
// the others are what the load tool found.
const (
	Complete Outcome = "complete" // whole answer to its own request
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
	Failed   Outcome = "failed"  // complete answer with an error status
	Wrong    Outcome = "wrong"   // answer to another request
	Partial  Outcome = "partial" // answer that lacks a part
	Unsent   Outcome = "unsent"  // no connection; nothing was sent
)

// Reason says more about an outcome.
type Reason string

// Reasons that the load tool gives itself.
const (
	ReasonDial          Reason = "dial"
	ReasonClientLimit   Reason = "client_limit"
	ReasonClientTimeout Reason = "client_timeout"
	ReasonClosed        Reason = "connection_closed"
	ReasonTransport     Reason = "transport"
	ReasonBroken        Reason = "broken_body"
)
