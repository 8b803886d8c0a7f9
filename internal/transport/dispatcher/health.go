package dispatcher

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/estimator"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Intervals of health checks. Each check costs the backend server a request, so
// checks run only while no answers report the load, or after many starts; see recordStart.
const (
	// slowCheckInterval is the interval while the VM is slow: daemons avoid it then,
	// so no answer shows when it is fast again.
	slowCheckInterval = 100 * timer.Millis(1)
	// defaultCheckInterval is the interval while answers come or no attempts arrive.
	defaultCheckInterval = 400 * timer.Millis(1)
	// unknownCheckInterval is the interval while the backend server's state is not known.
	unknownCheckInterval = 100 * timer.Millis(1)
	// minCheckInterval bounds the checks after many starts.
	minCheckInterval = 100 * timer.Millis(1)
	healthTimeout    = 800 * timer.Millis(1)
	// maxHealthBytes bounds the body of a health check's response, which is not used.
	maxHealthBytes = 64 << 10
	// maxLoadAge is the age up to which a start relies on the known load. The
	// slowdown of shared hosts changes every half second, so about one start in
	// twenty meets another slowdown than the known one.
	maxLoadAge = 40 * timer.Millis(1)
	// slowPercent is the slowdown from which a VM counts as slow.
	slowPercent = 150
	// crashCheckDelay lets the sockets of a dying process close before the check.
	crashCheckDelay   = 20 * timer.Millis(1)
	crashCheckTimeout = 200 * timer.Millis(1)
)

// Tick advances the time-dependent state. It must be called every 50 ms.
func (a *Admission) Tick() {
	a.mu.Lock()
	now := a.config.Clock.Now()
	a.step(now, admitter.Tick{})
	a.setStartRateLimit(now)
	if !a.notices.known || a.recallEnd > 0 {
		a.applyLimits(now)
	}
	due := a.checkDue(now)
	a.mu.Unlock()
	if due {
		a.startCheck()
	}
}

// startCheck starts a health check unless one is running, and returns a channel
// that is closed when it ends.
func (a *Admission) startCheck() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.beginCheck()
}

// beginCheck is startCheck for a caller that holds the lock.
func (a *Admission) beginCheck() <-chan struct{} {
	if a.checkDone == nil {
		a.checkDone = make(chan struct{})
		a.checkedAt = a.config.Clock.Now()
		if a.notices.checkedAt == 0 {
			a.notices.checkedAt = a.checkedAt
		}
		go a.check(a.checkDone, a.coldStart.starts)
	}
	return a.checkDone
}

// checkRestarted checks a backend server that broke a connection and accepts new ones: it
// may have restarted, and be cold.
func (a *Admission) checkRestarted() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.healthPath() != "" && a.config.Clock.Now()-a.checkedAt >= minCheckInterval {
		a.beginCheck()
	}
}

// checkDue reports whether it is time for a health check.
func (a *Admission) checkDue(now timer.Millis) bool {
	if a.healthPath() == "" || a.checkDone != nil {
		return false
	}
	interval, since := defaultCheckInterval, max(a.checkedAt, a.loadAt)
	switch {
	case a.notices.run > 0 && a.notices.checkedAt == 0:
		interval = 0
	case a.down || !a.coldStart.known:
		interval = unknownCheckInterval
	case a.coldStart.cold(now):
		since = a.checkedAt // Answers do not tell whether it is still cold.
	case a.load.SlowdownPercent >= slowPercent:
		interval = slowCheckInterval
	}
	return now-since >= interval
}

// healthPath returns the path of the health page, or an empty string if there is none.
func (a *Admission) healthPath() string {
	service, found := a.config.Configuration.Snapshot().Service(a.config.Member.Service)
	if !found {
		return ""
	}
	return service.HealthPath
}

// check requests the health and load of the backend server. Starts counts the attempts
// started before.
func (a *Admission) check(ended chan struct{}, starts uint64) {
	request, response := &exchanger.Request{}, &fasthttp.Response{}
	request.Header.SetMethod(fasthttp.MethodGet)
	request.Header.SetRequestURI(a.healthPath())
	request.Header.SetHost(string(a.config.Address))
	call := &exchanger.Call{
		Request: request, Response: response, MaxReuseIdle: backendIdleTimeout, BodyLimit: maxHealthBytes,
		Deadline: time.Now().Add(healthTimeout.Duration()),
	}
	call.MatchResponse = func(header *fasthttp.ResponseHeader) bool {
		return a.config.Dialect.MatchesCheck(header, call.Reused)
	}
	switch a.pool.Do(call) {
	case exchanger.Answered:
		a.recordLoad(&response.Header)
		a.applyHealth(a.config.Dialect.Health(response), a.config.Dialect.Notice(&response.Header), starts)
	case exchanger.ConnectionRefused:
		a.setDown("health check refused")
	case exchanger.Streaming, exchanger.NotSent, exchanger.Expired, exchanger.ConnectionBroken, exchanger.Incomplete, exchanger.TimedOut, exchanger.Aborted, exchanger.NoRoom:
	}
	a.mu.Lock()
	a.checkDone = nil
	close(ended)
	a.mu.Unlock()
	a.config.OnChange()
}

// applyHealth applies an answer of the health page, which was requested after a number of
// starts.
func (a *Admission) applyHealth(h Health, n Notice, starts uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Clock.Now()
	a.order.Found(h.Backend)
	if next := a.pending; next != nil {
		a.pending = nil
		if h.Backend == next.ID {
			a.announce(*next)
		}
	}
	switch {
	case h.Backend == "":
		return
	case a.backend.ID == "":
		return // The page lacks what the first announcement reports.
	case h.Backend != a.backend.ID:
		if !a.down {
			a.down = true
			a.config.Logger.Warn("another backend server has the address", "known", a.backend.ID, "found", h.Backend)
		}
		return
	}
	a.down = false
	a.recordNotice(n, sourceCheck)
	if h.ColdUnreadable {
		return // What is known of the cold start stays.
	}
	a.coldStart.update(now, a.boundCold(h.ColdFor))
	a.coldStart.checked = starts
	a.setStartRateLimit(now)
}

// unreachable reports whether the backend server refuses connections. One that does not
// answer in time may be frozen or busy, which is no sign of a crash.
func (a *Admission) unreachable() bool {
	time.Sleep(crashCheckDelay.Duration())
	conn, err := net.DialTimeout("tcp", string(a.config.Address), crashCheckTimeout.Duration())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close() // Only whether it opens matters.
	return false
}

// slowed reports whether the VM is much slower than the sender of an attempt
// assumed. It checks the backend server first if the load is older than
// maxLoadAge.
func (a *Admission) slowed(assumed int32) bool {
	if assumed <= 0 {
		return false
	}
	a.mu.Lock()
	old := a.config.Clock.Now()-a.loadAt > maxLoadAge
	a.mu.Unlock()
	if old {
		timeout := time.NewTimer(a.config.LoadCheckTimeout.Duration())
		defer timeout.Stop()
		select {
		case <-a.startCheck():
		case <-timeout.C:
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return estimator.Slowed(assumed, int32(a.load.SlowdownPercent))
}
