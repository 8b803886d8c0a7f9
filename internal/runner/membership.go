package runner

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/announcer"
	"github.com/magnoliaknot/magnoliaknot/internal/coordination/claimer"
	"github.com/magnoliaknot/magnoliaknot/internal/coordination/follower"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/receiver"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	watchInterval = timer.Second
	pingTimeout   = 800 * timer.Millis(1)
	// confirmedRecently is the age up to which the end of a stream counts as
	// confirmed.
	confirmedRecently = 5 * timer.Second
	claimantsInterval = timer.Second
	// longPoll bounds the time from a question about a stream to its answer.
	longPoll = 3 * timer.Second
	// distantAfter is the time without an answer of a neighbour after which
	// distantPings other members are asked.
	distantAfter = 2 * timer.Second
	distantPings = 3
	// maxSnapshotPeers bounds the daemons that are asked for a snapshot.
	maxSnapshotPeers = 8
)

func (d *daemon) newFollowers() map[appender.Stream]*follower.Follower {
	relay := follower.PeerRelay{Client: d.peers.Client}
	followers := map[appender.Stream]*follower.Follower{}
	for stream, state := range map[appender.Stream]follower.State{
		appender.Configuration: d.configuration,
		appender.Membership:    d.membership,
		appender.Ownership:     d.claimer,
	} {
		config := follower.Config{
			Stream: stream, Log: d.log, Relay: relay, Clock: d.clock, Rand: newRand(),
			Assignment: d.assignment, Peers: d.snapshotPeers, Logger: d.logger,
		}
		if stream == appender.Membership {
			config.Empty = tracker.EmptyCheckpoint
		}
		followers[stream] = follower.New(config, state)
	}
	return followers
}

// assignment tells whether this daemon reads the log and which relays it
// follows. Without a relay it reads the log.
func (d *daemon) assignment() follower.Assignment {
	assignment := d.membership.Assignment()
	assignment.Reader = assignment.Reader || len(assignment.Relays) == 0
	return assignment
}

// snapshotPeers returns daemons that may know the state while the log is down.
func (d *daemon) snapshotPeers() []identifier.Address {
	peers := slices.Clone(d.settings.Seeds)
	d.membership.Read(func(t *tracker.Tracker) {
		for _, m := range t.Readers(d.settings.FailureDomain) {
			if m.Instance != d.settings.Node && !slices.Contains(peers, m.Peer) {
				peers = append(peers, m.Peer)
			}
		}
	})
	return peers[:min(len(peers), maxSnapshotPeers)]
}

// Snapshot encodes the folded states for daemons that cannot read the log.
func (d *daemon) Snapshot() (*peerv1.GetSnapshotResponse, error) {
	answer := new(peerv1.GetSnapshotResponse)
	for _, part := range []struct {
		state interface {
			Folded() (identifier.Offset, bool)
			Checkpoint() ([]byte, error)
		}
		payload *[]byte
		offset  *uint64
	}{
		{d.configuration, &answer.Configuration, &answer.ConfigurationOffset},
		{d.membership, &answer.Membership, &answer.MembershipOffset},
		{d.claimer, &answer.Ownership, &answer.OwnershipOffset},
	} {
		folded, found := part.state.Folded()
		if !found {
			continue
		}
		payload, err := part.state.Checkpoint()
		if err != nil {
			return nil, Error.Wrap(err)
		}
		*part.payload, *part.offset = payload, uint64(folded)
	}
	return answer, nil
}

func (d *daemon) newAnnouncer() *announcer.Announcer {
	return announcer.New(announcer.Config{
		Log: d.log, Peers: announcer.PeerClients{Client: d.peers.Client}, Clock: d.clock, Rand: newRand(),
		Retention: d.settings.Log.Retention, Status: d.membership.Status,
		NewIncarnation: func(above identifier.Incarnation) identifier.Incarnation {
			return max(above+1, identifier.NewIncarnation(d.clock.Wall()))
		},
		OnSuspect: func(suspect tracker.Suspect) { d.observe(tracker.Suspected{Suspect: suspect}) },
		Logger:    d.logger,
	})
}

// announced joins the membership with what the backend server said of itself.
func (d *daemon) announced(a receiver.Announcement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping {
		return
	}
	class, known := identifier.InstanceClass(""), false
	if sheet := d.configuration.View().Sheet; sheet != nil {
		if service, found := sheet.Service(a.Service); found {
			class, known = service.InstanceClass, true
		}
	}
	if !known {
		class = "unknown"
	}
	d.revision++
	d.joined = true
	d.announcer.Join(tracker.Member{
		Instance: d.settings.Node, Incarnation: d.incarnation, Revision: d.revision,
		Service: a.Service, FailureDomain: d.settings.FailureDomain, Region: d.settings.Region,
		Class: class, Slots: a.Slots,
		Peer: d.settings.Addresses.Peer, Probe: d.settings.Addresses.Probe, State: a.State,
	})
	d.logger.Info("backend server announced", "service", a.Service, "state", a.State.String(), "slots", a.Slots)
}

// observe passes an event to the membership table and performs its actions.
func (d *daemon) observe(event tracker.Event) {
	for _, action := range d.membership.Step(d.clock.Now(), event) {
		switch a := action.(type) {
		case tracker.AppendLeave:
			if err := d.announcer.Append(a.Leave); err != nil {
				d.logger.Warn("leave not queued", "instance", a.Leave.Instance, "error", err.Error())
			}
		case tracker.SendSuspicion:
			go d.sendSuspicion(a.Suspect)
		}
	}
}

func (d *daemon) sendSuspicion(suspect tracker.Suspect) {
	var readers []tracker.Member
	d.membership.Read(func(t *tracker.Tracker) { readers = t.SuspicionReaders(suspect.Instance) })
	client := announcer.PeerClients{Client: d.peers.Client}
	for _, m := range readers {
		if m.Instance == d.settings.Node {
			d.observe(tracker.Suspected{Suspect: suspect})
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout.Duration())
		if _, err := client.Announce(ctx, m.Peer, []tracker.Record{suspect}); err != nil {
			d.logger.Debug("suspicion not delivered", "peer", m.Peer, "error", err.Error())
		}
		cancel()
	}
}

// watch checks the neighbours once a second.
func (d *daemon) watch(ctx context.Context) {
	every(ctx, watchInterval, func() {
		confirmed := d.followers[appender.Membership].ConfirmedAge() < confirmedRecently
		d.observe(tracker.Ticked{LogConfirmed: confirmed})
		var watched []tracker.Member
		d.membership.Read(func(t *tracker.Tracker) { watched = t.Watched(d.settings.Node) })
		for _, m := range watched {
			go d.ping(ctx, m)
		}
		if d.clock.Now()-timer.Millis(d.reachedAt.Load()) > distantAfter {
			for _, m := range d.distant() {
				go d.ping(ctx, m)
			}
		}
	})
}

// distant returns a few random members. They are asked when no neighbour
// answers, since a daemon whose whole failure domain is gone is not isolated
// while others answer.
func (d *daemon) distant() []tracker.Member {
	var members []tracker.Member
	seen := 0
	d.membership.Read(func(t *tracker.Tracker) {
		for m := range t.Members() {
			if m.Instance == d.settings.Node {
				continue
			}
			// Reservoir sampling (Vitter, algorithm R).
			if seen++; len(members) < distantPings {
				members = append(members, m)
			} else if i := rand.IntN(seen); i < distantPings {
				members[i] = m
			}
		}
	})
	return members
}

func (d *daemon) ping(ctx context.Context, m tracker.Member) {
	askedAt := d.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, pingTimeout.Duration())
	defer cancel()
	answer, err := d.peers.Client(m.Peer).Ping(ctx, &peerv1.PingRequest{
		Instance: string(d.settings.Node), Incarnation: uint64(d.incarnation),
	})
	alive := err == nil && answer.Instance == string(m.Instance)
	if alive {
		d.reachedAt.Store(int64(d.clock.Now()))
		d.admission.RecordContact(askedAt)
	}
	d.observe(tracker.Observed{Instance: m.Instance, Alive: alive})
}

// contact tells admission that a stream answered. The age of the configuration
// counts from the question, so that a daemon that has just started admits as
// soon as it knows the end of the configuration. Of other answers only the
// arrival is known; their questions were asked up to a long poll earlier.
func (d *daemon) contact() {
	if age := d.followers[appender.Configuration].ConfirmedAge(); age < watchInterval {
		d.admission.RecordContact(d.clock.Now() - age)
		return
	}
	for _, f := range d.followers {
		if age := f.ContactAge(); age < watchInterval {
			d.admission.RecordContact(d.clock.Now() - age - longPoll)
			return
		}
	}
}

func (d *daemon) report(instance identifier.InstanceID, load encoder.Load) {
	d.ingress.RecordLoad(instance, load)
}

// claimants lists the daemons that can own key shards. The list is made once a
// second at most, since it holds every member.
func (d *daemon) claimants() deduplicator.Members {
	now := d.clock.Now()
	if d.listed.List != nil && now-d.listedAt < claimantsInterval {
		return d.listed
	}
	members := make([]deduplicator.Member, 0, len(d.listed.List)+1)
	d.membership.Read(func(t *tracker.Tracker) {
		for m := range t.Members() {
			if m.Instance == d.settings.Node {
				m.Incarnation = d.incarnation
			}
			if m.Instance == d.settings.Node || t.Usable(m.Instance, now) {
				members = append(members, deduplicator.Member{
					Claimant:      deduplicator.Claimant{Instance: m.Instance, Incarnation: m.Incarnation},
					FailureDomain: m.FailureDomain,
				})
			}
		}
	})
	d.listed, d.listedAt = deduplicator.Members{List: members}, now
	return d.listed
}

// claimPeer returns the client for a daemon that owns or follows key shards.
func (d *daemon) claimPeer(c deduplicator.Claimant) (claimer.Peer, bool) {
	m, found := d.membership.Lookup(c.Instance)
	if !found {
		return nil, false
	}
	return d.peers.Client(m.Peer), true
}

// every calls a function at an interval until the context ends.
func every(ctx context.Context, interval timer.Millis, call func()) {
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			call()
		}
	}
}
