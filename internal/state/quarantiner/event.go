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
	// Solo means that the request was started to run alone.
	Solo bool
}

// Crash reports that the backend server crashed while requests were running. A
// single running request counts as solo unless Uncertain is set, which means that
// something else may have caused the crash. After a first crash the requests are
// suspects; a suspect is quarantined if the server crashes while it runs solo.
type Crash struct {
	Running   []Running
	Uncertain bool
}

// Complete reports that an attempt ended without a crash. Good means that the
// backend server answered it; a time-out or shed attempt is not good.
type Complete struct {
	Fingerprint identifier.Fingerprint
	Solo        bool
	Good        bool
}

// Remote is an entry of another daemon. Such entries may arrive late, repeatedly
// and in any order.
type Remote struct{ Entry Entry }

// Settings changes the period for which new suspect and quarantine entries are
// valid.
type Settings struct{ Period timer.Millis }

// Tick removes expired entries.
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

// VerdictChanged reports that an event changed the verdict on a fingerprint. A
// change through expiry is not reported; Verdict takes it into account.
type VerdictChanged struct {
	Fingerprint identifier.Fingerprint
	Verdict     Verdict
	TimeLeft    timer.Millis
}

func (Broadcast) action()      {}
func (VerdictChanged) action() {}
