package apportioner

import (
	"math"

	"github.com/magnoliaknot/magnoliaknot/internal/state/throttler"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// historyWindow and growthWithoutAnswer are those of package throttler: a daemon
	// without an answer admits growthWithoutAnswer x its mean rate.
	historyWindow       = 10 * timer.Second
	growthWithoutAnswer = 1.25
	// idleMean is the mean rate below which an account is forgotten at a daemon: one
	// request about 30 s ago.
	idleMean = 0.005
	// minObserved is the least time that a daemon's rates are taken from.
	minObserved = timer.Second
)

// daemon is what a daemon has reported.
type daemon struct {
	incarnation identifier.Incarnation
	sequence    uint64
	since       timer.Millis
	heard       timer.Millis
	silent      bool
	// idle daemons have no requests.
	idle bool
	uses map[throttler.AccountKey]*use
}

// use is what a daemon has reported of one account.
type use struct {
	offered  float64
	admitted uint32
	// sequence is the last report that named the account.
	sequence uint64
	// mean is the mean rate of admitted requests as of meanAt.
	mean   float64
	meanAt timer.Millis
	// lost is the mean rate that the daemon had when it fell silent.
	lost float64
	// reserved is the rate charged since reservedAt while the daemon is silent, and
	// advance what was charged at once.
	reserved, advance float64
	reservedAt        timer.Millis
}

// observed returns the part of a daemon's mean rates that its reports account for. A
// coordinator that has just taken over has seen only a part of the time that they cover.
func (d *daemon) observed() float64 {
	return 1 - math.Exp(-float64(max(d.heard-d.since, minObserved))/float64(historyWindow))
}

func (u *use) decay(now timer.Millis) {
	if now > u.meanAt {
		u.mean *= math.Exp(-float64(now-u.meanAt) / float64(historyWindow))
		u.meanAt = now
	}
}

func (u *use) observe(now timer.Millis, admitted float64) {
	u.decay(now)
	u.mean = max(0, u.mean+admitted*float64(timer.Second)/float64(historyWindow))
}

func (u *use) idle(now timer.Millis) bool {
	u.decay(now)
	return u.mean < idleMean
}
