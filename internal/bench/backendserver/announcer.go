package backendserver

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/listener"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	announceInterval = timer.Second
	announceTimeout  = 500 * timer.Millis(1)
)

// Announcement is the request body of an announcement to the daemon.
type Announcement struct {
	Service     identifier.ServiceName `json:"service"`
	Address     identifier.Address     `json:"address"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Slots       identifier.Slots       `json:"slots"`
	Connections int                    `json:"connections"`
	State       State                  `json:"state"`
}

// announcer announces the server to its local daemon every second and after each
// change of state. A failed announcement does not stop it.
type announcer struct {
	server *Server
	client *fasthttp.HostClient
	failed bool
}

func newAnnouncer(server *Server) (*announcer, error) {
	a := &announcer{server: server}
	if server.config.AnnounceURL == "" {
		return a, nil
	}
	target, err := url.Parse(server.config.AnnounceURL)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := listener.CheckLoopback(identifier.Address(target.Host)); err != nil {
		return nil, err
	}
	a.client = &fasthttp.HostClient{
		Addr:                      target.Host,
		ReadTimeout:               announceTimeout.Duration(),
		WriteTimeout:              announceTimeout.Duration(),
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	return a, nil
}

func (a *announcer) run(ctx context.Context) {
	if a.client == nil {
		return
	}
	interval := time.NewTicker(announceInterval.Duration())
	defer interval.Stop()
	for {
		a.server.waitWhileFrozen()
		// A crashed server announces nothing.
		if load := a.server.current(); load.State != Down {
			a.logResult(a.announce(load))
		}
		select {
		case <-interval.C:
		case <-a.server.stateChanged:
		case <-ctx.Done():
			return
		}
	}
}

func (a *announcer) announce(load Load) error {
	config := a.server.config
	body, err := json.Marshal(Announcement{
		Service: config.Service, Address: config.Address, Incarnation: load.Incarnation,
		Slots: load.Slots, Connections: config.Connections, State: load.State,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(config.AnnounceURL)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(body)
	if err := a.client.Do(request, response); err != nil {
		return Error.Wrap(err)
	}
	if status := response.StatusCode(); status/100 != 2 {
		return Error.New("daemon answered the announcement with status %d", status)
	}
	return nil
}

// logResult logs the first failure and the first success after failures.
func (a *announcer) logResult(err error) {
	if (err != nil) == a.failed {
		return
	}
	a.failed = err != nil
	if a.failed {
		a.server.log.Warn("announcement failed", "error", err.Error())
		return
	}
	a.server.log.Info("announcement succeeded")
}
