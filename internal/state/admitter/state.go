package admitter

// BackendState is what the backend server says of itself. It only moves forward
// within an incarnation.
type BackendState uint8

// States of a backend server.
const (
	// Unannounced means that no announcement has been received.
	Unannounced BackendState = iota
	// Starting means that it does not take requests yet.
	Starting
	// Ready means that it takes requests.
	Ready
	// Draining means that it takes no new requests.
	Draining
)

// String names the state as the announcement does.
func (s BackendState) String() string {
	switch s {
	case Starting:
		return "starting"
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	default:
		return "unannounced"
	}
}
