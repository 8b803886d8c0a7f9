// Package orderer decides which announcements of the backend servers on a VM are
// current.
//
// Announcements may arrive late, also after their sender has ended and another
// backend server has started on the VM. The time of day at which a backend server
// started orders its runs. That clock may be stepped, so a run that keeps announcing
// itself, or whose backend server answers the health check, is taken as current
// although an earlier one seems to have started later.
//
// # Usage
//
//	o := orderer.New()
//	run, current := o.Accept(now, wall, orderer.Announcement{Backend: "i-1", Start: born, Sequence: 4})
//
// An Orderer is not safe for concurrent use; its owner serialises calls.
package orderer

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// rivalAnnouncements and rivalSpan are the number of announcements of a run that
	// seems to be an earlier one, and the time over which they arrive, from which it is
	// taken as current. Announcements that a network held up arrive together.
	rivalAnnouncements = 3
	rivalSpan          = 3 * timer.Second
)

// Announcement is what orders an announcement.
type Announcement struct {
	Backend identifier.BackendID
	// Start is the start of the run in Unix ms by the clock of the VM. Zero in the
	// announcement of a leave means that it does not say.
	Start identifier.Incarnation
	// Presumed says that Start is the time of the leave of a run whose start is not known.
	Presumed bool
	// Sequence orders the announcements of one run.
	Sequence uint64
	Leaving  bool
}

// Run numbers the runs that were current, from 1.
type Run uint64

// Orderer holds the current run.
type Orderer struct {
	known Announcement
	run   Run
	rival rival
	// found is the backend server that answered the last health check.
	found identifier.BackendID
}

// rival is a run that seems to be earlier than the known one.
type rival struct {
	backend  identifier.BackendID
	start    identifier.Incarnation
	sequence uint64
	since    timer.Millis
	count    int
}

// New returns an Orderer without a current run.
func New() *Orderer { return &Orderer{} }

// Known reports whether a backend server is known.
func (o *Orderer) Known() bool { return o.known.Backend != "" }

// Start returns the start of the current run in Unix ms.
func (o *Orderer) Start() identifier.Incarnation { return o.known.Start }

// Presumed reports whether Start is the time of the leave of a run whose start is not known.
func (o *Orderer) Presumed() bool { return o.known.Presumed }

// Found records that a backend server answered the health check.
func (o *Orderer) Found(backend identifier.BackendID) { o.found = backend }

// Accept reports whether an announcement is current and returns the number of its
// run. Wall is the time of day in Unix ms.
func (o *Orderer) Accept(now, wall timer.Millis, a Announcement) (Run, bool) {
	if a.Start == 0 {
		return o.acceptUndated(wall, a)
	}
	if o.outdated(a) && !o.replaces(now, a) {
		return o.run, false
	}
	if a.Start != o.known.Start || a.Backend != o.known.Backend {
		o.run++
	}
	if a.Backend != o.known.Backend {
		o.found = "" // The last health check was answered before the change.
	}
	o.known, o.rival = a, rival{}
	return o.run, true
}

// acceptUndated handles the leave of a run whose start is not known.
func (o *Orderer) acceptUndated(wall timer.Millis, a Announcement) (Run, bool) {
	switch {
	case !o.Known():
		// A late announcement of that run may still arrive, and one of a later run at
		// any time.
		a.Start, a.Presumed = identifier.Incarnation(wall), true
		o.known = a
		o.run++
	case o.known.Backend != a.Backend || o.known.Presumed:
		return o.run, false // From an earlier backend server on this VM, or repeated.
	default:
		a.Start = o.known.Start
		if a.Sequence < o.known.Sequence {
			return o.run, false
		}
		o.known = a
	}
	return o.run, true
}

// outdated reports whether an announcement is older than the known state.
func (o *Orderer) outdated(a Announcement) bool {
	known := o.known
	switch {
	case o.known.Presumed && known.Backend != a.Backend:
		return false
	case a.Start != known.Start:
		return a.Start < known.Start
	}
	return a.Sequence < known.Sequence || known.Leaving && !a.Leaving
}

// replaces reports whether a run that seems to be earlier than the known one has
// shown that it is current.
func (o *Orderer) replaces(now timer.Millis, a Announcement) bool {
	switch {
	case a.Start == o.known.Start && a.Backend == o.known.Backend, a.Leaving:
		return false
	case o.known.Presumed:
		return false // It may be the run that left.
	case a.Backend == o.found && a.Backend != o.known.Backend:
		return true
	case a.Backend != o.rival.backend || a.Start != o.rival.start:
		o.rival = rival{backend: a.Backend, start: a.Start, sequence: a.Sequence, since: now, count: 1}
		return false
	case a.Sequence <= o.rival.sequence:
		return false
	}
	o.rival.sequence = a.Sequence
	o.rival.count++
	return o.rival.count >= rivalAnnouncements && now-o.rival.since >= rivalSpan
}
