package tracker

import "github.com/magnoliaknot/magnoliaknot/pkg/identifier"

// Event is an input to the tracker from outside the membership stream.
type Event interface{ event() }

// Observed is the result of a check of an instance by this daemon.
type Observed struct {
	Instance identifier.InstanceID
	Alive    bool
}

// Refused is a connection that an instance refused.
type Refused struct{ Instance identifier.InstanceID }

// Suspected is a watcher's suspicion that this daemon received.
type Suspected struct{ Suspect Suspect }

// Ticked arrives about once a second.
type Ticked struct {
	// LogConfirmed reports whether the end of the membership stream was
	// confirmed within the last seconds.
	LogConfirmed bool
}

func (Observed) event()  {}
func (Refused) event()   {}
func (Suspected) event() {}
func (Ticked) event()    {}

// Action is a request from the tracker to the daemon.
type Action interface{ action() }

// SendSuspicion asks to send a suspicion to every log reader that
// SuspicionReaders returns, this daemon included if it is one.
type SendSuspicion struct{ Suspect Suspect }

// AppendLeave asks to append a leave.
type AppendLeave struct{ Leave Leave }

func (SendSuspicion) action() {}
func (AppendLeave) action()   {}
