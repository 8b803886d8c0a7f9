package dispatcher

import (
	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/estimator"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// coldStart is the known state of a cold start. The zero value is cold.
type coldStart struct {
	known bool
	until timer.Millis
	// limitSet says that a start rate limit was set since the last reset. Only the
	// first one may be exhausted.
	limitSet bool
	// starts counts the attempts started, checked those started before the last health check
	// that found the backend server warm was sent.
	starts, checked uint64
}

// update applies a current report of the backend server.
func (c *coldStart) update(now, coldFor timer.Millis) {
	c.known = true
	c.until = now + coldFor
}

// updateFromAnnouncement applies a report that may be old. It cannot shorten a
// known cold start.
func (c *coldStart) updateFromAnnouncement(now, coldFor timer.Millis) {
	c.update(now, max(coldFor, c.until-now))
}

// reset makes the backend server cold until its next report.
func (c *coldStart) reset() { *c = coldStart{starts: c.starts} }

func (c *coldStart) cold(now timer.Millis) bool { return !c.known || now < c.until }

// unconfirmed returns the number of starts within the last second since the backend server
// was known to be warm. Recent are all starts within that second.
func (c *coldStart) unconfirmed(recent int) int {
	return min(recent, int(c.starts-c.checked))
}

// recordStart counts a start and checks the backend server if it may have turned cold and
// got as many attempts since as it takes in a second then. It says so only in health
// responses and announcements, and answers to requests take their place otherwise. The
// caller holds the lock.
func (a *Admission) recordStart(now timer.Millis) {
	a.coldStart.starts++
	service, found := a.config.Configuration.Snapshot().Service(a.config.Member.Service)
	if !found || service.HealthPath == "" || service.ColdPerSecond <= 0 || a.coldStart.cold(now) || now-a.checkedAt < minCheckInterval {
		return
	}
	if float64(a.coldStart.unconfirmed(a.admitter.RecentStarts())) >= service.ColdPerSecond {
		a.beginCheck()
	}
}

// boundCold bounds the time that a backend server says it stays cold by what the
// configuration says that a cold start takes. Checks go on while it is cold.
func (a *Admission) boundCold(left timer.Millis) timer.Millis {
	service, found := a.config.Configuration.Snapshot().Service(a.config.Member.Service)
	if !found || service.ColdSpan <= 0 {
		return left
	}
	return min(left, service.ColdSpan)
}

// setStartRateLimit limits the start rate while the backend server is cold. The
// caller holds the lock.
func (a *Admission) setStartRateLimit(now timer.Millis) {
	limit := admitter.StartRateLimit{}
	service, found := a.config.Configuration.Snapshot().Service(a.config.Member.Service)
	if found && service.ColdPerSecond > 0 && a.coldStart.cold(now) {
		limit.PerSecond = max(1, int(service.ColdPerSecond*estimator.ColdRateMargin))
		limit.Exhausted = !a.coldStart.known && !a.coldStart.limitSet
		a.coldStart.limitSet = true
	}
	a.step(now, limit)
}
