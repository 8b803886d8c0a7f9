package apportioner

import (
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/state/throttler"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// rateShare is the part of the rate that is granted. The rest covers requests that are
	// reported late.
	rateShare = 0.98
	// spareBurst is added to small bursts, out of the tolerance of 20 requests: requests
	// of small accounts come unevenly. A burst of spareBurst x spareDivisor needs none.
	spareBurst   = 10
	spareDivisor = 10
	// quickTokens may be spent within quickSpan, for the same reason.
	quickTokens = 5
	quickSpan   = 250 * timer.Millis(1)
	// spendSpan is the time in which what is left in the bucket may be spent: slowly, since
	// the other daemons may turn out to be cut off. debtSpan is the time in which a debt is
	// paid back. It is longer than the delay of reports, so that the limit settles.
	spendSpan = 2 * timer.Second
	debtSpan  = 500 * timer.Millis(1)
	// minRate is the rate below which nothing is offered, because of rounding.
	minRate = 1e-6
	// advanceSpan is the time in seconds for which a silent daemon is charged as if it had
	// gone on as before. It notices after 0.2 to 0.4 s that answers are missing; with 0.5,
	// half of the daemons cut off while an account becomes hot got 1.07 of what the quota
	// allows in trials. maxGrowth bounds the assumed increase of its requests, and
	// usualShare is the usual demand in parts of the quota.
	advanceSpan = 1.1
	maxGrowth   = 8
	usualShare  = 0.6
	// spareRate and spareRequests are those of package throttler: what all daemons
	// without an answer may admit at once.
	spareRate     = 0.4
	spareRequests = 13
)

// account is the token bucket of an account over all daemons.
type account struct {
	quota router.Quota
	// level is the number of tokens as of at. Below zero it is a debt.
	level float64
	at    timer.Millis
	// offered is the rate of requests at all daemons that report.
	offered float64
	// reserved is the rate that silent daemons may admit.
	reserved float64
	// held is the smallest share that daemons held from an earlier coordinator.
	held throttler.Share
	// fleet is shared by all accounts.
	fleet *contact
}

// contact is how far the coordinator is in contact with the daemons.
type contact struct {
	// unheard is the part of the daemons that have not reported to this coordinator.
	unheard float64
}

// newAccount returns a bucket with a quarter of its tokens: an earlier coordinator may
// just have granted the others.
func newAccount(now timer.Millis, quota router.Quota, fleet *contact) *account {
	c := &account{quota: quota, at: now, held: throttler.FullShare, fleet: fleet}
	c.level = c.capacity() / 4
	return c
}

func (c *account) capacity() float64 {
	return c.quota.Burst + max(0, spareBurst-c.quota.Burst/spareDivisor)
}

func (c *account) setQuota(now timer.Millis, quota router.Quota) {
	c.refill(now)
	c.quota = quota
	c.level = min(c.level, c.capacity())
}

// rate returns the rate of daemons that report. Those that never did may follow another
// coordinator, or none, and admit growthWithoutAnswer x the usual demand.
func (c *account) rate() float64 {
	return (rateShare-growthWithoutAnswer*usualShare*c.fleet.unheard)*c.quota.PerSecond - c.reserved
}

func (c *account) refill(now timer.Millis) {
	if now > c.at {
		c.level = min(c.capacity(), c.level+float64(now-c.at)*c.rate()/float64(timer.Second))
		c.at = now
	}
}

func (c *account) charge(now timer.Millis, requests float64) {
	c.refill(now)
	c.level -= requests
}

func (c *account) reserve(now timer.Millis, change float64) {
	c.refill(now)
	c.reserved = max(0, c.reserved+change)
}

// advance returns the number of requests that a daemon with a mean rate may have
// admitted before it noticed that answers are missing, if its requests have increased
// as much as those of others.
func (c *account) advance(mean float64) float64 {
	usual := usualShare * c.quota.PerSecond
	growth := min(max(1, c.offered/usual), maxGrowth)
	return mean*advanceSpan*growth + min(1, mean/usual)*(spareRate*c.quota.PerSecond+spareRequests)
}

// share returns the part of the requests that is admitted.
func (c *account) share(now timer.Millis) throttler.Share {
	c.refill(now)
	allowed := c.rate()
	if c.level < 0 {
		allowed += perSecond(c.level, debtSpan)
	} else {
		allowed += perSecond(c.level, spendSpan) + perSecond(min(c.level, quickTokens), quickSpan)
	}
	if allowed >= c.offered {
		return throttler.FullShare
	}
	return throttler.ShareOf(allowed / c.offered)
}

func perSecond(requests float64, span timer.Millis) float64 {
	return requests * float64(timer.Second) / float64(span)
}
