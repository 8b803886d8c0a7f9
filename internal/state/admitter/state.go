package admitter

// BackendState is the state that the backend server announces. Within an
// incarnation it only advances.
type BackendState uint8

// States of a backend server.
const (
	// Unannounced means that no announcement has been received.
	Unannounced BackendState = iota
	// Starting means that it does not accept requests yet.
	Starting
	// Ready means that it accepts requests.
	Ready
	// Draining means that it accepts no new requests.
	Draining
)

// String returns the name of the state as used in announcements.
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
