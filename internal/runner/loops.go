package runner

import (
	"context"

	"github.com/magnoliaknot/magnoliaknot/internal/state/limiter"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Intervals of the daemon's periodic work.
const (
	tickInterval       = 50 * timer.Millis(1)
	claimInterval      = 100 * timer.Millis(1)
	prunePeersInterval = 30 * timer.Second
	// rebalanceInterval limits the rate at which shards move to preferred daemons.
	rebalanceInterval = 200 * timer.Millis(1)
	// ownershipConfirmedMaxAge is the age up to which the confirmation of the
	// ownership stream is passed to the claimer. A stream without new records is
	// confirmed once per long poll, which takes up to 2 s through a relay.
	ownershipConfirmedMaxAge = 4 * timer.Second
)

// loops returns the background loops, which run until the daemon has stopped.
func (d *daemon) loops() []func(context.Context) {
	loops := []func(context.Context){
		d.announcer.Run, d.checkNeighbours, d.broadcaster.run,
		func(context.Context) { d.prober.Run() },
		func(ctx context.Context) { every(ctx, tickInterval, d.tick) },
		func(ctx context.Context) { every(ctx, claimInterval, d.tickClaims) },
		func(ctx context.Context) { every(ctx, prunePeersInterval, d.prunePeers) },
		func(ctx context.Context) { every(ctx, rebalanceInterval, func() { d.claimer.Rebalance(ctx) }) },
	}
	for _, f := range d.followers {
		loops = append(loops, f.Run)
	}
	return append(loops, d.checkpointLoops()...)
}

func (d *daemon) tick() {
	if sheet := d.configuration.View().Sheet; sheet != nil {
		d.measuringBudget.SetBudget(limiter.Budget{
			MessagesPerSecond: sheet.MeasuringBudget.MessagesPerSecond,
			BytesPerSecond:    sheet.MeasuringBudget.BytesPerSecond,
		})
	}
	d.recordContact()
	d.admission.Tick()
	d.ingress.Tick()
}

func (d *daemon) tickClaims() {
	if age := d.followers[appender.Ownership].ConfirmedAge(); age < ownershipConfirmedMaxAge {
		d.claimer.MarkConfirmedAt(d.clock.Now() - age)
	}
	d.claimer.Tick()
}
