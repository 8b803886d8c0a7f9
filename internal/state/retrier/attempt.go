package retrier

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

// fate is what is known of an attempt that was sent.
type fate uint8

const (
	// pending: it may answer.
	pending fate = iota
	// broken: it cannot answer and may have run; a query may prove the contrary.
	broken
	// lost: it cannot answer and may have run; nothing more is done about it.
	lost
	// notRun: proven not to have run.
	notRun
	// answered: its complete answer has come.
	answered
)

// attempt is one attempt of the request.
type attempt struct {
	// due is the time of the next query, or of giving up.
	due      timer.Millis
	interval timer.Millis
	fate     fate
	queries  uint8
	// free says that no backend server got the attempt.
	free bool
	// finished says that admission reported the attempt finished.
	finished bool
}

func (a *attempt) open() bool { return a.fate == pending || a.fate == broken }

// breakOff notes that no answer can come. An attempt that is settled needs
// no proof.
func (a *attempt) breakOff(now, stall timer.Millis, settled bool) {
	switch {
	case a.fate != pending:
	case settled || a.finished:
		a.fate = lost
	default:
		a.fate, a.due, a.interval, a.queries = broken, now, stall, 0
	}
}

// finishedThere notes that admission reported the attempt finished. Its answer
// is given one more stall timeout to arrive.
func (a *attempt) finishedThere(now, stall timer.Millis) {
	switch {
	case a.fate == broken:
		a.fate = lost
	case a.fate == pending && !a.finished:
		a.finished, a.due = true, now+stall
	}
}
