// Package orderer decides which announcements of the backend servers on a VM are
// current.
//
// Announcements may arrive late, also after their sender has ended and another
// backend server has started on the VM. The time of day at which a backend server
// started orders its runs. That clock may be stepped, so a run that keeps announcing
// itself, or whose backend server answers the health check, is taken as current
// although an earlier one seems to have started later.
//
// An announcement may also come from another writer, with any value in any field. A
// single one does not replace a backend server that is known to be alive: one that
// answered the last health check and was not seen gone since. A later run of it counts
// after a second announcement, another backend server once it answers the health check.
// A leave of the known run counts whatever its sequence number.
//
// # Usage
//
//	o := orderer.New()
//	run, verdict := o.Accept(now, wall, orderer.Announcement{Backend: "i-1", Start: born, Sequence: 4})
//	if verdict == orderer.Unconfirmed {
//		// Check the health, call Found or Gone, and pass the announcement again.
//	}
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
	// claimAnnouncements and claimSpan are the same for a run that says it started later.
	claimAnnouncements = 2
	claimSpan          = timer.Second
	// maxAhead is how far ahead of the time of day a start may be. The clock may have been
	// set back since; the run has to show then that it is current.
	maxAhead = timer.Minute
)

// Verdict says whether an announcement counts.
type Verdict int

// Verdicts on announcements.
const (
	// Outdated means that the announcement is older than the known state.
	Outdated Verdict = iota
	// Unconfirmed means that the announcement may come from another writer; a health check
	// or further announcements show whether it does.
	Unconfirmed
	// Current means that the announcement holds.
	Current
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
	// announced counts the announcements of the known run.
	announced int
	rival     rival
	// found is the backend server that answered the last health check since the known run
	// is current. It is empty if none did.
	found identifier.BackendID
	// gone says that the known run could not be reached since its last announcement.
	gone bool
}

// rival is a run other than the known one that has announced itself.
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

// Gone records that the known run cannot be reached.
func (o *Orderer) Gone() { o.gone, o.found = true, "" }

// Accept returns the verdict on an announcement and the number of the current run. Wall is
// the time of day in Unix ms.
func (o *Orderer) Accept(now, wall timer.Millis, a Announcement) (Run, Verdict) {
	if a.Start == 0 {
		return o.acceptUndated(wall, a)
	}
	if verdict := o.verdict(now, wall, a); verdict != Current {
		return o.run, verdict
	}
	if !o.isKnownRun(a) {
		o.run++
		o.announced, o.found = 0, "" // The last health check was answered before the change.
	}
	o.known, o.rival, o.gone = a, rival{}, false
	o.announced++
	return o.run, Current
}

// isKnownRun reports whether an announcement is one of the known run.
func (o *Orderer) isKnownRun(a Announcement) bool {
	return a.Start == o.known.Start && a.Backend == o.known.Backend
}

// acceptUndated handles the leave of a run whose start is not known. Nothing else is
// announced without a start.
func (o *Orderer) acceptUndated(wall timer.Millis, a Announcement) (Run, Verdict) {
	switch {
	case !a.Leaving:
		return o.run, Outdated
	case !o.Known():
		// A late announcement of that run may still arrive, and one of a later run at
		// any time.
		a.Start, a.Presumed = identifier.Incarnation(wall), true
		o.known = a
		o.run++
	case o.known.Backend != a.Backend || o.known.Presumed:
		return o.run, Outdated // From an earlier backend server on this VM, or repeated.
	default:
		a.Start = o.known.Start
		o.known = a
	}
	return o.run, Current
}

// verdict returns the verdict on a dated announcement.
func (o *Orderer) verdict(now, wall timer.Millis, a Announcement) Verdict {
	switch {
	case int64(a.Start) < 0 || timer.Millis(a.Start)-wall > maxAhead:
		return o.claim(now, a, rivalAnnouncements, rivalSpan)
	case !o.Known():
		return Current
	case o.isKnownRun(a):
		return o.verdictOnKnownRun(now, a)
	case o.known.Presumed && o.known.Backend != a.Backend:
		return Current
	case a.Start < o.known.Start || a.Start == o.known.Start && a.Sequence < o.known.Sequence:
		return o.verdictOnEarlier(now, a)
	case !o.alive():
		return Current
	case a.Backend != o.known.Backend:
		return Unconfirmed
	}
	return o.claim(now, a, claimAnnouncements, claimSpan)
}

// alive reports whether the known run answered a health check and was not seen gone since.
func (o *Orderer) alive() bool { return !o.gone && o.found == o.known.Backend }

// verdictOnKnownRun returns the verdict on an announcement of the known run. A leave is
// final. A sequence number that is far too high may come from another writer, so lower ones
// count again once several have arrived in order.
func (o *Orderer) verdictOnKnownRun(now timer.Millis, a Announcement) Verdict {
	switch {
	case a.Leaving:
		return Current
	case o.known.Leaving:
		return Outdated
	case a.Sequence < o.known.Sequence:
		return o.persists(now, a, rivalAnnouncements, rivalSpan)
	}
	return Current
}

// verdictOnEarlier returns the verdict on a run that seems to be earlier than the known one.
func (o *Orderer) verdictOnEarlier(now timer.Millis, a Announcement) Verdict {
	switch {
	case a.Leaving && a.Backend == o.known.Backend && o.announced == 1 && !o.known.Leaving && !o.gone:
		// The known run has said so only once. If it is the later one all the same, its
		// next announcement shows it.
		return Current
	case a.Leaving, o.known.Presumed:
		return Outdated // In the second case it may be the run that left.
	case a.Backend == o.found && a.Backend != o.known.Backend:
		return Current
	}
	return o.persists(now, a, rivalAnnouncements, rivalSpan)
}

// claim is persists for a run that says it started later.
func (o *Orderer) claim(now timer.Millis, a Announcement, announcements int, span timer.Millis) Verdict {
	if o.persists(now, a, announcements, span) == Current {
		return Current
	}
	return Unconfirmed
}

// persists returns Current if a run has made a number of announcements in order over a time
// span while the known run made none.
func (o *Orderer) persists(now timer.Millis, a Announcement, announcements int, span timer.Millis) Verdict {
	if a.Backend != o.rival.backend || a.Start != o.rival.start {
		o.rival = rival{backend: a.Backend, start: a.Start, sequence: a.Sequence, since: now, count: 1}
		return Outdated
	}
	if a.Sequence > o.rival.sequence {
		o.rival.sequence = a.Sequence
		o.rival.count++
	}
	if o.rival.count >= announcements && now-o.rival.since >= span {
		return Current
	}
	return Outdated
}
