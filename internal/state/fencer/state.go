package fencer

// State is the recorded state of an attempt.
type State uint8

// States of an attempt.
const (
	// Unknown means that the attempt may have run; there is no record of it.
	Unknown State = iota
	// NotRun means that the attempt has not run and never will.
	NotRun
	// Queued means that the attempt waits in the admitter.
	Queued
	// Running means that the attempt was forwarded and has not ended.
	Running
	// Finished means that the attempt was forwarded and has ended.
	Finished
)

// String returns the name of the state as in section 7 of the design.
func (s State) String() string {
	switch s {
	case NotRun:
		return "not_run"
	case Queued:
		return "queued"
	case Running:
		return "running"
	case Finished:
		return "finished"
	default:
		return "unknown"
	}
}

// Arrival is the verdict on an arriving attempt.
type Arrival uint8

// Verdicts on an arriving attempt.
const (
	// Uncertain means that an attempt with this id may have run before, or that
	// the sender cannot be recorded: refuse with outcome unknown.
	Uncertain Arrival = iota
	// Admitted means that the attempt is new and may be queued.
	Admitted
	// Fenced means that the attempt never runs: refuse with outcome not_run.
	Fenced
	// Duplicate means that an attempt with this id is queued, runs or has run.
	// The outcome of the second arrival is unknown, since not_run would be
	// false for the id.
	Duplicate
)

// String returns the name of the verdict in logs and metrics.
func (a Arrival) String() string {
	switch a {
	case Admitted:
		return "admitted"
	case Fenced:
		return "fenced"
	case Duplicate:
		return "duplicate"
	default:
		return "uncertain"
	}
}
