package runner

import (
	"context"

	"github.com/magnoliaknot/magnoliaknot/internal/state/limiter"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Intervals of the daemon's own work.
const (
	tickInterval  = 50 * timer.Millis(1)
	claimInterval = 100 * timer.Millis(1)
	peersInterval = 30 * timer.Second
	// rebalanceInterval spreads the moves of shards to preferred daemons.
	rebalanceInterval = 200 * timer.Millis(1)
	// ownershipFresh is the age up to which the end of the ownership stream is
	// reported. A quiet stream is confirmed by each long poll, which takes up to
	// 2 s behind a relay.
	ownershipFresh = 4 * timer.Second
)

// loops returns the work that runs until the daemon has stopped.
func (d *daemon) loops() []func(context.Context) {
	loops := []func(context.Context){
		d.announcer.Run, d.watch, d.spread.run,
		func(context.Context) { d.prober.Run() },
		func(ctx context.Context) { every(ctx, tickInterval, d.tick) },
		func(ctx context.Context) { every(ctx, claimInterval, d.tickClaims) },
		func(ctx context.Context) { every(ctx, peersInterval, d.dropPeers) },
		func(ctx context.Context) { every(ctx, rebalanceInterval, func() { d.claimer.Rebalance(ctx) }) },
	}
	for _, f := range d.followers {
		loops = append(loops, f.Run)
	}
	return append(loops, d.checkpointLoops()...)
}

func (d *daemon) tick() {
	if sheet := d.configuration.View().Sheet; sheet != nil {
		d.measuring.SetBudget(limiter.Budget{
			MessagesPerSecond: sheet.MeasuringBudget.MessagesPerSecond,
			BytesPerSecond:    sheet.MeasuringBudget.BytesPerSecond,
		})
	}
	d.contact()
	d.admission.Tick()
	d.ingress.Tick()
}

func (d *daemon) tickClaims() {
	if age := d.followers[appender.Ownership].ConfirmedAge(); age < ownershipFresh {
		d.claimer.MarkConfirmedAt(d.clock.Now() - age)
	}
	d.claimer.Tick()
}
