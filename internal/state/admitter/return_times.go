package admitter

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

// maxReturning bounds the accounts in returnTimes.
const maxReturning = 256

// returnTimes spreads the returns of refused callers over the starts to come, in rounds
// in which each account gets one. An account with many refusals therefore delays its
// own returns and not those of others.
type returnTimes struct {
	// last holds the latest return time of each account that has one to come, accounts
	// the number of them in each class.
	last     map[flowKey]timer.Millis
	accounts map[classKey]int
}

// next returns after how long a caller that is refused now is told to return: not
// before its expected start, and earlier in the round by the time that it has already
// waited. The interval is the time between two starts.
func (r *returnTimes) next(now timer.Millis, key flowKey, wait, waited, interval timer.Millis) timer.Millis {
	if r.last == nil {
		r.last, r.accounts = make(map[flowKey]timer.Millis), make(map[classKey]int)
	}
	round := timer.Millis(r.accounts[key.class]) * interval
	turn := now + wait + round
	last, returning := r.last[key]
	switch {
	case returning:
		turn = max(now+wait, last+max(interval, round))
	case len(r.last) < maxReturning:
		r.accounts[key.class]++
	default:
		return min(turn-now, maxReturn)
	}
	r.last[key] = min(turn, now+maxReturn)
	return min(max(now+wait, turn-waited), now+maxReturn) - now
}

// forget removes the return times that are over.
func (r *returnTimes) forget(now timer.Millis) {
	for key, at := range r.last {
		if at > now {
			continue
		}
		delete(r.last, key)
		if r.accounts[key.class]--; r.accounts[key.class] == 0 {
			delete(r.accounts, key.class)
		}
	}
}
