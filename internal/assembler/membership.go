package assembler

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/dispatcher"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Times of the calls to the directory. Daemons that start or come back together
// must not call in step.
const (
	directoryTimeout = 800 * timer.Millis(1)
	directoryRetry   = 500 * timer.Millis(1)
	directoryJitter  = 400 * timer.Millis(1)
)

// join registers this daemon and learns the others, again whenever the own entry
// has changed.
func (d *Daemon) join(ctx context.Context) {
	known := false
	for ctx.Err() == nil {
		if !d.registerOnce(ctx) || !known && !d.learn(ctx) {
			known = known || d.learnFromMember()
			time.Sleep((directoryRetry + timer.Millis(rand.Int64N(int64(directoryJitter)))).Duration())
			continue
		}
		known = true
		select {
		case <-ctx.Done():
		case <-d.registered:
		}
	}
}

func (d *Daemon) registerOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout.Duration())
	defer cancel()
	m, _ := d.admission.Member()
	if err := d.config.Directory.Register(ctx, m); err != nil {
		d.config.Logger.Warn("not registered", "error", err.Error())
		return false
	}
	d.config.Logger.Info("registered", "leaving", m.Leaving, "backend", m.Backend)
	return true
}

func (d *Daemon) learn(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout.Duration())
	defer cancel()
	members, err := d.config.Directory.Members(ctx)
	if err != nil {
		d.config.Logger.Warn("members not read", "error", err.Error())
		return false
	}
	d.config.Logger.Info("members read", "members", len(members))
	d.learned(members)
	return true
}

// learnFromMember asks a daemon that has reported to this one, while the directory
// cannot be read.
func (d *Daemon) learnFromMember() bool {
	members := d.gossiper.Members()
	return len(members) > 0 && d.fetchMembers(members[rand.IntN(len(members))])
}

// learned takes members from the directory or from another daemon. An entry of
// an earlier run of this daemon tells of a leave that it acknowledged.
func (d *Daemon) learned(members []registrar.Member) {
	for _, m := range members {
		if m.Node == d.config.Node && m.Incarnation < d.incarnation && m.Leaving {
			d.Announce(dispatcher.Backend{
				ID: m.Backend, Incarnation: m.BackendStart, Slots: m.Slots, State: admitter.Draining,
			})
		}
	}
	d.gossiper.AddMembers(members)
}

func (d *Daemon) used(sender identifier.Incarnation) { d.gossiper.RecordAttemptFrom(sender) }

func (d *Daemon) spread(entries []quarantiner.Entry) { d.gossiper.SendQuarantineEntries(entries) }
