package admitter

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

const (
	// allowanceBurst is the time whose starts may come at once.
	allowanceBurst = 2 * timer.Second
	// minRate is the lowest rate in use. Only an answer can lift a limit, and without
	// starts there may be none.
	minRate = Rate(0.25)
	// maxReturn bounds the time after which refused callers are told to return.
	maxReturn = timer.Second
	// wholeStart is the number of starts from which one is allowed. It is below 1
	// because of rounding.
	wholeStart = 1 - 1e-9
)

// allowance bounds the mean rate of starts at a backend server that names one. It is a
// token bucket.
type allowance struct {
	limit  RateLimit
	starts float64
	at     timer.Millis
	// returnAt is when the caller that was refused last is told to return.
	returnAt timer.Millis
}

// set applies a limit. A new one begins without starts, since the backend server has
// just got more than it takes, from this daemon or from the one before it.
func (l *allowance) set(now timer.Millis, limit RateLimit) {
	l.refill(now)
	limit.Rate = max(minRate, limit.Rate)
	if !l.limit.Limited {
		l.starts, l.at = 0, now
	}
	l.limit = limit
	l.starts = min(l.starts, l.burst())
}

func (l *allowance) burst() float64 {
	return max(1, float64(l.limit.Rate)*float64(allowanceBurst)/float64(timer.Second))
}

func (l *allowance) refill(now timer.Millis) {
	if l.limit.Limited {
		l.starts = min(l.burst(), l.starts+float64(l.limit.Rate)*float64(now-l.at)/float64(timer.Second))
	}
	l.at = now
}

func (l *allowance) started(now timer.Millis) {
	if l.limit.Limited {
		l.refill(now)
		l.starts--
	}
}

func (l *allowance) allows(now timer.Millis) bool { return l.wait(now, 1) == 0 }

// wait returns how long the attempt at a position in the queue, counted from 1, waits
// because of the rate.
func (l *allowance) wait(now timer.Millis, position int) timer.Millis {
	l.refill(now)
	missing := float64(position) - 1 + wholeStart - l.starts
	if !l.limit.Limited || missing <= 0 {
		return 0
	}
	return max(1, timer.Millis(missing*float64(timer.Second)/float64(l.limit.Rate)+1))
}

// nextReturn returns after how long a caller that is refused now is told to return.
// Callers are spread over the starts to come, so that they do not return together.
func (l *allowance) nextReturn(now timer.Millis, position int) timer.Millis {
	interval := timer.Millis(float64(timer.Second) / float64(l.limit.Rate))
	l.returnAt = min(max(now+l.wait(now, position), l.returnAt+interval), now+maxReturn)
	return l.returnAt - now
}
