// Package announcer announces this daemon in the membership stream and appends
// the announcements of other daemons.
//
// A log reader collects records for 50 ms and appends them as one batch. Every
// other daemon forwards its records to a reader by Peer.Announce, and appends
// them itself only if no reader answers. The fold of the stream ignores repeated
// records, so a record is sent again until the log, a reader or the membership
// table confirms it.
//
// Planner decides without I/O; Announcer does the I/O.
//
// # Usage
//
//	a := announcer.New(announcer.Config{...})
//	go a.Run(ctx)
//	a.Join(member)
//	appended, err := a.Announce(ctx, records) // from another daemon
//	err = a.Leave(ctx)                        // returns when the leave is confirmed
package announcer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Error is the class of errors of this package.
var Error = errs.Class("announcer")

const (
	// appendTimeout bounds one append.
	appendTimeout = 5 * timer.Second
	// forwardTimeout bounds one forwarded record. It is longer than a reader waits
	// for its append (confirmTimeout), so that the reader's answer arrives.
	forwardTimeout = 3 * timer.Second
	// confirmTimeout is how long a reader delays its answer to Announce to wait for
	// the append.
	confirmTimeout = 2 * timer.Second
)

// Peers sends records to other daemons.
type Peers interface {
	// Announce sends records to a daemon and reports whether they are already in
	// the log.
	Announce(ctx context.Context, peer identifier.Address, records []tracker.Record) (appended bool, err error)
}

// Config configures an Announcer. All fields but Logger are required.
type Config struct {
	Log   appender.Log
	Peers Peers
	Clock timer.Clock
	Rand  *rand.Rand
	// Retention is the time for which the log keeps records.
	Retention timer.Millis
	// Status returns the membership table's view of an incarnation of this daemon.
	Status func(identifier.Incarnation) MembershipStatus
	// NewIncarnation returns a new incarnation of this daemon that is greater than
	// above.
	NewIncarnation func(above identifier.Incarnation) identifier.Incarnation
	// OnSuspect is called with the suspicions that watchers send to log readers.
	OnSuspect func(tracker.Suspect)
	Logger    *slog.Logger
}

// Announcer runs a Planner. Only one goroutine may call Run or RunOnce; the other
// methods are safe for concurrent use.
type Announcer struct {
	config Config
	wake   chan struct{}

	mu         sync.Mutex
	planner    *Planner
	waiters    map[Ticket]chan struct{}
	lastTicket Ticket
}

// New returns an announcer that has nothing to announce.
func New(config Config) *Announcer {
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	return &Announcer{
		config:  config,
		wake:    make(chan struct{}, 1),
		planner: NewPlanner(config.Clock.Now(), config.Retention, config.Rand),
		waiters: make(map[Ticket]chan struct{}),
	}
}

// Join announces this daemon, or a change of what it announced. A change keeps
// the incarnation and has a higher revision.
func (a *Announcer) Join(member tracker.Member) { a.step(Announced{Member: member}) }

// Leave announces that this daemon leaves and waits until the leave is
// confirmed or ctx is done. The daemon does not join again.
func (a *Announcer) Leave(ctx context.Context) error {
	ticket, done := a.addWaiter()
	defer a.removeWaiter(ticket)
	a.step(LeaveRequested{Ticket: ticket})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// Append queues records that this daemon creates, such as leaves for instances
// that two watchers suspect.
func (a *Announcer) Append(records ...tracker.Record) error {
	return a.receive(Received{Records: records})
}

// Announce accepts records of other daemons. It reports whether they are in the
// log; if not, they stay queued and are appended later. It returns an error if
// they cannot be queued.
func (a *Announcer) Announce(ctx context.Context, records []tracker.Record) (bool, error) {
	kept := make([]tracker.Record, 0, len(records))
	for _, r := range records {
		switch r := r.(type) {
		case tracker.Suspect:
			a.config.OnSuspect(r)
		case tracker.Join, tracker.Leave, tracker.Renew:
			kept = append(kept, r)
		default:
			return false, Error.New("record of type %T cannot be announced", r)
		}
	}
	if len(kept) == 0 {
		return true, nil
	}
	ticket, done := a.addWaiter()
	defer a.removeWaiter(ticket)
	if err := a.receive(Received{Records: kept, Ticket: ticket}); err != nil {
		return false, err
	}
	timeout := time.NewTimer(confirmTimeout.Duration())
	defer timeout.Stop()
	select {
	case <-done:
		return true, nil
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false, nil
}

// Run announces until ctx is done.
func (a *Announcer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := a.RunOnce(ctx)
		if pause <= 0 {
			continue
		}
		timeout := time.NewTimer(pause.Duration())
		select {
		case <-ctx.Done():
		case <-a.wake:
		case <-timeout.C:
		}
		timeout.Stop()
	}
}

// RunOnce carries out the planner's next actions and returns the time to wait
// before the next call.
func (a *Announcer) RunOnce(ctx context.Context) timer.Millis {
	now := a.config.Clock.Now()
	incarnation := a.incarnation()
	// Called without a.mu: Status takes the lock of the membership table, whose
	// holder may be waiting for a.mu.
	status := a.config.Status(incarnation)
	a.mu.Lock()
	if a.planner.Incarnation() != incarnation {
		a.mu.Unlock()
		return 0
	}
	actions := a.planner.Step(now, Wakeup{Status: status})
	a.mu.Unlock()
	var pause timer.Millis
	for _, action := range actions {
		switch act := action.(type) {
		case Append:
			a.append(ctx, act)
		case Forward:
			a.forward(ctx, act)
		case RequestIncarnation:
			a.step(IncarnationAssigned{Incarnation: a.config.NewIncarnation(act.Above)})
		case Confirm:
			a.confirm(act.Tickets)
		case Sleep:
			pause = act.Until - now
		}
	}
	return pause
}

func (a *Announcer) incarnation() identifier.Incarnation {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.planner.Incarnation()
}

func (a *Announcer) append(ctx context.Context, act Append) {
	payload, err := tracker.EncodeBatch(act.Records)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
		defer cancel()
		_, err = a.config.Log.Append(ctx, appender.Membership, payload)
	}
	if err != nil {
		a.config.Logger.Warn("membership records not appended to the log", "records", len(act.Records), "error", err)
	}
	a.step(Appended{Succeeded: err == nil})
}

func (a *Announcer) forward(ctx context.Context, act Forward) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout.Duration())
	defer cancel()
	appended, err := a.config.Peers.Announce(ctx, act.Peer, []tracker.Record{act.Record})
	if err != nil {
		a.config.Logger.Warn("membership record not forwarded to a log reader", "peer", act.Peer, "error", err)
	}
	a.step(Forwarded{Accepted: err == nil, Appended: appended && err == nil})
}

// step passes an event to the planner, carries out the actions that need no I/O
// and wakes Run.
func (a *Announcer) step(event Event) {
	a.mu.Lock()
	actions := a.planner.Step(a.config.Clock.Now(), event)
	a.mu.Unlock()
	for _, action := range actions {
		if confirm, ok := action.(Confirm); ok {
			a.confirm(confirm.Tickets)
		}
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *Announcer) receive(event Received) error {
	a.mu.Lock()
	full := a.planner.Full(len(event.Records))
	a.mu.Unlock()
	if full {
		return Error.New("append queue is full")
	}
	a.step(event)
	return nil
}

func (a *Announcer) addWaiter() (Ticket, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastTicket++
	done := make(chan struct{})
	a.waiters[a.lastTicket] = done
	return a.lastTicket, done
}

func (a *Announcer) removeWaiter(ticket Ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiters, ticket)
}

func (a *Announcer) confirm(tickets []Ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, ticket := range tickets {
		if done, ok := a.waiters[ticket]; ok {
			close(done)
			delete(a.waiters, ticket)
		}
	}
}
