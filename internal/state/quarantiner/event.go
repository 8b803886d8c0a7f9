package quarantiner

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Event is an input of Step.
type Event interface{ event() }

// Running is a request that ran when the backend server crashed.
type Running struct {
	Fingerprint    identifier.Fingerprint
	HasFingerprint bool
	// Solo means that it was started as the only request.
	Solo bool
}

// Crash says that the backend server died with requests running. One running
// request counts as solo unless Uncertain is set, which means that something
// else may have caused the crash. A first crash makes suspects, the crash of a
// suspect that ran solo quarantines it.
type Crash struct {
	Running   []Running
	Uncertain bool
}

// Complete says that an attempt ended without a crash. Good means that the
// backend server answered it; a time-out or shed attempt is not good.
type Complete struct {
	Fingerprint identifier.Fingerprint
	Solo        bool
	Good        bool
}

// Remote is an entry of another daemon. It may come late, repeatedly and in any
// order.
type Remote struct{ Entry Entry }

// Settings changes the period of new suspicions and quarantines.
type Settings struct{ Period timer.Millis }

// Tick drops expired entries.
type Tick struct{}

func (Crash) event()    {}
func (Complete) event() {}
func (Remote) event()   {}
func (Settings) event() {}
func (Tick) event()     {}

// Action is an output of Step.
type Action interface{ action() }

// Broadcast asks the owner to send an entry to the other daemons of the service.
type Broadcast struct{ Entry Entry }

// VerdictChanged says that the verdict on a fingerprint changed through an event.
// Expiry is not reported; Verdict takes it into account.
type VerdictChanged struct {
	Fingerprint identifier.Fingerprint
	Verdict     Verdict
	TimeLeft    timer.Millis
}

func (Broadcast) action()      {}
func (VerdictChanged) action() {}
