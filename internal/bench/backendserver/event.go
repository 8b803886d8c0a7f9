package backendserver

import (
	"time"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// RequestNumber identifies one request inside the server.
type RequestNumber uint64

// Event is an input of a Machine.
type Event interface{ event() }

// Events of a Machine.
type (
	// Arrived is a request that was read.
	Arrived struct {
		Number RequestNumber
		Marked bool // contains the crash marker
	}
	// Finished is a request whose service time is over.
	Finished struct{ Number RequestNumber }
	// Expired is a request whose deadline passed while it was queued or ran.
	Expired struct{ Number RequestNumber }
	// FaultInjected puts a fault in force.
	FaultInjected struct{ Fault Fault }
	// Restarted starts the server again after a crash.
	Restarted struct{ Incarnation identifier.Incarnation }
)

func (Arrived) event()       {}
func (Finished) event()      {}
func (Expired) event()       {}
func (FaultInjected) event() {}
func (Restarted) event()     {}

// Action is an output of a Machine.
type Action interface{ action() }

// Actions of a Machine.
type (
	// Start runs a request for a time.
	Start struct {
		Number      RequestNumber
		ServiceTime time.Duration
	}
	// Shed refuses a request that did not run.
	Shed struct {
		Number RequestNumber
		Reason ShedReason
	}
	// CloseUnanswered closes the connection of a request. Ran says that the
	// request took effect.
	CloseUnanswered struct {
		Number RequestNumber
		Ran    bool
	}
	// Crash breaks all connections; all tickets end.
	Crash struct{ Reason CrashReason }
)

func (Start) action()           {}
func (Shed) action()            {}
func (CloseUnanswered) action() {}
func (Crash) action()           {}

// ShedReason says why a request was refused.
type ShedReason string

// Reasons of refusals.
const (
	ShedOverloaded ShedReason = "overloaded"
	ShedStarting   ShedReason = "starting"
)

// CrashReason says why the server crashed.
type CrashReason string

// Reasons of crashes.
const (
	CrashMarked CrashReason = "marked request"
	CrashCold   CrashReason = "overloaded while cold"
	CrashFault  CrashReason = "fault"
)
