package dispatcher

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
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
	check := a.checkDue(now)
	if check {
		a.checking, a.checkAt = true, now
	}
	a.mu.Unlock()
	if check {
		go a.check()
	}
}

// checkDue reports whether the backend server should be asked for its health.
func (a *Admission) checkDue(now timer.Millis) bool {
	service, found := a.config.Configuration.Snapshot().Service(a.config.Member.Service)
	if !found || service.HealthPath == "" || a.checking {
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
func (a *Admission) check() {
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
	a.checking = false
	a.mu.Unlock()
	a.config.Changed()
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
