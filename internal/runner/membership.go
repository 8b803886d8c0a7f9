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
	neighbourCheckInterval = timer.Second
	pingTimeout            = 800 * timer.Millis(1)
	// confirmedMaxAge is the age up to which the end of a stream counts as
	// confirmed.
	confirmedMaxAge          = 5 * timer.Second
	claimantsRefreshInterval = timer.Second
	// maxLongPollTime is the maximum time from a stream request to its response.
	maxLongPollTime = 3 * timer.Second
	// randomPingDelay is the time without an answer from any daemon after which
	// maxRandomPings random members are pinged too.
	randomPingDelay = 2 * timer.Second
	maxRandomPings  = 3
	// maxSnapshotPeers is the maximum number of daemons that are asked for a
	// snapshot.
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

// assignment returns whether this daemon reads the log and which relays it
// follows. A daemon without a relay reads the log.
func (d *daemon) assignment() follower.Assignment {
	assignment := d.membership.Assignment()
	assignment.Reader = assignment.Reader || len(assignment.Relays) == 0
	return assignment
}

// snapshotPeers returns the daemons that may know the state while the log is
// unavailable: the seeds and the log readers of the failure domain.
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

// Snapshot encodes the folded states of all streams for daemons that cannot read
// the log.
func (d *daemon) Snapshot() (*peerv1.GetSnapshotResponse, error) {
	response := new(peerv1.GetSnapshotResponse)
	for _, part := range []struct {
		state interface {
			Folded() (identifier.Offset, bool)
			Checkpoint() ([]byte, error)
		}
		payload *[]byte
		offset  *uint64
	}{
		{d.configuration, &response.Configuration, &response.ConfigurationOffset},
		{d.membership, &response.Membership, &response.MembershipOffset},
		{d.claimer, &response.Ownership, &response.OwnershipOffset},
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
	return response, nil
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

// applyAnnouncement joins the membership, or updates the member, with the data that
// the backend server announced. It has no effect after the stop has begun.
func (d *daemon) applyAnnouncement(a receiver.Announcement) {
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

// observe passes an event to the member tracker and performs the actions that it
// returns.
func (d *daemon) observe(event tracker.Event) {
	for _, action := range d.membership.Step(d.clock.Now(), event) {
		switch a := action.(type) {
		case tracker.AppendLeave:
			if err := d.announcer.Append(a.Leave); err != nil {
				d.logger.Warn("leave of a suspected or expired instance was not added to the append queue", "instance", a.Leave.Instance, "error", err.Error())
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

// checkNeighbours pings the ring neighbours once a second, and random members too
// while no daemon answers.
func (d *daemon) checkNeighbours(ctx context.Context) {
	every(ctx, neighbourCheckInterval, func() {
		confirmed := d.followers[appender.Membership].ConfirmedAge() < confirmedMaxAge
		d.observe(tracker.Ticked{LogConfirmed: confirmed})
		var neighbours []tracker.Member
		d.membership.Read(func(t *tracker.Tracker) { neighbours = t.Watched(d.settings.Node) })
		for _, m := range neighbours {
			go d.ping(ctx, m)
		}
		if d.clock.Now()-timer.Millis(d.peerAnsweredAt.Load()) > randomPingDelay {
			for _, m := range d.randomMembers() {
				go d.ping(ctx, m)
			}
		}
	})
}

// randomMembers returns up to maxRandomPings random members. They are pinged when
// no neighbour answers: a daemon whose whole failure domain has failed is not
// isolated as long as other daemons answer.
func (d *daemon) randomMembers() []tracker.Member {
	var members []tracker.Member
	seen := 0
	d.membership.Read(func(t *tracker.Tracker) {
		for m := range t.Members() {
			if m.Instance == d.settings.Node {
				continue
			}
			// Reservoir sampling (Vitter, algorithm R).
			if seen++; len(members) < maxRandomPings {
				members = append(members, m)
			} else if i := rand.IntN(seen); i < maxRandomPings {
				members[i] = m
			}
		}
	})
	return members
}

func (d *daemon) ping(ctx context.Context, m tracker.Member) {
	sentAt := d.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, pingTimeout.Duration())
	defer cancel()
	response, err := d.peers.Client(m.Peer).Ping(ctx, &peerv1.PingRequest{
		Instance: string(d.settings.Node), Incarnation: uint64(d.incarnation),
	})
	alive := err == nil && response.Instance == string(m.Instance)
	if alive {
		d.peerAnsweredAt.Store(int64(d.clock.Now()))
		d.admission.RecordContact(sentAt)
	}
	d.observe(tracker.Observed{Instance: m.Instance, Alive: alive})
}

// recordContact reports to admission that the log or a relay answered. The
// confirmed age of the configuration counts from when the request was sent, so a
// daemon that has just started admits requests as soon as it knows the end of the
// configuration stream. Of other responses only the arrival time is known; their
// requests were sent up to maxLongPollTime earlier.
func (d *daemon) recordContact() {
	if age := d.followers[appender.Configuration].ConfirmedAge(); age < neighbourCheckInterval {
		d.admission.RecordContact(d.clock.Now() - age)
		return
	}
	for _, f := range d.followers {
		if age := f.ContactAge(); age < neighbourCheckInterval {
			d.admission.RecordContact(d.clock.Now() - age - maxLongPollTime)
			return
		}
	}
}

func (d *daemon) recordLoad(instance identifier.InstanceID, load encoder.Load) {
	d.ingress.RecordLoad(instance, load)
}

// claimants returns the daemons that can own key shards. The list covers every
// member, so it is rebuilt at most once a second.
func (d *daemon) claimants() deduplicator.Members {
	now := d.clock.Now()
	if d.cachedClaimants.List != nil && now-d.claimantsCachedAt < claimantsRefreshInterval {
		return d.cachedClaimants
	}
	members := make([]deduplicator.Member, 0, len(d.cachedClaimants.List)+1)
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
	d.cachedClaimants, d.claimantsCachedAt = deduplicator.Members{List: members}, now
	return d.cachedClaimants
}

// claimantClient returns the client for a daemon that owns or may take over key
// shards, or false if it is not a member.
func (d *daemon) claimantClient(c deduplicator.Claimant) (claimer.Peer, bool) {
	m, found := d.membership.Lookup(c.Instance)
	if !found {
		return nil, false
	}
	return d.peers.Client(m.Peer), true
}

// every calls a function at a fixed interval until ctx ends.
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
