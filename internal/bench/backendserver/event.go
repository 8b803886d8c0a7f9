package backendserver

import (
	"time"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// RequestNumber identifies a request within the server.
type RequestNumber uint64

// Event is an input of a StateMachine.
type Event interface{ event() }

// Events of a StateMachine.
type (
	// Arrived reports a request that has been read.
	Arrived struct {
		Number RequestNumber
		Marked bool // contains the crash marker
	}
	// Finished reports a request whose service time is over.
	Finished struct{ Number RequestNumber }
	// Expired reports a request whose deadline passed while it was queued or
	// running.
	Expired struct{ Number RequestNumber }
	// FaultInjected activates a fault.
	FaultInjected struct{ Fault Fault }
	// Restarted starts the server again after a crash.
	Restarted struct{ Incarnation identifier.Incarnation }
)

func (Arrived) event()       {}
func (Finished) event()      {}
func (Expired) event()       {}
func (FaultInjected) event() {}
func (Restarted) event()     {}

// Action is an output of a StateMachine.
type Action interface{ action() }

// Actions of a StateMachine.
type (
	// Start runs a request for its service time.
	Start struct {
		Number      RequestNumber
		ServiceTime time.Duration
	}
	// Shed refuses a request without running it.
	Shed struct {
		Number RequestNumber
		Reason ShedReason
	}
	// CloseUnanswered closes the connection of a request without an answer. Ran
	// says whether the request took effect.
	CloseUnanswered struct {
		Number RequestNumber
		Ran    bool
	}
	// Crash breaks all connections and ends all requests.
	Crash struct{ Reason CrashReason }
)

func (Start) action()           {}
func (Shed) action()            {}
func (CloseUnanswered) action() {}
func (Crash) action()           {}

// ShedReason says why a request was shed.
type ShedReason string

// Reasons for shedding a request.
const (
	ShedOverloaded ShedReason = "overloaded"
	ShedStarting   ShedReason = "starting"
)

// CrashReason says why the server crashed.
type CrashReason string

// Reasons for a crash.
const (
	CrashMarked CrashReason = "request with crash marker"
	CrashCold   CrashReason = "overloaded while cold"
	CrashFault  CrashReason = "fault"
)
