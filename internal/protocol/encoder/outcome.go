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
