package retrier

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

// attemptState is what is known of an attempt that was sent.
type attemptState uint8

const (
	// pending: it may answer.
	pending attemptState = iota
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
	state    attemptState
	queries  uint8
	// uncounted says that no backend server got the attempt.
	uncounted bool
	// finished says that admission reported the attempt finished.
	finished bool
}

func (a *attempt) open() bool { return a.state == pending || a.state == broken }

// connectionLost notes that no answer can come. An attempt that is settled needs
// no proof.
func (a *attempt) connectionLost(now, stall timer.Millis, settled bool) {
	switch {
	case a.state != pending:
	case settled || a.finished:
		a.state = lost
	default:
		a.state, a.due, a.interval, a.queries = broken, now, stall, 0
	}
}

// reportedFinished notes that admission reported the attempt finished. Its answer
// is given one more stall timeout to arrive.
func (a *attempt) reportedFinished(now, stall timer.Millis) {
	switch {
	case a.state == broken:
		a.state = lost
	case a.state == pending && !a.finished:
		a.finished, a.due = true, now+stall
	}
}
