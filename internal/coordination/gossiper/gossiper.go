// Package gossiper exchanges the state of daemons by UDP.
//
// Each daemon sends datagrams on changes and at a fixed interval; package spreader
// chooses their receivers. A status message carries the load and the version of the
// configuration in a few bytes. A report carries the whole state and is sent when
// more than the load changed. A receiver that missed a report, or that does not know
// the sender of a status message and needs more members, requests a report. A daemon
// that learns of a newer configuration fetches it.
//
// # Usage
//
//	g, err := gossiper.Listen(gossiper.Config{...})
//	go g.Run(ctx)
//	g.TriggerBroadcast() // after a change of this daemon
package gossiper

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/state/comparer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/spreader"
	"github.com/magnoliaknot/magnoliaknot/internal/state/throttler"
	"github.com/magnoliaknot/magnoliaknot/internal/state/verifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Error is the class of errors of this package.
var Error = errs.Class("gossiper")

const (
	// broadcastInterval is the time between datagrams without a change. A member counts
	// as silent after 1.5 s, that is, after three lost datagrams in a row.
	broadcastInterval = 400 * timer.Millis(1)
	// minBroadcastInterval is the minimum time between two broadcasts, so that a burst of
	// changes is sent as one.
	minBroadcastInterval = 4 * timer.Millis(1)
	// userTimeout is how long a member counts as a user after it sent an attempt.
	userTimeout = 2 * timer.Second
	// reportsPerEntry is the number of reports that carry a quarantine entry, since
	// reports may be lost.
	reportsPerEntry = 3
	// loadChangeDivisor sets the least load change that is sent at once: the limit
	// divided by it. Senders of attempts also learn the load from the answers.
	loadChangeDivisor = 4
	// slowdownChangeDivisor sets the least slowdown change that is sent at once: the
	// previous slowdown divided by it.
	slowdownChangeDivisor = 4
	// maxReportBytes bounds a report; larger datagrams would be fragmented.
	maxReportBytes = 1400
	// maxEntries keeps a report below maxReportBytes.
	maxEntries = 5
)

// Config holds what a Gossiper needs.
type Config struct {
	Address identifier.Address
	Clock   timer.Clock
	// Self returns the state of this daemon with a new revision.
	Self func() registrar.Member
	// Position returns the position of this daemon's configuration.
	Position func() Position
	// Ahead is called when a member has a newer configuration.
	Ahead func(registrar.Member)
	// Evidence returns the age of the evidence that this daemon's configuration is the
	// newest, or false without any. Confirmed is called with the age of a member's evidence
	// for a configuration that is not newer than this daemon's. Both may be nil.
	Evidence  func() (timer.Millis, bool)
	Confirmed func(age timer.Millis)
	// Loaded is called with the state of each member whose datagram arrived, and with
	// that of this daemon at each broadcast.
	Loaded func(registrar.Member)
	// FailureDomain is that of this daemon.
	FailureDomain identifier.FailureDomain
	// Uses reports whether this daemon sends attempts to a service.
	Uses func(registrar.ServiceKey) bool
	// OwnRun is called with the last report of another run of this daemon.
	OwnRun func(registrar.Member)
	// Quarantined is called with entries of members of the same service and returns
	// those that were new, which are passed on.
	Quarantined func([]quarantiner.Entry) []quarantiner.Entry
	// InForce returns the entries of this daemon that members which may have missed some are
	// sent, the most important ones first.
	InForce func() []quarantiner.Entry
	// Outcomes returns what this daemon's backend server has counted in the roll-out of a
	// service, or false if there is nothing to report. Halt says that the version of this
	// backend server is to get no more requests. It may be nil.
	Outcomes func(service registrar.ServiceKey, halt bool) (comparer.Report, bool)
	// Counted is called with each answer to AskOutcomes. It may be nil.
	Counted func(comparer.Report)
	// Used is called with each report of the use of quotas and its sender, Granted with each
	// answer to one. Both may be nil.
	Used    func(throttler.UseReport, netip.AddrPort)
	Granted func(throttler.Grant)
	Logger  *slog.Logger
}

// Gossiper exchanges reports. It is safe for concurrent use.
type Gossiper struct {
	config  Config
	conn    *net.UDPConn
	trigger chan struct{}

	self identifier.InstanceID

	mu     sync.Mutex
	table  *registrar.Registrar
	spread *spreader.Spreader
	// spreadVersion is the version of the table that spread has.
	spreadVersion uint64
	users         map[identifier.Incarnation]timer.Millis
	entries       []pendingEntry
	// lastSent and lastPosition are the contents of the last broadcast.
	lastSent     registrar.Member
	lastPosition Position
	fleet        fleetSize
	// newest is the state that the current generation stands for.
	newest     registrar.Member
	generation uint64
	traffic    traffic
	decision   decision
	outcomes   outcomes
	// domains are the failure domains by report address as of domainsVersion.
	domains        map[netip.AddrPort]identifier.FailureDomain
	domainsVersion uint64
}

// Listen opens the socket.
func Listen(config Config) (*Gossiper, error) {
	address, err := netip.ParseAddrPort(string(config.Address))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Gossiper{
		config: config, conn: conn, trigger: make(chan struct{}, 1),
		self: config.Self().Node, table: registrar.New(config.Self().Node),
		spread: spreader.New(config.FailureDomain, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		users:  map[identifier.Incarnation]timer.Millis{}, traffic: newTraffic(), outcomes: newOutcomes(),
	}, nil
}

// Run exchanges datagrams until ctx is done, then closes the socket.
func (g *Gossiper) Run(ctx context.Context) {
	closed := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(closed)
		_ = g.conn.Close() // Ends read. A second Close would not wait until the address is free.
	})
	defer func() { <-closed }()
	go g.read()
	ticker := time.NewTimer(0)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.trigger:
			g.broadcast(false)
			time.Sleep(minBroadcastInterval.Duration())
		case <-ticker.C:
			ticker.Reset(broadcastInterval.Duration())
			g.expire()
			g.broadcast(true)
		}
	}
}

// TriggerBroadcast makes Run send changes without waiting for the interval.
func (g *Gossiper) TriggerBroadcast() {
	select {
	case g.trigger <- struct{}{}:
	default:
	}
}

// RecordAttemptFrom records that a daemon sent an attempt to this daemon's backend
// server.
func (g *Gossiper) RecordAttemptFrom(sender identifier.Incarnation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.users[sender] = g.config.Clock.Now()
}

// Version grows when a member joins, leaves or changes in more than its load.
func (g *Gossiper) Version() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Version()
}

// Instances returns the members of a service that accept attempts.
func (g *Gossiper) Instances(service identifier.ServiceName) []registrar.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Instances(g.config.Clock.Now(), service)
}

// Members returns every known member.
func (g *Gossiper) Members() []registrar.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Members()
}

// Place returns the place of this daemon among those that may read the store.
func (g *Gossiper) Place() verifier.Place {
	own := g.config.Self()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Place(g.config.Clock.Now(), own)
}

// ActiveCount returns the number of active daemons, this one included. In a large
// fleet, where only some report to this one, it is the largest number that a daemon
// has named lately.
func (g *Gossiper) ActiveCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.activeCount(g.config.Clock.Now())
}

func (g *Gossiper) activeCount(now timer.Millis) int {
	if g.table.Size() <= spreader.SmallFleet {
		return g.table.ActiveCount(now) + 1
	}
	return max(g.table.Size()+1, g.fleet.largest(now))
}

// own returns the state of this daemon with its generation.
func (g *Gossiper) own() registrar.Member {
	own := g.config.Self()
	g.mu.Lock()
	defer g.mu.Unlock()
	newest := own
	newest.Revision, newest.Load, newest.StoreUnreachable = 0, registrar.Load{}, false
	if newest != g.newest {
		g.newest = newest
		g.generation++
	}
	own.Generation = g.generation
	return own
}

func (g *Gossiper) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock.Now()
	g.table.Expire(now)
	for sender, at := range g.users {
		if now-at > userTimeout {
			delete(g.users, sender)
		}
	}
	g.outcomes.retain(g.table.Knows)
}

// broadcast sends changes to other daemons. If due is set, it sends at least a
// status message.
func (g *Gossiper) broadcast(due bool) {
	own, position := g.own(), g.config.Position()
	g.config.Loaded(own)
	g.mu.Lock()
	changed := g.changed(own)
	moved := position != g.lastPosition || own.StoreUnreachable != g.lastSent.StoreUnreachable
	significant := significantChange(g.lastSent.Load, own.Load)
	if changed || moved || significant || due {
		g.lastSent, g.lastPosition = own, position
	}
	g.mu.Unlock()
	g.sendEntries(own)
	kind := spreader.Load
	switch {
	case changed || moved:
		kind = spreader.Change
	case due:
		kind = spreader.Periodic
	case !significant:
		return
	}
	if !changed {
		g.send(g.targets(kind), g.status(own, position), trafficStatus)
		return
	}
	if data, ok := g.report(own, nil); ok {
		g.send(g.targets(kind), data, trafficReport)
	}
}

// status encodes a status message.
func (g *Gossiper) status(own registrar.Member, position Position) []byte {
	g.mu.Lock()
	fleet := uint32(g.table.Size() + 1)
	g.mu.Unlock()
	return statusMessage{
		StatusUpdate: registrar.StatusUpdate{
			Incarnation: own.Incarnation, Revision: own.Revision, Accepting: own.Accepting, StoreUnreachable: own.StoreUnreachable, Load: own.Load,
			Generation: own.Generation, Service: registrar.KeyOf(own.Service), Fleet: fleet,
		},
		Position: position, Evidence: g.evidence(),
	}.encode()
}

// evidence returns the age of this daemon's evidence for messages.
func (g *Gossiper) evidence() evidenceAge {
	if g.config.Evidence == nil {
		return 0
	}
	age, known := g.config.Evidence()
	if !known {
		return 0
	}
	return newEvidenceAge(age)
}

// changed reports whether more than the load differs from the last broadcast.
func (g *Gossiper) changed(own registrar.Member) bool {
	lastSent := g.lastSent
	lastSent.Revision, lastSent.Load, lastSent.StoreUnreachable = own.Revision, own.Load, own.StoreUnreachable
	return lastSent != own
}

// significantChange reports whether a load differs enough to be sent at once.
func significantChange(previous, current registrar.Load) bool {
	running := current.Running + current.Queued - previous.Running - previous.Queued
	slowdown := current.SlowdownPercent - previous.SlowdownPercent
	return current.Cold != previous.Cold || current.StartDelayMs > previous.StartDelayMs || current.Limit != previous.Limit ||
		max(running, -running) >= max(1, current.Limit/loadChangeDivisor) ||
		max(slowdown, -slowdown)*slowdownChangeDivisor >= max(1, previous.SlowdownPercent)
}

// report encodes a report.
func (g *Gossiper) report(own registrar.Member, entries []quarantiner.Entry) ([]byte, bool) {
	report := Report{Member: own, Position: g.config.Position(), Evidence: g.evidence(), Entries: entries}
	data, err := report.encode()
	if err != nil || len(data) > maxReportBytes {
		g.config.Logger.Error("report to other daemons not sent: it is too large or cannot be encoded", "bytes", len(data), "error", err)
		return nil, false
	}
	return data, true
}

func (g *Gossiper) read() {
	buffer := make([]byte, maxReportBytes+1)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.config.Logger.Warn("receiving a datagram failed", "error", err.Error())
			time.Sleep(minBroadcastInterval.Duration()) // The error may persist.
			continue
		}
		if err := g.receive(buffer[:n], from); err != nil {
			g.config.Logger.Warn("datagram could not be decoded", "from", from.String(), "bytes", n, "error", err.Error())
		}
	}
}

// receive handles one datagram.
func (g *Gossiper) receive(data []byte, from netip.AddrPort) error {
	if len(data) == 0 {
		return Error.New("datagram is empty")
	}
	switch data[0] {
	case kindStatus:
		p, err := decodeStatus(data[1:])
		if err != nil {
			return err
		}
		g.receiveStatus(p, from)
	case kindReportRequest:
		if answer, ok := g.report(g.own(), nil); ok {
			g.traffic.countAnswer(len(answer))
			_, _ = g.conn.WriteToUDPAddrPort(answer, from) // The sender requests a lost report again.
		}
	case kindReport:
		var report Report
		if err := json.Unmarshal(data[1:], &report); err != nil {
			return Error.Wrap(err)
		}
		if err := report.Member.Check(); err != nil {
			return Error.Wrap(err)
		}
		g.receiveReport(report)
	case kindOutcomesRequest:
		return g.answerOutcomes(data[1:], from)
	case kindOutcomes:
		return g.receiveOutcomes(data[1:])
	case kindUse:
		return g.receiveUse(data[1:], from)
	case kindGrant:
		return g.receiveGrant(data[1:])
	default:
		return Error.New("unknown datagram kind %d", data[0])
	}
	return nil
}

// receiveStatus updates the load of a member, or requests a report if the member is
// not known or a report was missed.
func (g *Gossiper) receiveStatus(status statusMessage, from netip.AddrPort) {
	g.mu.Lock()
	now := g.config.Clock.Now()
	g.fleet.observe(now, int(status.Fleet))
	m, known := g.table.ObserveStatus(now, status.StatusUpdate)
	returned := g.table.TakeReturned()
	var need demand
	if !known {
		need = g.demandFor(now, status)
	}
	g.mu.Unlock()
	if !known {
		if !g.wanted(need, status) {
			return
		}
		g.traffic.countAnswer(1)
		_, _ = g.conn.WriteToUDPAddrPort([]byte{kindReportRequest}, from) // The next status message repeats a lost request.
		return
	}
	g.bringUpToDate(returned)
	g.config.Loaded(m)
	g.checkPosition(status.Position, status.Evidence, m)
}

// checkPosition calls Ahead if a member has a newer configuration, and else Confirmed if it
// has evidence. Evidence for an earlier era of the store says nothing of the current one.
func (g *Gossiper) checkPosition(theirs Position, evidence evidenceAge, m registrar.Member) {
	own := g.config.Position()
	switch age, known := evidence.age(); {
	case theirs.ahead(own):
		g.config.Ahead(m)
	case known && theirs.Era == own.Era && g.config.Confirmed != nil:
		g.config.Confirmed(age)
	}
}

func (g *Gossiper) receiveReport(report Report) {
	m := report.Member
	g.mu.Lock()
	previous, _ := g.table.Lookup(m.Node)
	change := g.table.Observe(g.config.Clock.Now(), m)
	known, found := g.table.Lookup(m.Node)
	returned := g.table.TakeReturned()
	g.mu.Unlock()
	if m.Node == g.self {
		g.config.OwnRun(m)
		return
	}
	switch change {
	case registrar.Stale:
		if found && known.Incarnation > m.Incarnation && known.Peer == m.Peer {
			g.returnReport(m.Report, known)
		}
		return
	case registrar.Joined, registrar.Restarted:
		g.config.Logger.Info("member joined", "member", m.Node, "service", m.Service, "incarnation", m.Incarnation)
		g.sendReport(m)
		if previous.Leaving && !m.Leaving && previous.Peer == m.Peer {
			g.returnReport(m.Report, previous) // The new run may not know of the leave.
		}
	case registrar.MemberChanged:
		g.config.Logger.Info("member changed", "member", m.Node, "accepting", m.Accepting, "slots", m.Slots)
	case registrar.LoadChanged:
	}
	g.bringUpToDate(returned)
	g.config.Loaded(m)
	if len(report.Entries) > 0 && m.Service == g.config.Self().Service {
		if added := g.config.Quarantined(report.Entries); len(added) > 0 {
			g.queueEntries(added, 1)
		}
	}
	g.checkPosition(report.Position, report.Evidence, m)
}
