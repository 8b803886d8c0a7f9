// Package gossiper tells the other daemons about this one and learns about them.
//
// Each daemon sends datagrams by UDP: to every member when something changed and
// at a fixed interval, or, in a large fleet, to the members that use its backend
// server and a random few. A pulse carries the load and the version of the
// configuration in a few bytes; a report carries all, and follows a change of more
// than the load. A receiver that does not know the sender of a pulse, or sees that
// it missed a report, asks for one. A daemon that sees a newer configuration
// elsewhere fetches it.
//
// # Usage
//
//	g, err := gossiper.Listen(gossiper.Config{...})
//	go g.Run(ctx)
//	g.Poke() // something changed
package gossiper

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Error is the class of errors of this package.
var Error = errs.Class("gossiper")

const (
	// interval is the time between reports without a change. A member is silent
	// after 1.5 s, so three reports in a row have to be lost.
	interval = 400 * timer.Millis(1)
	// quickest is the least time between two reports, so that a burst of changes
	// costs one.
	quickest = 4 * timer.Millis(1)
	// smallFleet is the number of members up to which each gets every report.
	smallFleet = 32
	// sample is the number of random members that get a report in a large fleet.
	sample = 6
	// maxUsers bounds the members that hear of each load change, so that the cost
	// does not grow with the fleet. The others learn the load from their answers.
	maxUsers = smallFleet
	// usedWithin is how long a member that sent an attempt counts as a user.
	usedWithin = 2 * timer.Second
	// repeats is how often a quarantine entry is sent, against lost reports.
	repeats = 3
	// notableLoad is the part of the limit by which the running requests have to
	// differ before other daemons are told; answers tell their senders anyway.
	notableLoad = 4
	// notableSlowdown is the part by which a slowdown has to differ.
	notableSlowdown = 4
	// maxReport bounds a report; larger datagrams would be fragmented.
	maxReport = 1400
	// maxEntries keeps a report below maxReport.
	maxEntries = 5
)

// Config holds what a Gossiper needs.
type Config struct {
	Address identifier.Address
	Clock   timer.Clock
	// Self describes this daemon with a new revision.
	Self func() registrar.Member
	// Position tells how far this daemon's configuration is.
	Position func() Position
	// Ahead is called when a member has a newer configuration.
	Ahead func(registrar.Member)
	// Loaded is called with each report, also with those of this daemon.
	Loaded func(registrar.Member)
	// Quarantined is called with entries of members of the same service.
	Quarantined func([]quarantiner.Entry)
	Logger      *slog.Logger
}

// Gossiper exchanges reports. It is safe for concurrent use.
type Gossiper struct {
	config Config
	conn   *net.UDPConn
	poke   chan struct{}

	mu      sync.Mutex
	table   *registrar.Registrar
	users   map[identifier.Incarnation]timer.Millis
	entries []pendingEntry
	// told and toldPosition are what the last datagram to all said.
	told         registrar.Member
	toldPosition Position
}

type pendingEntry struct {
	entry quarantiner.Entry
	left  int
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
		config: config, conn: conn, poke: make(chan struct{}, 1),
		table: registrar.New(config.Self().Node),
		users: map[identifier.Incarnation]timer.Millis{},
	}, nil
}

// Run exchanges reports until the context ends, and closes the socket.
func (g *Gossiper) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = g.conn.Close() }) // The reader ends with it.
	defer stop()
	defer g.conn.Close()
	go g.read()
	ticker := time.NewTimer(0)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.poke:
			g.broadcast(false)
			time.Sleep(quickest.Duration())
		case <-ticker.C:
			ticker.Reset(interval.Duration())
			g.expire()
			g.broadcast(true)
		}
	}
}

// Poke sends a report soon.
func (g *Gossiper) Poke() {
	select {
	case g.poke <- struct{}{}:
	default:
	}
}

// Learn takes in members that another source named, and reports to them.
func (g *Gossiper) Learn(members []registrar.Member) {
	g.mu.Lock()
	now := g.config.Clock.Now()
	var learned []registrar.Member
	for _, m := range members {
		if g.table.Learn(now, m) {
			learned = append(learned, m)
		}
	}
	g.mu.Unlock()
	for _, m := range learned {
		g.answer(m)
	}
}

// Spread adds quarantine entries to the next reports.
func (g *Gossiper) Spread(entries []quarantiner.Entry) {
	g.mu.Lock()
	for _, entry := range entries {
		g.entries = append(g.entries, pendingEntry{entry, repeats})
	}
	g.mu.Unlock()
	g.Poke()
}

// Used notes that a daemon sent an attempt to the backend server beside this one.
func (g *Gossiper) Used(sender identifier.Incarnation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.users[sender] = g.config.Clock.Now()
}

// Version grows when a member comes, goes or changes other than in load.
func (g *Gossiper) Version() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Version()
}

// Instances returns the members of a service that take attempts.
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

// Elected reports whether this daemon is one of those that read the store.
func (g *Gossiper) Elected() bool {
	own := g.config.Self()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Elected(g.config.Clock.Now(), own)
}

// ActiveDaemons returns the number of daemons heard of lately, with this one.
func (g *Gossiper) ActiveDaemons() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.ActiveCount(g.config.Clock.Now()) + 1
}

func (g *Gossiper) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock.Now()
	g.table.Expire(now)
	for sender, at := range g.users {
		if now-at > usedWithin {
			delete(g.users, sender)
		}
	}
}

// broadcast tells others what has changed. At the fixed interval it sends a pulse
// in any case.
func (g *Gossiper) broadcast(due bool) {
	own, position := g.config.Self(), g.config.Position()
	g.config.Loaded(own)
	g.mu.Lock()
	changed := g.changed(own) || len(g.entries) > 0
	moved := position != g.toldPosition || own.StoreUnreachable != g.told.StoreUnreachable
	notable := notable(g.told.Load, own.Load)
	if changed || moved || notable || due {
		g.told, g.toldPosition = own, position
	}
	g.mu.Unlock()
	var data []byte
	switch {
	case changed:
		var ok bool
		if data, ok = g.report(own); !ok {
			return
		}
	case moved || notable || due:
		data = pulse{
			StatusUpdate: registrar.StatusUpdate{
				Incarnation: own.Incarnation, Revision: own.Revision, Accepting: own.Accepting, StoreUnreachable: own.StoreUnreachable, Load: own.Load,
			},
			Position: position,
		}.encode()
	default:
		return
	}
	for _, address := range g.targets(due, changed || moved) {
		g.send(address, data)
	}
}

// changed reports whether more than the load differs from what was told.
func (g *Gossiper) changed(own registrar.Member) bool {
	told := g.told
	told.Revision, told.Load, told.StoreUnreachable = own.Revision, own.Load, own.StoreUnreachable
	return told != own
}

// notable reports whether a load differs enough to be told at once.
func notable(told, now registrar.Load) bool {
	running := now.Running + now.Queued - told.Running - told.Queued
	slowdown := now.SlowdownPercent - told.SlowdownPercent
	return now.Cold != told.Cold || now.Limit != told.Limit ||
		max(running, -running) >= max(1, now.Limit/notableLoad) ||
		max(slowdown, -slowdown)*notableSlowdown >= max(1, told.SlowdownPercent)
}

// report encodes a whole report.
func (g *Gossiper) report(own registrar.Member) ([]byte, bool) {
	report := Report{Member: own, Position: g.config.Position()}
	g.mu.Lock()
	kept := g.entries[:0]
	for i, pending := range g.entries {
		if i < maxEntries {
			report.Entries = append(report.Entries, pending.entry)
			pending.left--
		}
		if pending.left > 0 {
			kept = append(kept, pending)
		}
	}
	g.entries = kept
	g.mu.Unlock()
	data, err := report.encode()
	if err != nil || len(data) > maxReport {
		g.config.Logger.Error("report not sent", "bytes", len(data), "error", err)
		return nil, false
	}
	return data, true
}

// targets returns the addresses that a datagram goes to: all of a small fleet, and
// in a large one all for a change that every member has to know.
func (g *Gossiper) targets(due, all bool) []identifier.Address {
	g.mu.Lock()
	defer g.mu.Unlock()
	if all || g.table.Size() <= smallFleet {
		return g.table.ReportAddresses(func(identifier.Incarnation) bool { return true })
	}
	addresses := g.table.ReportAddresses(func(i identifier.Incarnation) bool { _, uses := g.users[i]; return uses })
	if len(addresses) > maxUsers {
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		addresses = addresses[:maxUsers]
	}
	if due {
		addresses = append(addresses, g.sample()...)
	}
	return addresses
}

// sample returns a few members by chance.
func (g *Gossiper) sample() []identifier.Address {
	members := g.table.ReportAddresses(func(identifier.Incarnation) bool { return true })
	addresses := make([]identifier.Address, 0, sample)
	for range sample {
		addresses = append(addresses, members[rand.IntN(len(members))])
	}
	return addresses
}

func (g *Gossiper) send(to identifier.Address, data []byte) {
	address, err := netip.ParseAddrPort(string(to))
	if err != nil {
		g.config.Logger.Warn("member has no valid address", "address", to, "error", err.Error())
		return
	}
	_, _ = g.conn.WriteToUDPAddrPort(data, address) // A lost report is made good by the next.
}

func (g *Gossiper) read() {
	buffer := make([]byte, maxReport+1)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // The socket was closed.
		}
		if err := g.receive(buffer[:n], from); err != nil {
			g.config.Logger.Warn("datagram not readable", "from", from.String(), "bytes", n, "error", err.Error())
		}
	}
}

// receive handles one datagram.
func (g *Gossiper) receive(data []byte, from netip.AddrPort) error {
	if len(data) == 0 {
		return Error.New("it is empty")
	}
	switch data[0] {
	case kindPulse:
		p, err := decodePulse(data[1:])
		if err != nil {
			return err
		}
		g.receivePulse(p, from)
	case kindQuestion:
		if answer, ok := g.report(g.config.Self()); ok {
			_, _ = g.conn.WriteToUDPAddrPort(answer, from) // A lost answer is asked for again.
		}
	case kindReport:
		var report Report
		if err := json.Unmarshal(data[1:], &report); err != nil {
			return Error.Wrap(err)
		}
		if report.Member.Node == "" {
			return Error.New("it names no node")
		}
		g.receiveReport(report)
	default:
		return Error.New("kind %d is not known", data[0])
	}
	return nil
}

// receivePulse takes the load of a member, or asks for a report.
func (g *Gossiper) receivePulse(p pulse, from netip.AddrPort) {
	g.mu.Lock()
	m, known := g.table.ObserveStatus(g.config.Clock.Now(), p.StatusUpdate)
	g.mu.Unlock()
	if !known {
		_, _ = g.conn.WriteToUDPAddrPort([]byte{kindQuestion}, from) // The next pulse asks again.
		return
	}
	g.config.Loaded(m)
	g.compare(p.Position, m)
}

// compare looks whether a member has a newer configuration.
func (g *Gossiper) compare(theirs Position, m registrar.Member) {
	if own := g.config.Position(); theirs.Offset > own.Offset || theirs.Version > own.Version {
		g.config.Ahead(m)
	}
}

func (g *Gossiper) receiveReport(report Report) {
	m := report.Member
	g.mu.Lock()
	change := g.table.Observe(g.config.Clock.Now(), m)
	g.mu.Unlock()
	switch change {
	case registrar.Stale:
		return
	case registrar.Joined, registrar.Restarted:
		g.config.Logger.Info("member joined", "member", m.Node, "service", m.Service, "incarnation", m.Incarnation)
		g.answer(m)
	case registrar.MemberChanged:
		g.config.Logger.Info("member changed", "member", m.Node, "accepting", m.Accepting, "slots", m.Slots)
	case registrar.LoadChanged:
	}
	g.config.Loaded(m)
	if len(report.Entries) > 0 {
		g.config.Quarantined(report.Entries)
	}
	g.compare(report.Position, m)
}

// answer sends a whole report to a member that may not know this daemon.
func (g *Gossiper) answer(m registrar.Member) {
	if data, ok := g.report(g.config.Self()); ok {
		g.send(m.Report, data)
	}
}
