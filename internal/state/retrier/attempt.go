package retrier

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

// attemptState is what is known of an attempt that was sent.
type attemptState uint8

const (
	// pending means that the attempt may still answer.
	pending attemptState = iota
	// broken means that the attempt cannot answer and may have run; a query may
	// prove that it has not.
	broken
	// lost means that the attempt cannot answer and may have run. It is not
	// queried again.
	lost
	// notRun means that the attempt is proven not to have run.
	notRun
	// answered means that the complete answer was received.
	answered
)

// attempt is the state of one attempt of the request.
type attempt struct {
	// due is the time at which the attempt is queried next or given up.
	due      timer.Millis
	interval timer.Millis
	state    attemptState
	queries  uint8
	// uncounted says that the attempt was refused before it reached a backend
	// server.
	uncounted bool
	// finished says that admission reported the attempt finished.
	finished bool
}

func (a *attempt) open() bool { return a.state == pending || a.state == broken }

// connectionLost records that no answer can arrive. The attempt is queried unless
// noQuery is set.
func (a *attempt) connectionLost(now, stall timer.Millis, noQuery bool) {
	switch {
	case a.state != pending:
	case noQuery || a.finished:
		a.state = lost
	default:
		a.state, a.due, a.interval, a.queries = broken, now, stall, 0
	}
}

// reportedFinished records that admission reported the attempt finished. The
// answer must arrive within another stall timeout.
func (a *attempt) reportedFinished(now, stall timer.Millis) {
	switch {
	case a.state == broken:
		a.state = lost
	case a.state == pending && !a.finished:
		a.finished, a.due = true, now+stall
	}
}
