package dispatcher

import (
	"math"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/orderer"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Notice is what a backend server says about itself in an answer, beside its load.
type Notice struct {
	// Limited says that it takes no more than Rate requests from all callers.
	Limited bool
	Rate    admitter.Rate
	// Leaving says that it is about to exit and wants no more requests.
	Leaving bool
	// ColdFor is how long it stays cold; zero if the answer does not say.
	ColdFor timer.Millis
}

// Sources of notices in the log.
const (
	sourceRun   = "run"
	sourceCheck = "check"
)

// maxFirstCheck bounds the wait for the first health check of a run of the backend
// server. It answers at once unless it hangs.
const maxFirstCheck = 150 * timer.Millis(1)

// notices holds what the current run of the backend server said last.
type notices struct {
	run    orderer.Run
	last   Notice
	known  bool
	logged noticeCount
	// checkedAt is the time of the first health check of the run. Zero means none.
	checkedAt timer.Millis
}

// noticeCount counts the answers with and without a limit since the limit last changed.
type noticeCount struct {
	limited, unlimited uint64
}

// maxRuns bounds the concurrent runs while no answer has shown what the backend server
// says about itself: a daemon before this one may have been told of a limit or a leave.
func (n *notices) maxRuns(now timer.Millis, healthPath string, limit int) int {
	switch {
	case n.known:
		return limit
	case healthPath != "" && (n.checkedAt == 0 || now-n.checkedAt < maxFirstCheck):
		return 0
	}
	return min(1, limit)
}

// maxRuns bounds the concurrent runs. The caller holds the lock.
func (a *Admission) maxRuns(now timer.Millis) int {
	if now < a.recallEnd {
		return 0
	}
	return a.notices.maxRuns(now, a.healthPath(), a.limit)
}

// applyNotice applies the notice in an answer to an attempt that was sent to a run of the
// backend server.
func (a *Admission) applyNotice(run orderer.Run, header *fasthttp.ResponseHeader) {
	notice := a.config.Dialect.Notice(header)
	a.mu.Lock()
	defer a.mu.Unlock()
	if run == a.notices.run {
		a.recordNotice(notice, sourceRun)
	}
}

// recordNotice applies what the backend server says about itself. The caller holds the
// lock.
func (a *Admission) recordNotice(n Notice, source string) {
	now, known, first := a.config.Clock.Now(), a.notices.last, !a.notices.known
	a.notices.last, a.notices.known = n, true
	count := &a.notices.logged
	if n.Limited != known.Limited || n.Rate != known.Rate {
		a.config.Logger.Info("rate limit of the backend server changed", "backend", a.backend.ID, "source", source,
			"limited", n.Limited, "per_second", float64(n.Rate), "before_limited", known.Limited, "before_per_second", float64(known.Rate),
			"answers_limited", count.limited, "answers_unlimited", count.unlimited)
		*count = noticeCount{}
		a.step(now, admitter.RateLimit{Limited: n.Limited, Rate: n.Rate})
	}
	if n.ColdFor > 0 {
		a.coldStart.updateFromAnnouncement(now, a.boundCold(n.ColdFor))
		a.setStartRateLimit(now)
	}
	if n.Leaving && a.backend.State != admitter.Draining {
		a.config.Logger.Info("backend server says in an answer that it leaves", "backend", a.backend.ID, "source", source)
		a.announce(Backend{ID: a.backend.ID, Incarnation: a.order.Start(), Sequence: math.MaxUint64, State: admitter.Draining})
	}
	if n.Limited {
		count.limited++
	} else {
		count.unlimited++
	}
	if first {
		a.applyLimits(now)
	}
}
