package runner

import (
	"context"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	stopPoll = 20 * timer.Millis(1)
	// leaveTimeout bounds the wait for the leave while the log is down.
	leaveTimeout = 3 * timer.Second
	// handoverTimeout bounds the handover of key shards.
	handoverTimeout = 5 * timer.Second
	// settleTime lets other daemons act on the leave before attempts are
	// refused, so that a planned stop costs few refusals.
	settleTime = 500 * timer.Millis(1)
	// closeTime lets callers' connections end by a refusal that tells them to
	// close. One closed by the daemon may have a request on its way, whose caller
	// then cannot know whether it ran.
	closeTime = timer.Second
)

// stop is the graceful stop: hand over key ownership, leave, refuse new work,
// finish what runs, close idle connections.
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
		leaving, done := context.WithTimeout(ctx, leaveTimeout.Duration())
		if err := d.announcer.Leave(leaving); err != nil {
			d.logger.Warn("leave not confirmed", "error", err.Error())
		}
		done()
		time.Sleep(settleTime.Duration())
	}
	d.ingress.Drain()
	drained := d.admission.Drain()
	select {
	case <-drained:
	case <-ctx.Done():
		d.logger.Warn("attempts still run at the end of the shutdown timeout")
	}
	for d.ingress.InFlight() > 0 && ctx.Err() == nil {
		time.Sleep(stopPoll.Duration())
	}
	d.awaitClosed(ctx, s)
	// An epoch that was on its way during the first handover is given away too.
	d.handOver(ctx)
	d.close(ctx, s)
	d.logger.Info("stopped", "requests_in_flight", d.ingress.InFlight())
}

// awaitClosed waits for callers to close their connections.
func (d *daemon) awaitClosed(ctx context.Context, s *servers) {
	until := d.clock.Now() + closeTime
	for s.ingress.GetOpenConnectionsCount() > 0 && d.clock.Now() < until && ctx.Err() == nil {
		time.Sleep(stopPoll.Duration())
	}
}

// handOver gives the key shards away while other daemons still know this one.
func (d *daemon) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout.Duration())
	defer cancel()
	if err := d.claimer.HandOver(ctx); err != nil {
		d.logger.Warn("key shards not handed over", "error", err.Error())
	}
}

func (d *daemon) close(ctx context.Context, s *servers) {
	for _, server := range []interface{ ShutdownWithContext(context.Context) error }{s.ingress, s.peer, s.local} {
		if err := server.ShutdownWithContext(ctx); err != nil {
			d.logger.Warn("server did not shut down", "error", err.Error())
		}
	}
	if err := s.administration.Shutdown(ctx); err != nil {
		d.logger.Warn("administration server did not shut down", "error", err.Error())
	}
	if err := d.prober.Close(); err != nil {
		d.logger.Warn("probe socket not closed", "error", err.Error())
	}
	d.peers.CloseIdle()
	d.claimer.Close()
}

// dropPeers closes connections to daemons that have left.
func (d *daemon) dropPeers() {
	members := map[identifier.Address]bool{}
	d.membership.Read(func(t *tracker.Tracker) {
		for m := range t.Members() {
			members[m.Peer] = true
		}
	})
	d.peers.Retain(func(address identifier.Address) bool { return members[address] })
}
