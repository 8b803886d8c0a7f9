package assembler

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
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

// recallTimeout bounds the wait for what earlier runs of this daemon have stored. Nothing
// starts on the backend server before: it may have left.
const recallTimeout = timer.Second

// join reads the directory, registers this daemon and registers it again whenever its
// entry has changed.
func (d *Daemon) join(ctx context.Context) {
	var state joining
	for ctx.Err() == nil {
		if d.joinOnce(ctx, &state) != nil {
			if d.fetchFromKnownMember() {
				d.admission.EndRecall()
				state.othersKnown = true
			}
			time.Sleep((directoryRetry + timer.Millis(rand.Int64N(int64(directoryJitter)))).Duration())
			continue
		}
		select {
		case <-ctx.Done():
		case <-d.registration.wake:
			state.othersKnown = !d.directoryLost.Swap(false)
		}
	}
}

// joining is how far a daemon has joined.
type joining struct {
	// recalled says that the entry of an earlier run was read, so that it may be replaced.
	recalled bool
	// othersKnown says that no daemon can have missed this one that this one has missed too.
	othersKnown bool
}

// joinOnce does what is left to join. Without an earlier entry of this daemon the directory
// is read again after the registration, so that of two daemons that join at the same time
// one finds the other; after the directory has lost entries, a daemon that started since may
// not have found this one.
func (d *Daemon) joinOnce(ctx context.Context, state *joining) error {
	if !state.recalled {
		ownFound, err := d.readDirectory(ctx)
		if err != nil {
			return err
		}
		state.recalled, state.othersKnown = true, state.othersKnown || ownFound
		d.admission.EndRecall()
	}
	if err := d.register(ctx); err != nil {
		// The entry of the run with the higher incarnation is read next; see supersede.
		state.recalled = !errors.Is(err, ErrSuperseded)
		return err
	}
	if !state.othersKnown {
		if _, err := d.readDirectory(ctx); err != nil {
			return err
		}
		state.othersKnown = true
	}
	return nil
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
		d.registration.request()
	})
}

func (d *Daemon) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout.Duration())
	defer cancel()
	changes := d.registration.begin()
	m, _ := d.admission.Member()
	own := Description{Member: m, Entries: d.quarantinesInForce()}
	if err := d.config.Directory.Register(ctx, own); err != nil {
		d.config.Logger.Warn("registration in the directory failed", "error", err.Error())
		return err
	}
	d.registration.done(changes)
	d.config.Logger.Info("registered", "leaving", m.Leaving, "backend", m.Backend, "entries", len(own.Entries))
	return nil
}

// readDirectory adds the members in the directory. It reports whether this daemon, in this
// run or an earlier one, is among them.
func (d *Daemon) readDirectory(ctx context.Context) (ownFound bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout.Duration())
	defer cancel()
	descriptions, err := d.config.Directory.Members(ctx)
	if err != nil {
		d.config.Logger.Warn("reading the members from the directory failed", "error", err.Error())
		return false, err
	}
	members := make([]registrar.Member, 0, len(descriptions))
	var entries []quarantiner.Entry
	for _, description := range descriptions {
		members = append(members, description.Member)
		if description.Service == d.config.Service {
			entries = append(entries, description.Entries...)
		}
	}
	ownFound = slices.ContainsFunc(members, d.isOwn)
	added := d.admission.AddQuarantineEntries(entries)
	d.config.Logger.Info("members read from the directory", "members", len(members), "own", ownFound, "entries", len(entries), "entries_added", len(added))
	d.addMembers(members)
	return ownFound, nil
}

// fetchFromKnownMember fetches the members from a daemon that has reported to this
// one. It is used while the directory cannot be read.
func (d *Daemon) fetchFromKnownMember() bool {
	members := d.gossiper.Members()
	return len(members) > 0 && d.fetchMembers(members[rand.IntN(len(members))])
}

// addMembers adds members from the directory or from another daemon.
func (d *Daemon) addMembers(members []registrar.Member) {
	for _, m := range members {
		d.recall(m)
	}
	d.gossiper.AddMembers(members)
}

// isOwn reports whether an entry is that of a run of this daemon. A daemon on another VM
// with the same name is not one.
func (d *Daemon) isOwn(m registrar.Member) bool {
	return m.Node == d.config.Node && m.Peer == d.config.Addresses.Peers
}

// recall takes over what an earlier run of this daemon has recorded: a higher incarnation,
// and the leave of the backend server that it has acknowledged.
func (d *Daemon) recall(m registrar.Member) {
	if !d.isOwn(m) {
		return
	}
	d.supersede(m)
	if !m.Leaving || uint64(m.Incarnation) >= d.incarnation.Load() {
		return
	}
	leave := dispatcher.Backend{
		ID: m.Backend, Incarnation: m.BackendStart, Presumed: m.Presumed, Sequence: math.MaxUint64, Slots: m.Slots, State: admitter.Draining,
	}
	if d.admission.Announce(leave) {
		d.config.Logger.Info("leave that an earlier run has acknowledged applies", "backend", m.Backend, "start", m.BackendStart)
	}
}

// supersede raises this daemon's incarnation above that of an earlier run of it. The
// earlier run has a higher one if the time of day was set back in between; without the
// change, the store and the other daemons would ignore this one.
func (d *Daemon) supersede(m registrar.Member) {
	if m.Incarnation == math.MaxUint64 {
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
		d.registration.request()
		d.triggerBroadcast()
		return
	}
}

func (d *Daemon) recordAttempt(sender identifier.Incarnation) { d.gossiper.RecordAttemptFrom(sender) }

// maxEntriesInForce bounds the entries in a daemon's description and those that a member
// which may have missed some is sent.
const maxEntriesInForce = 20

func (d *Daemon) entriesInForce() []quarantiner.Entry {
	return d.admission.QuarantineEntries(maxEntriesInForce)
}

// quarantinesInForce returns the entries that are stored. Suspects are not: a crash makes
// one of each request that ran, and the next crash makes it one again.
func (d *Daemon) quarantinesInForce() []quarantiner.Entry {
	return slices.DeleteFunc(d.entriesInForce(), func(e quarantiner.Entry) bool { return e.Kind != quarantiner.Quarantined })
}

// broadcastQuarantine sends entries to other daemons and stores quarantines.
func (d *Daemon) broadcastQuarantine(entries []quarantiner.Entry) {
	d.gossiper.BroadcastQuarantine(entries)
	if slices.ContainsFunc(entries, func(e quarantiner.Entry) bool { return e.Kind == quarantiner.Quarantined }) {
		d.registration.request()
	}
}
