package encoder

// Outcome is the outcome of a request.
type Outcome string

// Outcomes of a request. Only Complete comes with a backend server's response.
const (
	// Complete means that the response is whole.
	Complete Outcome = "complete"
	// NotRun means that no backend server has run or will ever run the request.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)
