// Package assembler builds a daemon whose configuration, membership and headers
// come from the outside, and runs it until it is told to stop. Package platform
// is one such outside.
//
// # Usage
//
//	daemon, err := assembler.New(assembler.Config{...})
//	go source.Announce(daemon.Announce)
//	err = daemon.Run(ctx) // returns after a graceful stop
package assembler

import (
	"context"
	"log/slog"
	"sync/atomic"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/gossiper"
	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/dispatcher"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Error is the class of errors of this package.
var Error = errs.Class("daemon")

// Source is where the configuration comes from.
type Source interface {
	// Follow passes each newer snapshot on until the context ends.
	Follow(ctx context.Context, adopt func(*router.Snapshot))
	// Elect gives the question whether this daemon is to read at all. The others
	// get the configuration from those that do.
	Elect(elected func() bool)
	// Reached reports whether the last call was answered.
	Reached() bool
	// Refresh makes Follow read again at once, because a connection may have
	// gone silent.
	Refresh()
}

// Directory is where daemons find each other.
type Directory interface {
	// Register stores the description of this daemon.
	Register(ctx context.Context, m registrar.Member) error
	// Members returns what daemons stored, this one included.
	Members(ctx context.Context) ([]registrar.Member, error)
}

// Addresses that a daemon listens on.
type Addresses struct {
	// Callers takes requests of callers and of the own backend server.
	Callers identifier.Address
	// Peers takes attempts and questions of other daemons.
	Peers identifier.Address
	// Reports takes reports of other daemons by UDP.
	Reports identifier.Address
	// Metrics serves counters and histograms.
	Metrics identifier.Address
	// Backend is the backend server.
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
	// Notice is the time in which callers see that the daemon is not ready.
	Notice timer.Millis
	// LoadCheck is how long a start waits for a check of the load.
	LoadCheck timer.Millis
	Dialect   dispatcher.Dialect
	Source    Source
	Directory Directory
	Logger    *slog.Logger
}

// Daemon is one daemon.
type Daemon struct {
	config        Config
	clock         *timer.Boot
	incarnation   identifier.Incarnation
	configuration *router.Holder
	admission     *dispatcher.Admission
	ingress       *dispatcher.Ingress
	gossiper      *gossiper.Gossiper
	peers         *dispatcher.Peers

	callerServer *exchanger.Server
	peerServer   *exchanger.Server
	stopping     atomic.Bool
	shared       shared
	newer        newer
	// registered wakes the registration when the own entry has changed.
	registered chan struct{}
	left       atomic.Bool
}

// New builds a daemon.
func New(config Config) (*Daemon, error) {
	clock := timer.NewBoot()
	d := &Daemon{
		config: config, clock: clock,
		incarnation:   identifier.NewIncarnation(clock.Wall()),
		configuration: router.NewHolder(),
		peers:         dispatcher.NewPeers(),
		registered:    make(chan struct{}, 1),
	}
	d.admission = dispatcher.NewAdmission(dispatcher.AdmissionConfig{
		Member: registrar.Member{
			Node: config.Node, Incarnation: d.incarnation, FailureDomain: config.FailureDomain, Region: config.Region,
			Peer: config.Addresses.Peers, Report: config.Addresses.Reports, Service: config.Service,
		},
		Address: config.Addresses.Backend, Clock: clock, Configuration: d.configuration, Dialect: config.Dialect,
		LoadCheckTimeout: config.LoadCheck, OnChange: d.changed, OnAttempt: d.used, BroadcastQuarantine: d.spread, Logger: config.Logger,
	})
	var err error
	d.gossiper, err = gossiper.Listen(gossiper.Config{
		Address: config.Addresses.Reports, Clock: clock,
		Self:     d.self,
		Position: d.position, Ahead: d.ahead, Loaded: func(m registrar.Member) { d.ingress.ReportLoad(m) },
		Quarantined: d.admission.AddQuarantineEntries, Logger: config.Logger,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	config.Source.Elect(d.gossiper.Elected)
	d.ingress = dispatcher.NewIngress(dispatcher.IngressConfig{
		Self: config.Node, Caller: config.Service, Incarnation: d.incarnation, FailureDomain: config.FailureDomain,
		Clock: clock, Configuration: d.configuration, Members: d.gossiper, Peers: d.peers, Admission: d.admission,
		Dialect: config.Dialect, Retries: config.Retries, OnNewerConfiguration: d.ahead, Logger: config.Logger,
	})
	return d, nil
}

// changed tells other daemons of the own load and state.
func (d *Daemon) changed() {
	if d.gossiper != nil {
		d.gossiper.Poke()
	}
}

// self describes this daemon for others.
func (d *Daemon) self() registrar.Member {
	m, _ := d.admission.Member()
	m.StoreUnreachable = !d.config.Source.Reached()
	return m
}

func (d *Daemon) position() gossiper.Position {
	snapshot := d.configuration.Snapshot()
	return gossiper.Position{Version: snapshot.Version, Offset: snapshot.Offset}
}

// adopt puts a newer snapshot in force.
func (d *Daemon) adopt(next *router.Snapshot) {
	if !d.configuration.Adopt(next) {
		return
	}
	d.config.Logger.Info("configuration in force", "version", next.Version, "offset", next.Offset,
		"routes", len(next.Routes), "out", next.OutOfService)
	d.ingress.RetainRoutes(next)
	d.admission.ApplyConfiguration()
	d.gossiper.Poke()
}

// Ready reports whether the daemon takes callers' requests.
func (d *Daemon) Ready() bool {
	return !d.stopping.Load() && d.configuration.Snapshot().Version > 0
}

// Announce takes an announcement of the backend server.
func (d *Daemon) Announce(b dispatcher.Backend) {
	if !d.admission.Announce(b) {
		d.config.Logger.Debug("late announcement ignored", "backend", b.ID, "sequence", b.Sequence)
		return
	}
	if b.State == admitter.Draining && !d.left.Swap(true) {
		d.register() // A restarted daemon must still know of the leave.
	}
	if b.State == admitter.Ready {
		d.left.Store(false)
	}
}

func (d *Daemon) register() {
	select {
	case d.registered <- struct{}{}:
	default:
	}
}
