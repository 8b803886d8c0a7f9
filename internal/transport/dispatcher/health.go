package dispatcher

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/estimator"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Intervals of health checks. Each check costs the backend server a request, so
// they stand in for answers only while there are none.
const (
	// slowCheck is the interval while the VM is slow: daemons avoid it then, so
	// that no answer tells when it is fast again.
	slowCheck = 100 * timer.Millis(1)
	// idleCheck is the interval while answers come or nothing is sent here.
	idleCheck = 400 * timer.Millis(1)
	// unsureCheck is the interval while the backend server's state is not known.
	unsureCheck   = 100 * timer.Millis(1)
	healthTimeout = 800 * timer.Millis(1)
	// freshLoad is the age up to which the load is taken to hold at a start. Shared
	// hosts change every half second, so that about one start in twenty meets
	// another slowdown than the one known.
	freshLoad = 40 * timer.Millis(1)
	// slowPercent is the slowdown from which a VM counts as slow.
	slowPercent = 150
	// crashCheckDelay lets the sockets of a dying process close before the check.
	crashCheckDelay   = 20 * timer.Millis(1)
	crashCheckTimeout = 200 * timer.Millis(1)
)

// Tick lets time pass; it is due every 50 ms.
func (a *Admission) Tick() {
	a.mu.Lock()
	now := a.config.Clock.Now()
	a.step(now, admitter.Tick{})
	a.setPace(now)
	due := a.checkDue(now)
	a.mu.Unlock()
	if due {
		a.startCheck()
	}
}

// startCheck starts a health check unless one is under way, and returns a channel
// that is closed when it ends.
func (a *Admission) startCheck() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.checked == nil {
		a.checked = make(chan struct{})
		a.checkAt = a.config.Clock.Now()
		go a.check(a.checked)
	}
	return a.checked
}

// checkDue reports whether the backend server should be asked for its health.
func (a *Admission) checkDue(now timer.Millis) bool {
	service, found := a.config.Configuration.Snapshot().Service(a.config.Member.Service)
	if !found || service.HealthPath == "" || a.checked != nil {
		return false
	}
	interval := idleCheck
	switch {
	case a.down || !a.warmth.known:
		interval = unsureCheck
	case a.load.SlowdownPercent >= slowPercent:
		interval = slowCheck
	}
	return now-max(a.checkAt, a.loadAt) >= interval
}

// check asks the backend server for its health and load.
func (a *Admission) check(ended chan struct{}) {
	service, _ := a.config.Configuration.Snapshot().Service(a.config.Member.Service)
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.Header.SetMethod(fasthttp.MethodGet)
	request.Header.SetRequestURI(service.HealthPath)
	request.Header.SetHost(string(a.config.Address))
	result := a.pool.Do(&exchanger.Call{
		Request: request, Response: response, ReuseWithin: backendIdleTimeout,
		Deadline: time.Now().Add(healthTimeout.Duration()),
	})
	switch result {
	case exchanger.Answered:
		a.observe(&response.Header)
		a.healthy(a.config.Dialect.Health(response))
	case exchanger.Refused:
		a.setDown("health check refused")
	case exchanger.NotSent, exchanger.Broken, exchanger.Incomplete, exchanger.TimedOut, exchanger.Aborted:
	}
	a.mu.Lock()
	a.checked = nil
	close(ended)
	a.mu.Unlock()
	a.config.OnChange()
}

// healthy takes an answer of the health page.
func (a *Admission) healthy(h Health) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Clock.Now()
	switch {
	case h.Backend == "":
		return
	case a.backend.ID == "":
		return // The first announcement tells what the page does not.
	case h.Backend != a.backend.ID:
		if !a.down {
			a.down = true
			a.config.Logger.Warn("another backend server has the address", "known", a.backend.ID, "found", h.Backend)
		}
		return
	}
	a.down = false
	a.warmth.told(now, h.ColdFor)
	a.setPace(now)
}

// died tells whether the backend server refuses connections.
func (a *Admission) died() bool {
	time.Sleep(crashCheckDelay.Duration())
	conn, err := net.DialTimeout("tcp", string(a.config.Address), crashCheckTimeout.Duration())
	if err != nil {
		return true
	}
	_ = conn.Close() // Only whether it opens matters.
	return false
}

// slowed reports whether the VM is much slower than the sender of an attempt
// assumed. It asks the backend server if its load is not known well enough.
func (a *Admission) slowed(assumed int32) bool {
	if assumed <= 0 {
		return false
	}
	a.mu.Lock()
	old := a.config.Clock.Now()-a.loadAt > freshLoad
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
