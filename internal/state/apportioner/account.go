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
	// spareBurst is added to the burst, out of the tolerance of 20 requests. Small
	// accounts need it, since their requests come unevenly.
	spareBurst = 10
	// levelSpan is the time in which what is left in the bucket may be spent and a debt
	// is paid back. It is longer than the delay of reports, so that the limit settles.
	levelSpan = timer.Second
	// minRate is the rate below which nothing is offered, because of rounding.
	minRate = 1e-6
	// advanceSpan is the time for which a silent daemon went on as before, and
	// maxGrowth bounds the increase of requests that it may not have reported.
	advanceSpan = 0.5
	// usualShare is the usual demand in parts of the quota.
	usualShare = 0.6
	maxGrowth   = 8
	// spareSpan is the time of a silent daemon's rate that it may admit at once.
	spareSpan = 0.35
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
}

// newAccount returns a half full bucket: an earlier coordinator may just have granted
// the rest.
func newAccount(now timer.Millis, quota router.Quota) *account {
	c := &account{quota: quota, at: now, held: throttler.FullShare}
	c.level = c.capacity() / 2
	return c
}

func (c *account) capacity() float64 { return c.quota.Burst + spareBurst }

func (c *account) setQuota(now timer.Millis, quota router.Quota) {
	c.refill(now)
	c.quota = quota
	c.level = min(c.level, c.capacity())
}

// rate returns the rate of daemons that report.
func (c *account) rate() float64 { return rateShare*c.quota.PerSecond - c.reserved }

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
	growth := min(max(1, c.offered/(usualShare*c.quota.PerSecond)), maxGrowth)
	return mean * (advanceSpan*growth + spareSpan)
}

// share returns the part of the requests that is admitted.
func (c *account) share(now timer.Millis) throttler.Share {
	c.refill(now)
	allowed := c.rate() + c.level*float64(timer.Second)/float64(levelSpan)
	if allowed >= c.offered {
		return throttler.FullShare
	}
	return throttler.ShareOf(allowed / c.offered)
}
