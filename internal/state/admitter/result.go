package admitter

// Result is how a started attempt ended.
type Result uint8

// Results of started attempts.
const (
	// OK is a complete answer.
	OK Result = iota
	// Failed is a complete answer that reports an error of the backend server.
	Failed
	// Shed means that the backend server rejected the attempt because of its load.
	Shed
	// TimedOut means that no answer arrived within the remaining time.
	TimedOut
	// ConnectionRefused means that no connection could be opened.
	ConnectionRefused
	// Crashed means that the connection broke before the answer arrived.
	Crashed
)

// String returns the name of the result in logs and metrics.
func (r Result) String() string {
	switch r {
	case OK:
		return "ok"
	case Failed:
		return "failed"
	case Shed:
		return "shed"
	case TimedOut:
		return "timed_out"
	case ConnectionRefused:
		return "connection_refused"
	case Crashed:
		return "crashed"
	default:
		return "unknown"
	}
}
