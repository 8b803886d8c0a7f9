package assembler

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/dispatcher"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Times of the calls to the directory. The jitter keeps daemons that start or resume
// together from calling at the same time.
const (
	directoryTimeout = 800 * timer.Millis(1)
	directoryRetry   = 500 * timer.Millis(1)
	directoryJitter  = 400 * timer.Millis(1)
)

// join registers this daemon and reads the other members once, in this order, so that of
// two daemons that join at the same time one finds the other. It registers again whenever
// this daemon's entry has changed, and also reads again after the directory has lost
// entries: a daemon that started since may not have found this one.
func (d *Daemon) join(ctx context.Context) {
	membersKnown := false
	for ctx.Err() == nil {
		if err := d.register(ctx); err != nil || !membersKnown && !d.readDirectory(ctx) {
			if errors.Is(err, ErrSuperseded) {
				d.readDirectory(ctx) // It holds the higher incarnation; see supersede.
			}
			membersKnown = membersKnown || d.fetchFromKnownMember()
			time.Sleep((directoryRetry + timer.Millis(rand.Int64N(int64(directoryJitter)))).Duration())
			continue
		}
		membersKnown = true
		select {
		case <-ctx.Done():
		case <-d.reregister:
			membersKnown = !d.directoryLost.Swap(false)
		}
	}
}

// restoredPerSecond is the number of registrations a second of all daemons after the
// directory has lost entries. The platform's stores take several hundred writes.
const restoredPerSecond = 100

// restoreRegistration makes join run again after the directory has lost entries, at a
// random time, since all daemons do so.
func (d *Daemon) restoreRegistration(era identifier.Era) {
	span := timer.Millis(d.gossiper.ActiveCount()) * timer.Second / restoredPerSecond
	delay := timer.Millis(rand.Int64N(int64(span) + 1))
	d.config.Logger.Info("directory has lost entries; registering again", "era", era, "delay_ms", delay)
	time.AfterFunc(delay.Duration(), func() {
		d.directoryLost.Store(true)
		d.requestRegistration()
	})
}

func (d *Daemon) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout.Duration())
	defer cancel()
	m, _ := d.admission.Member()
	if err := d.config.Directory.Register(ctx, m); err != nil {
		d.config.Logger.Warn("registration in the directory failed", "error", err.Error())
		return err
	}
	d.config.Logger.Info("registered", "leaving", m.Leaving, "backend", m.Backend)
	return nil
}

func (d *Daemon) readDirectory(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout.Duration())
	defer cancel()
	members, err := d.config.Directory.Members(ctx)
	if err != nil {
		d.config.Logger.Warn("reading the members from the directory failed", "error", err.Error())
		return false
	}
	d.config.Logger.Info("members read from the directory", "members", len(members))
	d.addMembers(members)
	return true
}

// fetchFromKnownMember fetches the members from a daemon that has reported to this
// one. It is used while the directory cannot be read.
func (d *Daemon) fetchFromKnownMember() bool {
	members := d.gossiper.Members()
	return len(members) > 0 && d.fetchMembers(members[rand.IntN(len(members))])
}

// addMembers adds members from the directory or from another daemon. If the entry of an
// earlier run of this daemon is marked as leaving, that run has acknowledged the leave
// of the backend server, so it is applied again.
func (d *Daemon) addMembers(members []registrar.Member) {
	for _, m := range members {
		d.supersede(m)
		if m.Node == d.config.Node && uint64(m.Incarnation) < d.incarnation.Load() && m.Leaving {
			d.Announce(dispatcher.Backend{
				ID: m.Backend, Incarnation: m.BackendStart, Slots: m.Slots, State: admitter.Draining,
			})
		}
	}
	d.gossiper.AddMembers(members)
}

// supersede raises this daemon's incarnation above that of an earlier run of it. The
// earlier run has a higher one if the time of day was set back in between; without the
// change, the store and the other daemons would ignore this one. A daemon on another
// VM with the same name is not an earlier run.
func (d *Daemon) supersede(m registrar.Member) {
	if m.Node != d.config.Node || m.Peer != d.config.Addresses.Peers || m.Incarnation == math.MaxUint64 {
		return
	}
	for {
		own := d.incarnation.Load()
		if uint64(m.Incarnation) <= own {
			return
		}
		next := identifier.Incarnation(uint64(m.Incarnation) + 1)
		if !d.incarnation.CompareAndSwap(own, uint64(next)) {
			continue
		}
		d.config.Logger.Warn("an earlier run has a higher incarnation; the time of day was probably set back", "incarnation", next, "before", own)
		d.admission.SetIncarnation(next)
		d.ingress.SetIncarnation(next)
		d.requestRegistration()
		d.triggerBroadcast()
		return
	}
}

func (d *Daemon) recordAttempt(sender identifier.Incarnation) { d.gossiper.RecordAttemptFrom(sender) }

func (d *Daemon) broadcastQuarantine(entries []quarantiner.Entry) {
	d.gossiper.BroadcastQuarantine(entries)
}
