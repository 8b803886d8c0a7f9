package assembler

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	tickInterval = 50 * timer.Millis(1)
	// leaveLead is how long before the end of the notice other daemons are told to
	// send no more attempts; reports come every 400 ms if one is lost.
	leaveLead = 450 * timer.Millis(1)
	// exitReserve is the part of the grace period that is left for the exit.
	exitReserve = 500 * timer.Millis(1)
	stopPoll    = 20 * timer.Millis(1)
	// peerHeaderBytes leaves room for our own headers beside those of callers.
	peerHeaderBytes = 32 << 10
	peerBodyBytes   = 1 << 28
	peerIdle        = 30 * timer.Second
)

// Limits of callers until the configuration states its own.
const (
	initialHeaderBytes   = 16 << 10
	initialBodyBytes     = 64 << 20
	initialHeaderTimeout = 3 * timer.Second
	initialIdleTimeout   = 15 * timer.Second
)

// Run serves until the context ends, then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	d.callerServer = exchanger.NewServer(exchanger.ServerConfig{
		Handler: d.ingress, Limits: d.callerLimits, Reject: d.reject, Clock: d.clock, Logger: d.config.Logger,
	})
	d.peerServer = exchanger.NewServer(exchanger.ServerConfig{
		Handler: exchanger.HandlerFunc(d.servePeer), Limits: peerLimits, Reject: d.reject, Clock: d.clock, Logger: d.config.Logger,
	})
	metrics := exchanger.NewServer(exchanger.ServerConfig{
		Handler: exchanger.HandlerFunc(serveMetrics), Limits: peerLimits, Reject: d.reject, Clock: d.clock, Logger: d.config.Logger,
	})
	failed := make(chan error, 3)
	for _, s := range []struct {
		server  *exchanger.Server
		address identifier.Address
	}{{d.callerServer, d.config.Addresses.Callers}, {d.peerServer, d.config.Addresses.Peers}, {metrics, d.config.Addresses.Metrics}} {
		listener, err := net.Listen("tcp4", string(s.address))
		if err != nil {
			return Error.Wrap(err)
		}
		defer s.server.Close()
		go func() { failed <- s.server.Serve(listener) }()
	}
	work, cancel := context.WithCancel(context.Background())
	silent := make(chan struct{})
	defer func() { <-silent }() // A daemon that starts next needs the address.
	defer cancel()
	go func() {
		defer close(silent)
		d.gossiper.Run(work)
	}()
	go d.config.Source.Follow(work, d.adopt)
	go d.join(work)
	go d.tick(work)
	d.config.Logger.Info("daemon started", "incarnation", d.incarnation, "service", d.config.Service, "failure_domain", d.config.FailureDomain)
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		d.config.Logger.Error("server failed", "error", err)
	}
	d.stop()
	return Error.Wrap(err)
}

// tick lets time pass and notices a suspension of the VM.
func (d *Daemon) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval.Duration())
	defer ticker.Stop()
	last, members := d.clock.Now(), uint64(0)
	for ctx.Err() == nil {
		now := d.clock.Resync()
		if now-last > suspended {
			d.config.Logger.Warn("VM was suspended", "for_ms", now-last)
			d.peers.CloseIdle()
			d.config.Source.Refresh()
		}
		last = now
		if version := d.gossiper.Version(); version != members {
			members = version
			d.keepPeers()
		}
		d.admission.Tick()
		<-ticker.C
	}
}

// keepPeers closes the connections to daemons that are no longer members.
func (d *Daemon) keepPeers() {
	known := map[identifier.Address]bool{}
	for _, m := range d.gossiper.Members() {
		known[m.Peer] = true
	}
	d.peers.Retain(func(address identifier.Address) bool { return known[address] })
}

// suspended is the gap between ticks that means the VM was suspended and its
// connections may be gone.
const suspended = 700 * timer.Millis(1)

func (d *Daemon) callerLimits() exchanger.Limits {
	limits := d.configuration.Snapshot().Limits
	if limits.HeaderBytes == 0 {
		return exchanger.Limits{
			HeaderBytes: initialHeaderBytes, BodyBytes: initialBodyBytes,
			HeaderTimeout: initialHeaderTimeout, IdleTimeout: initialIdleTimeout,
		}
	}
	return exchanger.Limits(limits)
}

func peerLimits() exchanger.Limits {
	return exchanger.Limits{
		HeaderBytes: peerHeaderBytes, BodyBytes: peerBodyBytes, HeaderTimeout: peerIdle, IdleTimeout: peerIdle,
	}
}

// reject answers a request that could not be read. Nothing was forwarded of it.
func (d *Daemon) reject(response *fasthttp.Response, problem exchanger.Problem) {
	refusal := encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.BadRequest}
	switch problem {
	case exchanger.BodyTooLarge:
		refusal.Reason = classifier.TooLarge
	case exchanger.HeaderTooLarge:
		refusal.Reason = classifier.HeaderTooLarge
	case exchanger.Malformed:
	}
	refusal.WriteResponse(response)
}

// stop is the graceful stop: callers and daemons go elsewhere while everything
// still runs, then connections close as they fall idle, and the rest gets the
// time that is left.
func (d *Daemon) stop() {
	end := d.clock.Now() + d.config.Grace - exitReserve
	d.config.Logger.Info("stopping", "requests_in_flight", d.ingress.InFlight())
	d.stopping.Store(true)
	d.callerServer.CloseAfterResponses()
	// The backend server goes on: its slots are used until shortly before the end
	// of the notice.
	leave := min(leaveLead, d.config.Notice/2)
	time.Sleep((d.config.Notice - leave).Duration())
	d.admission.MarkNotAccepting()
	time.Sleep(leave.Duration())
	// Callers that stay would lose what they send from now on at the exit.
	d.callerServer.StopAccepting()
	d.ingress.Drain()
	d.peerServer.CloseAfterResponses()
	for d.clock.Now() < end {
		busy := d.callerServer.CloseIdle() + d.peerServer.CloseIdle()
		if busy == 0 && d.ingress.InFlight() == 0 {
			break
		}
		time.Sleep(stopPoll.Duration())
	}
	d.config.Logger.Info("stopped", "requests_in_flight", d.ingress.InFlight())
}
