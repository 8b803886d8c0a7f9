package dispatcher

import (
	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
)

// Notice is what a backend server says about itself in an answer, beside its load.
type Notice struct {
	// Limited says that it takes no more than Rate requests from all callers.
	Limited bool
	Rate    admitter.Rate
	// Leaving says that it is about to exit and wants no more requests.
	Leaving bool
}

// Sources of notices in the log.
const (
	sourceRun   = "run"
	sourceCheck = "check"
)

// noticeLog counts the answers with and without a limit since the limit last changed.
type noticeLog struct {
	limited, unlimited uint64
}

// applyNotice takes the notice from an answer to a run.
func (a *Admission) applyNotice(header *fasthttp.ResponseHeader) {
	notice := a.config.Dialect.Notice(header)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordNotice(notice, sourceRun)
}

// recordNotice logs changes of what the backend server says about itself. The caller
// holds the lock.
func (a *Admission) recordNotice(n Notice, source string) {
	known := a.notice
	a.notice = n
	if n.Limited != known.Limited || n.Rate != known.Rate {
		a.config.Logger.Info("rate limit of the backend server changed", "backend", a.backend.ID, "source", source,
			"limited", n.Limited, "per_second", float64(n.Rate), "before_limited", known.Limited, "before_per_second", float64(known.Rate),
			"answers_limited", a.noticeLog.limited, "answers_unlimited", a.noticeLog.unlimited)
		a.noticeLog = noticeLog{}
	}
	if n.Leaving != known.Leaving {
		a.config.Logger.Info("backend server says in an answer whether it leaves", "backend", a.backend.ID, "source", source, "leaving", n.Leaving)
	}
	if n.Limited {
		a.noticeLog.limited++
	} else {
		a.noticeLog.unlimited++
	}
}
