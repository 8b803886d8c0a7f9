package throttler

import (
	"math"

	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// offeredWindow is the time over which the present rate is counted. A shorter one
	// makes the rate of small accounts too noisy, a longer one delays the limit.
	offeredWindow = 500 * timer.Millis(1)
	// historyWindow is the time constant of the mean rate that a daemon without an
	// answer relies on.
	historyWindow = 10 * timer.Second
	// growthWithoutAnswer is the factor by which requests may exceed their mean.
	growthWithoutAnswer = 1.25
	// minHistory is the mean rate below which the history of a daemon is chance: fewer
	// than 3 requests in historyWindow.
	minHistory = 0.3
	// shareWithoutHistory is the part of an equal division of the quota that a daemon
	// without history may admit. The daemons with history have the rest.
	shareWithoutHistory = 0.7
	// spareRate and spareRequests are the tokens that all daemons together may start
	// with: seconds of the rate, and a number. With growthWithoutAnswer they stay within
	// the tolerance of the quota over 5 s, 10 % and 20 requests, and leave room for the
	// requests that were admitted before the missing answer was noticed.
	spareRate     = 0.4
	spareRequests = 13
	// meteredSpan is the time of its rate that a metered account may admit at once without
	// an answer, in seconds.
	meteredSpan = 0.4
)

// entry is the state of one account at a daemon.
type entry struct {
	key   AccountKey
	quota router.Quota
	// share is the part admitted while the coordinator answers, and credit the sum of
	// shares since the last request that was admitted.
	share  Share
	credit float64

	// windowStart, current and previous count the requests in two adjacent windows.
	windowStart       timer.Millis
	current, previous uint32

	// mean is the mean rate of admitted requests as of meanAt.
	mean   float64
	meanAt timer.Millis

	// tokens are those left without an answer since cutoff, as of tokensAt.
	tokens           float64
	tokensAt, cutOff timer.Millis

	admitted, acknowledged uint32
	// reported and sequence are the admitted requests in the last report that named the
	// account, and its number.
	reported uint32
	sequence uint64
	active   bool
}

// patience is the time for which a report may be unanswered while the account's
// requests are still admitted by the last share. Until then, an account at 7.5 times its usual
// rate takes 4.7 times its quota; the smaller quotas have the tolerance of 20 requests.
func (e *entry) patience() timer.Millis {
	return 200 + timer.Millis(min(350, 500/e.quota.PerSecond))
}

// count counts a request in the window.
func (e *entry) count(now timer.Millis) {
	e.advance(now)
	e.current++
}

func (e *entry) advance(now timer.Millis) {
	switch passed := now - e.windowStart; {
	case passed >= 2*offeredWindow || passed < 0:
		e.windowStart, e.current, e.previous = now, 0, 0
	case passed >= offeredWindow:
		e.windowStart, e.current, e.previous = e.windowStart+offeredWindow, 0, e.current
	}
}

// offered returns the present rate of requests a second.
func (e *entry) offered(now timer.Millis) float64 {
	e.advance(now)
	rest := 1 - float64(now-e.windowStart)/float64(offeredWindow)
	return (float64(e.current) + float64(e.previous)*rest) * float64(timer.Second) / float64(offeredWindow)
}

// decay lets the mean follow the time up to now.
func (e *entry) decay(now timer.Millis) {
	if now > e.meanAt {
		e.mean *= math.Exp(-float64(now-e.meanAt) / float64(historyWindow))
		e.meanAt = now
	}
}

// follow decides by the share, with the remainders carried over, so that few requests
// are refused as evenly as many.
// The mean is kept only with recent answers, so that an increase that the coordinator
// may not know of does not enlarge the rate without an answer.
func (e *entry) follow(now timer.Millis, recent bool) bool {
	e.decay(now)
	if e.share < FullShare {
		if e.credit += e.share.Fraction(); e.credit < 1 {
			return false
		}
		e.credit--
	}
	if recent {
		e.mean += float64(timer.Second) / float64(historyWindow)
	}
	return true
}

// rateWithoutAnswer is the rate of tokens without an answer.
func (e *entry) rateWithoutAnswer(daemons int) float64 {
	switch {
	case e.mean < minHistory:
		equal := shareWithoutHistory * e.quota.PerSecond / float64(daemons)
		return min(equal, growthWithoutAnswer*minHistory)
	case e.share < FullShare:
		return e.mean
	default:
		return growthWithoutAnswer * e.mean
	}
}

// capacity is the number of tokens that a daemon without an answer starts with. A
// metered account has used what all daemons may spare.
func (e *entry) capacity(daemons int) float64 {
	if e.share < FullShare {
		return min(1, e.mean*meteredSpan)
	}
	return (spareRate*e.quota.PerSecond + spareRequests) / float64(daemons)
}

// refill adds tokens for the time since the last request without an answer. The
// first one since contact was lost begins with a full bucket.
func (e *entry) refill(now, cutOff timer.Millis, daemons int) {
	capacity := e.capacity(daemons)
	if e.cutOff != cutOff {
		e.decay(cutOff)
		e.cutOff, e.tokens, e.tokensAt = cutOff, capacity, now
	}
	e.meanAt = now // The mean stays as it was when contact was lost.
	if now > e.tokensAt {
		e.tokens += float64(now-e.tokensAt) * e.rateWithoutAnswer(daemons) / float64(timer.Second)
		e.tokensAt = now
	}
	e.tokens = min(e.tokens, capacity)
}

// draw takes a token. Less than one is a chance, used up by the request that takes it:
// a capacity of a whole token at each daemon would be more than a small quota allows.
func (e *entry) draw(chance float64) bool {
	if e.tokens >= 1 {
		e.tokens--
		return true
	}
	admitted := chance < e.tokens
	e.tokens = 0
	return admitted
}

// retryAfter returns the time to the next request that is admitted, if requests go on as
// they come now.
func (e *entry) retryAfter(now timer.Millis, answered bool, daemons int) timer.Millis {
	rate := e.share.Fraction() * e.offered(now)
	missing := 1 - e.credit
	if !answered {
		rate, missing = e.rateWithoutAnswer(daemons), 1-e.tokens
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	return timer.Millis(min(float64(maxRetryAfter), max(float64(minRetryAfter), missing/rate*float64(timer.Second))))
}
