// Package assembler builds a daemon from its components and runs it until it is told
// to stop. The configuration source, the member directory and the header format are
// passed in; package platform implements them.
//
// # Usage
//
//	daemon, err := assembler.New(assembler.Config{...})
//	go source.Announce(daemon.Announce)
//	err = daemon.Run(ctx) // returns after a graceful stop
package assembler

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/gossiper"
	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/comparer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/state/verifier"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/dispatcher"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Error is the class of errors of this package.
var Error = errs.Class("daemon")

// Source provides the configuration.
type Source interface {
	// Follow passes each newer snapshot to adopt until the context ends.
	Follow(ctx context.Context, adopt func(*router.Snapshot))
	// SetSchedule sets what says when this daemon reads from the source. The other
	// daemons get the configuration from those that do.
	SetSchedule(Schedule)
	// Reachable reports whether the last call was answered.
	Reachable() bool
	// Refresh makes Follow read again at once, because a connection may be broken
	// without an error.
	Refresh()
}

// Schedule says when a daemon reads from its source, and learns of the result.
type Schedule interface {
	// Wait waits until this daemon is to read, or until the context ends. CatchUp says that
	// the source has more than Position.
	Wait(ctx context.Context) (catchUp bool)
	// Position returns the position of the configuration in force, which may come from
	// another daemon.
	Position() router.Position
	// Succeed is called after a read. Age is how long ago the source had no more than what
	// was read.
	Succeed(age timer.Millis)
	// Fail is called after a read without an answer.
	Fail()
}

// ErrSuperseded is returned by Directory.Register if an entry of a higher incarnation
// of this daemon is stored.
var ErrSuperseded = errors.New("a run of this daemon with a higher incarnation is registered")

// Description is what a daemon stores of itself: it has to be known after all daemons were
// killed.
type Description struct {
	registrar.Member
	// Entries quarantine requests that crash backend servers of the service.
	Entries []quarantiner.Entry `json:"entries,omitempty"`
}

// Directory stores the descriptions of daemons so that they find each other.
type Directory interface {
	// Register stores the description of this daemon. It may return ErrSuperseded.
	Register(ctx context.Context, own Description) error
	// Members returns the stored descriptions, including that of this daemon.
	Members(ctx context.Context) ([]Description, error)
}

// Addresses that a daemon listens on.
type Addresses struct {
	// Callers receives requests of callers and of this VM's backend server.
	Callers identifier.Address
	// Peers receives attempts and queries of other daemons.
	Peers identifier.Address
	// Reports receives reports of other daemons by UDP.
	Reports identifier.Address
	// Metrics serves counters and histograms.
	Metrics identifier.Address
	// Backend is the address of the backend server.
	Backend identifier.Address
}

// Config describes a daemon.
type Config struct {
	Node          identifier.InstanceID
	Service       identifier.ServiceName
	FailureDomain identifier.FailureDomain
	Region        identifier.Region
	Addresses     Addresses
	Retries       dispatcher.RetryBudget
	// Grace is the time from the request to stop until the process is killed.
	Grace timer.Millis
	// Notice is how long a stopping daemon goes on serving so that callers see that it
	// is not ready.
	Notice timer.Millis
	// LoadCheck is how long the start of an attempt waits for a check of the load.
	LoadCheck timer.Millis
	// Bodies bound the bodies of responses.
	Bodies dispatcher.BodyLimits
	// Memory bounds what connections, requests and responses hold at the same time.
	Memory *exchanger.Memory
	// Connections bound the open connections.
	Connections ConnectionLimits
	Dialect     dispatcher.Dialect
	Source      Source
	Directory   Directory
	Control     ControlStore
	// ExposureShare is the share of requests that a bad version in a roll-out may get; zero
	// means the default.
	ExposureShare float64
	Logger        *slog.Logger
}

// ConnectionLimits bound the open connections by who opened them. Zero has no bound.
type ConnectionLimits struct {
	Callers, Peers int
	// Metrics bounds the connections of those who read the metrics.
	Metrics int
	// Outgoing bounds the connections to other daemons and to the backend server.
	Outgoing int64
}

// Daemon runs beside one backend server.
type Daemon struct {
	config Config
	clock  *timer.Boot
	// incarnation is raised if an earlier run of this daemon has a higher one, after the
	// time of day was set back.
	incarnation   atomic.Uint64
	configuration *router.Holder
	admission     *dispatcher.Admission
	ingress       *dispatcher.Ingress
	gossiper      *gossiper.Gossiper
	peers         *dispatcher.Peers
	quotas        *quotas
	rollouts      *rollouts
	schedule      *schedule

	callerServer         *exchanger.Server
	peerServer           *exchanger.Server
	stopping             atomic.Bool
	encodedConfiguration configurationCache
	newerMembers         newerMembers
	// registration wakes join when this daemon's entry has changed.
	registration *registration
	// directoryLost says that the directory may lack entries, so that join reads it again.
	directoryLost atomic.Bool
}

// New builds a daemon.
func New(config Config) (*Daemon, error) {
	clock := timer.NewBoot()
	var sockets *exchanger.Sockets
	if config.Connections.Outgoing > 0 {
		sockets = exchanger.NewSockets(config.Connections.Outgoing)
	}
	d := &Daemon{
		config: config, clock: clock,
		configuration: router.NewHolder(),
		peers:         dispatcher.NewPeers(config.Memory, sockets),
		registration:  newRegistration(),
	}
	incarnation := identifier.NewIncarnation(clock.Wall())
	d.incarnation.Store(uint64(incarnation))
	d.admission = dispatcher.NewAdmission(dispatcher.AdmissionConfig{
		Member: registrar.Member{
			Node: config.Node, Incarnation: incarnation, FailureDomain: config.FailureDomain, Region: config.Region,
			Peer: config.Addresses.Peers, Report: config.Addresses.Reports, Service: config.Service,
		},
		Address: config.Addresses.Backend, Clock: timer.NewSteady(clock), Configuration: d.configuration, Dialect: config.Dialect, Bodies: config.Bodies,
		Memory: config.Memory, Sockets: sockets,
		LoadCheckTimeout: config.LoadCheck, OnChange: d.triggerBroadcast,
		OnLeave:       d.registration.request, // Stored in the directory, so that the leave survives a restart of the daemon.
		RecallTimeout: recallTimeout,
		OnAttempt:     d.recordAttempt, BroadcastQuarantine: d.broadcastQuarantine, Logger: config.Logger,
	})
	d.quotas = d.newQuotas()
	d.schedule = newSchedule(
		clock, func() verifier.Place { return d.gossiper.Place() },
		func() router.Position { return d.configuration.Snapshot().Position() },
	)
	var err error
	d.gossiper, err = gossiper.Listen(gossiper.Config{
		Address: config.Addresses.Reports, Clock: clock,
		Self:     d.self,
		Position: d.position, Ahead: d.scheduleFetch, Loaded: func(m registrar.Member) { d.ingress.RecordLoad(m) },
		Evidence: d.schedule.evidence, Confirmed: d.schedule.confirm,
		FailureDomain: config.FailureDomain, Uses: d.uses,
		OwnRun:      d.recall,
		Quarantined: d.admission.AddQuarantineEntries, InForce: d.entriesInForce, Logger: config.Logger,
		Used: d.quotas.used, Granted: d.quotas.granted,
		Outcomes: d.countedOutcomes, Counted: func(r comparer.Report) { d.rollouts.Counted(r) },
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	d.rollouts = newRollouts(rolloutsConfig{
		Store: config.Control, Clock: clock, Snapshot: d.configuration.Snapshot, Adopt: d.adopt,
		Deciding: d.gossiper.Deciding, Reachable: config.Source.Reachable, Ask: d.gossiper.AskOutcomes,
		ExposureShare: config.ExposureShare, Logger: config.Logger,
	})
	config.Source.SetSchedule(d.schedule)
	d.ingress = dispatcher.NewIngress(dispatcher.IngressConfig{
		Self: config.Node, Caller: config.Service, Incarnation: incarnation, FailureDomain: config.FailureDomain,
		Clock: clock, Configuration: d.configuration, Members: d.gossiper, Peers: d.peers, Admission: d.admission,
		Dialect: config.Dialect, Bodies: config.Bodies, Retries: config.Retries, Quotas: d.quotas, OnNewerConfiguration: d.scheduleFetch, Logger: config.Logger,
	})
	return d, nil
}

// triggerBroadcast makes the gossiper send this daemon's load and state to other
// daemons.
func (d *Daemon) triggerBroadcast() {
	if d.gossiper != nil {
		d.gossiper.TriggerBroadcast()
	}
}

// self returns the description of this daemon for other daemons.
func (d *Daemon) self() registrar.Member {
	m, _ := d.admission.Member()
	m.StoreUnreachable = !d.config.Source.Reachable()
	return m
}

// uses reports whether this daemon needs the reports of the members of a service.
func (d *Daemon) uses(service registrar.ServiceKey) bool {
	return d.ingress.Uses(service) || d.rollouts.Decides(service)
}

// countedOutcomes returns what admission has counted in the roll-out of a service. Halt says
// that the version of the own backend server must get no more attempts.
func (d *Daemon) countedOutcomes(service registrar.ServiceKey, halt bool) (comparer.Report, bool) {
	if service != registrar.KeyOf(d.config.Service) {
		return comparer.Report{}, false
	}
	if halt {
		d.admission.Halt()
	}
	return d.admission.Outcomes()
}

func (d *Daemon) position() gossiper.Position {
	snapshot := d.configuration.Snapshot()
	return gossiper.Position{Version: snapshot.Version, Offset: snapshot.Offset, Era: snapshot.Era, Control: snapshot.Control.Position()}
}

// adopt applies what is newer in a snapshot than in the current one.
func (d *Daemon) adopt(next *router.Snapshot) {
	before := d.configuration.Snapshot()
	if !d.configuration.Adopt(next) {
		return
	}
	d.schedule.satisfy()
	current := d.configuration.Snapshot()
	if before.Version > 0 && current.Era > before.Era {
		d.restoreRegistration(current.Era)
	}
	d.config.Logger.Info("configuration in force", "version", current.Version, "era", current.Era, "offset", current.Offset,
		"routes", len(current.Routes), "out", current.OutOfService, "orders", len(current.Orders), "control_era", current.Control.Era, "control_offset", current.Control.Offset)
	d.ingress.RetainRoutes(current)
	d.admission.ApplyConfiguration()
	d.quotas.apply(current)
	d.rollouts.SnapshotChanged()
	d.gossiper.TriggerBroadcast()
}

// Ready reports whether the daemon accepts callers' requests.
func (d *Daemon) Ready() bool {
	return !d.stopping.Load() && d.configuration.Snapshot().Version > 0
}

// leaveTimeout bounds the wait for a leave to be stored. Backend servers wait a second for
// an acknowledgement, and one without an acknowledgement is told to be late.
const leaveTimeout = 400 * timer.Millis(1)

// Announce applies an announcement of the backend server. A leave is stored in the
// directory before Announce returns, so that a daemon that is killed after the
// acknowledgement finds it at its next start. While the directory is away, only the other
// daemons keep it.
func (d *Daemon) Announce(b dispatcher.Backend) {
	if !d.admission.Announce(b) {
		d.config.Logger.Debug("outdated announcement ignored", "backend", b.ID, "sequence", b.Sequence)
		return
	}
	if b.State == admitter.Draining {
		d.registration.await(leaveTimeout)
	}
}
