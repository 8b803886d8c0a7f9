// Package runner builds a daemon from its settings and runs it until its context
// ends.
//
// # Usage
//
//	err := runner.Run(ctx, settings, logger) // returns after a graceful stop
package runner

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/announcer"
	"github.com/magnoliaknot/magnoliaknot/internal/coordination/claimer"
	"github.com/magnoliaknot/magnoliaknot/internal/coordination/follower"
	"github.com/magnoliaknot/magnoliaknot/internal/coordination/holder"
	"github.com/magnoliaknot/magnoliaknot/internal/coordination/publisher"
	"github.com/magnoliaknot/magnoliaknot/internal/loader"
	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/prober"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/receiver"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Error is the class of errors of this package.
var Error = errs.Class("daemon")

// daemon holds the components of a running daemon.
type daemon struct {
	settings *loader.Settings
	logger   *slog.Logger
	clock    timer.Clock

	// memory bounds what connections, requests and responses hold at the same time.
	memory      *exchanger.Memory
	connections connections

	// incarnation identifies this process in attempts and leases.
	incarnation identifier.Incarnation

	log             *appender.Client
	configuration   *holder.Configuration
	membership      *holder.Membership
	peers           *receiver.Peers
	measuringBudget *receiver.MeasuringBudget
	admission       *receiver.Admission
	ingress         *receiver.Ingress
	prober          *prober.Prober
	claimer         *claimer.Claimer
	announcer       *announcer.Announcer
	followers       map[appender.Stream]*follower.Follower
	broadcaster     *quarantineBroadcaster
	publisher       *publisher.Publisher

	// cachedClaimants is the last result of claimants. Only the claim loop uses it.
	cachedClaimants   deduplicator.Members
	claimantsCachedAt timer.Millis

	// peerAnsweredAt is the clock time in ms at which another daemon last answered.
	peerAnsweredAt atomic.Int64

	mu       sync.Mutex
	revision uint32
	joined   bool
	stopping bool
}

// Run runs a daemon until ctx ends or a server fails, then stops it gracefully.
func Run(ctx context.Context, settings *loader.Settings, logger *slog.Logger) error {
	d, err := newDaemon(settings, logger)
	if err != nil {
		return err
	}
	servers, err := d.listen()
	if err != nil {
		return err
	}
	loopCtx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	for _, loop := range d.loops() {
		background.Go(func() { loop(loopCtx) })
	}
	logger.Info("daemon started", "node", settings.Node, "incarnation", d.incarnation, "failure_domain", settings.FailureDomain)
	select {
	case <-ctx.Done():
	case err = <-servers.failed:
		logger.Error("HTTP server failed; stopping the daemon", "error", err.Error())
	}
	d.stop(servers)
	cancel()
	background.Wait()
	return Error.Wrap(err)
}

func newDaemon(settings *loader.Settings, logger *slog.Logger) (*daemon, error) {
	clock := timer.NewSystem()
	d := &daemon{
		settings: settings, logger: logger, clock: clock,
		incarnation:   identifier.NewIncarnation(clock.Wall()),
		log:           appender.NewClient(appender.Config{BaseURL: settings.Log.URL}),
		configuration: holder.NewConfiguration(logger),
		membership: holder.NewMembership(tracker.Config{
			Self: settings.Node, FailureDomain: settings.FailureDomain, Retention: settings.Log.Retention,
		}),
		measuringBudget: receiver.NewMeasuringBudget(clock),
		memory:          exchanger.NewMemory(settings.Limits.MemoryMB.Requests()),
		connections:     newConnections(settings.Limits),
	}
	d.peers = receiver.NewPeers(receiver.PeersConfig{
		MaxAnswerBytes: int(settings.Limits.BodyBytes), Memory: d.memory, Sockets: d.connections.outgoing,
	})
	d.broadcaster = newQuarantineBroadcaster(d)
	d.publisher = publisher.New(publisher.Config{Log: d.log, Lookup: d.configuration})
	d.claimer = d.newClaimer()
	d.followers = d.newFollowers()
	d.announcer = d.newAnnouncer()
	d.admission = receiver.NewAdmission(receiver.AdmissionConfig{
		Clock: clock, FailureDomain: settings.FailureDomain, Configuration: d.configuration,
		MeasuringBudget: d.measuringBudget, MaxAnswerBytes: int(settings.Limits.BodyBytes),
		Memory: d.memory, Sockets: d.connections.outgoing,
		IsSoleMember: d.isSoleMember, BroadcastQuarantine: d.broadcaster.add, OnAnnouncementChange: d.applyAnnouncement, Logger: logger,
	})
	var err error
	d.prober, err = prober.Listen(prober.Config{
		Address: settings.Addresses.Probe, Clock: clock, Budget: d.measuringBudget,
		Load: d.admission.Load, Report: d.recordLoad,
	})
	if err != nil {
		return nil, err
	}
	d.ingress = receiver.NewIngress(receiver.IngressConfig{
		Self: settings.Node, Incarnation: d.incarnation, FailureDomain: settings.FailureDomain,
		Clock: clock, View: d.configuration.View, Membership: d.membership, Peers: d.peers, Claimer: d.claimer,
		Probe: func(m tracker.Member) {
			if m.Probe != "" {
				d.prober.Probe(m.Instance, m.Probe)
			}
		},
		MaxDepth: int(settings.Limits.CallDepth), MaxInFlight: int(settings.Limits.RequestsInFlight),
		Policy: receiver.PolicyName(settings.Policy), Logger: logger,
	})
	return d, nil
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (d *daemon) newClaimer() *claimer.Claimer {
	return claimer.New(claimer.Config{
		Self:       deduplicator.Claimant{Instance: d.settings.Node, Incarnation: d.incarnation},
		ShardCount: uint32(d.settings.KeyShards), Clock: d.clock, Log: d.log, Logger: d.logger,
		Peer: d.claimantClient, Members: d.claimants, Window: d.deduplicationWindow, Memory: d.memory.NewClaimReservation(),
	})
}

// deduplicationWindow returns how long keys of a service are retained, or false if
// the service is unknown.
func (d *daemon) deduplicationWindow(service identifier.ServiceName) (timer.Millis, bool) {
	sheet := d.configuration.View().Sheet
	if sheet == nil {
		return 0, false
	}
	found, known := sheet.Service(service)
	if !known {
		return 0, false
	}
	return found.DeduplicationWindow, true
}

// isSoleMember reports whether no other daemon is known. It is false until the
// membership stream has been read.
func (d *daemon) isSoleMember() bool {
	_, folded := d.membership.Folded()
	return folded && d.membership.Len() <= 1 && len(d.settings.Seeds) == 0
}

func (d *daemon) draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopping
}
