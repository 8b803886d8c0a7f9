package runner

import (
	"context"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	stopPollInterval = 20 * timer.Millis(1)
	// leaveTimeout limits the wait for the leave while the log is unavailable.
	leaveTimeout = 3 * timer.Second
	// handoverTimeout limits the handover of key shards.
	handoverTimeout = 5 * timer.Second
	// leavePropagationTime is the time for other daemons to apply the leave before
	// attempts are refused, so that a planned stop causes few refusals.
	leavePropagationTime = 500 * timer.Millis(1)
	// callerCloseTimeout is the time for callers to close their connections after a
	// refusal that tells them to. If the daemon closes a connection while a
	// request is in transit, the caller cannot know whether the request ran.
	callerCloseTimeout = timer.Second
)

// stop stops the daemon gracefully: it hands over key ownership, leaves the
// membership, refuses new requests, waits for running ones and closes the
// connections.
func (d *daemon) stop(s *servers) {
	d.mu.Lock()
	d.stopping = true
	joined := d.joined
	d.mu.Unlock()
	d.logger.Info("stopping", "requests_in_flight", d.ingress.InFlight())
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.ShutdownTimeout.Duration())
	defer cancel()
	d.handOver(ctx)
	if joined {
		leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveTimeout.Duration())
		if err := d.announcer.Leave(leaveCtx); err != nil {
			d.logger.Warn("leave not confirmed", "error", err.Error())
		}
		cancelLeave()
		time.Sleep(leavePropagationTime.Duration())
	}
	d.ingress.Drain()
	drained := d.admission.Drain()
	select {
	case <-drained:
	case <-ctx.Done():
		d.logger.Warn("shutdown timeout reached with attempts still running")
	}
	for d.ingress.InFlight() > 0 && ctx.Err() == nil {
		time.Sleep(stopPollInterval.Duration())
	}
	d.awaitCallersDisconnected(ctx, s)
	// Hands over shards that this daemon came to own through an append that was in
	// progress during the first handover.
	d.handOver(ctx)
	d.close(ctx, s)
	d.logger.Info("stopped", "requests_in_flight", d.ingress.InFlight())
}

// awaitCallersDisconnected waits up to callerCloseTimeout for callers to close their
// connections.
func (d *daemon) awaitCallersDisconnected(ctx context.Context, s *servers) {
	deadline := d.clock.Now() + callerCloseTimeout
	for s.ingress.OpenConnections() > 0 && d.clock.Now() < deadline && ctx.Err() == nil {
		time.Sleep(stopPollInterval.Duration())
	}
}

// handOver hands the key shards over to other daemons while these still know this
// daemon.
func (d *daemon) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout.Duration())
	defer cancel()
	if err := d.claimer.HandOver(ctx); err != nil {
		d.logger.Warn("key shards not handed over", "error", err.Error())
	}
}

func (d *daemon) close(ctx context.Context, s *servers) {
	for _, server := range []*exchanger.Server{s.ingress, s.peer, s.local, s.administration} {
		if err := server.Shutdown(ctx); err != nil {
			d.logger.Warn("server did not shut down", "error", err.Error())
		}
	}
	if err := d.prober.Close(); err != nil {
		d.logger.Warn("closing the probe socket failed", "error", err.Error())
	}
	d.peers.CloseIdle()
	d.claimer.Close()
}

// prunePeers closes the connections to daemons that are no longer members.
func (d *daemon) prunePeers() {
	members := map[identifier.Address]bool{}
	d.membership.Read(func(t *tracker.Tracker) {
		for m := range t.Members() {
			members[m.Peer] = true
		}
	})
	d.peers.Retain(func(address identifier.Address) bool { return members[address] })
}
