package assembler

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/dispatcher"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	tickInterval = 50 * timer.Millis(1)
	// leaveLeadTime is how long before the end of the notice period other daemons are
	// told to send no more attempts. Reports come every 400 ms, so one may be lost.
	leaveLeadTime = 450 * timer.Millis(1)
	// exitReserve is the part of the grace period that is reserved for the exit.
	exitReserve      = 500 * timer.Millis(1)
	stopPollInterval = 20 * timer.Millis(1)
	peerBodyBytes    = 1 << 28
	peerIdleTimeout  = 30 * timer.Second
	// metricsHeaderBytes is the largest head of a request for the metrics.
	metricsHeaderBytes = 16 << 10
)

// Limits of callers' requests that apply until a configuration sets them.
const (
	initialHeaderBytes   = 16 << 10
	initialBodyBytes     = 64 << 20
	initialHeaderTimeout = 3 * timer.Second
	initialIdleTimeout   = 15 * timer.Second
)

// Run serves until the context ends or a server fails, then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	memory, names := d.config.Memory, dispatcher.NewNames(d.config.Dialect)
	metrics.GetOrCreateGauge("magnoliaknot_memory_reserved_bytes", func() float64 { return float64(memory.Used()) })
	metrics.GetOrCreateGauge("magnoliaknot_evidence_age_seconds", d.schedule.evidenceSeconds)
	d.callerServer = exchanger.NewServer(exchanger.ServerConfig{
		Handler: d.ingress, Limits: d.callerLimits, Reject: d.rejectCaller, Names: names, Clock: d.clock, Logger: d.config.Logger,
		Memory: memory.Callers(), MaxConnections: d.config.Connections.Callers,
	})
	d.peerServer = exchanger.NewServer(exchanger.ServerConfig{
		Handler: exchanger.HandlerFunc(d.servePeer), Limits: d.peerLimits, Reject: rejectPeer, Names: names, Clock: d.clock, Logger: d.config.Logger,
		Memory: memory.Peers(), MaxConnections: d.config.Connections.Peers,
	})
	metricsServer := exchanger.NewServer(exchanger.ServerConfig{
		Handler: exchanger.HandlerFunc(serveMetrics), Limits: metricsLimits, Reject: rejectPeer, Clock: d.clock, Logger: d.config.Logger,
		Memory: memory, MaxConnections: d.config.Connections.Metrics,
	})
	failed := make(chan error, 3)
	for _, s := range []struct {
		server  *exchanger.Server
		address identifier.Address
	}{{d.callerServer, d.config.Addresses.Callers}, {d.peerServer, d.config.Addresses.Peers}, {metricsServer, d.config.Addresses.Metrics}} {
		listener, err := exchanger.Listen("tcp4", s.address)
		if err != nil {
			return Error.Wrap(err)
		}
		defer s.server.Close()
		go func() { failed <- s.server.Serve(listener) }()
	}
	workCtx, cancel := context.WithCancel(context.Background())
	gossipDone := make(chan struct{})
	defer func() { <-gossipDone }() // Until then the next daemon cannot listen on the UDP address.
	defer cancel()
	go func() {
		defer close(gossipDone)
		d.gossiper.Run(workCtx)
	}()
	go d.config.Source.Follow(workCtx, d.adopt)
	go d.join(workCtx)
	d.rollouts.Start(workCtx)
	go d.tick(workCtx)
	d.config.Logger.Info("daemon started", "incarnation", d.incarnation.Load(), "service", d.config.Service, "failure_domain", d.config.FailureDomain)
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		d.config.Logger.Error("HTTP server failed; stopping the daemon", "error", err)
	}
	d.stop()
	return Error.Wrap(err)
}

// tick runs the periodic work and detects a suspension of the VM.
func (d *Daemon) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval.Duration())
	defer ticker.Stop()
	last, members := d.clock.Now(), uint64(0)
	for ctx.Err() == nil {
		now := d.clock.Resync()
		if now-last > suspensionGap {
			d.config.Logger.Warn("VM was suspended", "for_ms", now-last)
			d.peers.CloseIdle()
			d.config.Source.Refresh()
		}
		last = now
		if version := d.gossiper.Version(); version != members {
			members = version
			d.closeFormerPeers()
		}
		d.admission.Tick()
		d.quotas.tick(ctx)
		<-ticker.C
	}
}

// closeFormerPeers closes the connections to daemons that are no longer members.
func (d *Daemon) closeFormerPeers() {
	known := map[identifier.Address]bool{}
	for _, m := range d.gossiper.Members() {
		known[m.Peer] = true
	}
	d.peers.Retain(func(address identifier.Address) bool { return known[address] })
}

// suspensionGap is the time between two ticks from which the VM is taken to have been
// suspended, so that its connections may be broken.
const suspensionGap = 700 * timer.Millis(1)

func (d *Daemon) callerLimits() exchanger.Limits {
	limits := d.configuration.Snapshot().Limits
	if limits.HeaderBytes == 0 {
		return exchanger.Limits{
			HeaderBytes: initialHeaderBytes, BodyBytes: initialBodyBytes,
			HeaderTimeout: initialHeaderTimeout, IdleTimeout: initialIdleTimeout,
		}
	}
	return exchanger.Limits{
		HeaderBytes: limits.HeaderBytes, BodyBytes: limits.BodyBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
	}
}

func (d *Daemon) peerLimits() exchanger.Limits {
	return exchanger.Limits{
		HeaderBytes: encoder.MaxHeadFactor * d.callerLimits().HeaderBytes, BodyBytes: peerBodyBytes, HeaderTimeout: peerIdleTimeout, IdleTimeout: peerIdleTimeout,
	}
}

// metricsLimits bound the requests for the metrics, which have no body.
func metricsLimits() exchanger.Limits {
	return exchanger.Limits{
		HeaderBytes: metricsHeaderBytes, BodyBytes: 0, HeaderTimeout: initialHeaderTimeout, IdleTimeout: initialIdleTimeout,
	}
}

// rejectCaller answers a request of a caller that could not be read. No part of it was
// forwarded.
func (d *Daemon) rejectCaller(x *exchanger.Exchange, problem exchanger.Problem) {
	d.config.Dialect.WriteRefusal(&x.Response, &x.Request.Header, refusalOf(problem))
}

// rejectPeer answers a request of another daemon that could not be read.
func rejectPeer(x *exchanger.Exchange, problem exchanger.Problem) {
	refusalOf(problem).WriteResponse(&x.Response)
}

// refusalOf returns the refusal of a request that could not be read.
func refusalOf(problem exchanger.Problem) encoder.Refusal {
	refusal := encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.BadRequest}
	switch problem {
	case exchanger.BodyTooLarge:
		refusal.Reason = classifier.TooLarge
	case exchanger.HeaderTooLarge:
		refusal.Reason = classifier.HeaderTooLarge
	case exchanger.OutOfMemory, exchanger.TooManyConnections:
		refusal.Reason, refusal.RetryAfterMs = classifier.Overloaded, dispatcher.NoRoomRetryAfter
	case exchanger.Malformed:
	}
	return refusal
}

// stop stops the daemon gracefully. During the notice period it serves as before, so
// that callers and daemons switch to other daemons. Then it closes connections as they
// become idle and waits for the remaining requests until the grace period ends.
func (d *Daemon) stop() {
	end := d.clock.Now() + d.config.Grace - exitReserve
	d.config.Logger.Info("stopping", "requests_in_flight", d.ingress.InFlight())
	d.stopping.Store(true)
	d.callerServer.CloseAfterResponses()
	// The backend server keeps running, so its slots are used until shortly before
	// the end of the notice period.
	leave := min(leaveLeadTime, d.config.Notice/2)
	time.Sleep((d.config.Notice - leave).Duration())
	d.admission.MarkNotAccepting()
	time.Sleep(leave.Duration())
	// Requests that callers send from now on could be lost at the exit.
	d.callerServer.StopAccepting()
	d.ingress.Drain()
	d.peerServer.CloseAfterResponses()
	for d.clock.Now() < end {
		busy := d.callerServer.CloseIdle() + d.peerServer.CloseIdle()
		if busy == 0 && d.ingress.InFlight() == 0 {
			break
		}
		time.Sleep(stopPollInterval.Duration())
	}
	d.config.Logger.Info("stopped", "requests_in_flight", d.ingress.InFlight())
}
