// Package announcer keeps this daemon in the membership stream and appends the
// announcements of others.
//
// A log reader collects records for 50 ms and appends them as one batch. Every
// other daemon hands its records to a reader by Peer.Announce, and appends them
// itself only if no reader answers. Records may be repeated at any time, since
// the fold of the stream ignores repetitions; therefore a record is sent again
// until the log, a reader or the membership table confirms it.
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
	// appendTime bounds one append.
	appendTime = 5 * timer.Second
	// handOverTime bounds one hand-over. It is longer than a reader waits for
	// its append, so that the reader's answer arrives.
	handOverTime = 3 * timer.Second
	// confirmTime is how long a reader holds the answer to Announce back for the
	// append.
	confirmTime = 2 * timer.Second
)

// Peers reaches other daemons.
type Peers interface {
	// Announce hands records to a daemon and reports whether they are in the
	// log already.
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
	// Status tells what the membership table says of this daemon, given its
	// incarnation.
	Status func(identifier.Incarnation) MembershipStatus
	// NewIncarnation returns a new incarnation of this daemon above another.
	NewIncarnation func(above identifier.Incarnation) identifier.Incarnation
	// OnSuspect receives the suspicions that watchers send to log readers.
	OnSuspect func(tracker.Suspect)
	Logger    *slog.Logger
}

// Announcer runs a Planner. Run is for one goroutine; the other methods are
// safe for concurrent use.
type Announcer struct {
	config Config
	wake   chan struct{}

	mu      sync.Mutex
	planner *Planner
	waiters map[Ticket]chan struct{}
	last    Ticket
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
// confirmed or ctx ends. The daemon does not join again.
func (a *Announcer) Leave(ctx context.Context) error {
	ticket, done := a.ticket()
	defer a.release(ticket)
	a.step(LeaveRequested{Ticket: ticket})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// Append queues records of this daemon's own, such as leaves for instances that
// two watchers suspect.
func (a *Announcer) Append(records ...tracker.Record) error {
	return a.receive(Received{Records: records})
}

// Announce takes records of other daemons. It reports whether they are in the
// log; if not, they are kept and appended later. It returns an error if they
// cannot be kept.
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
	ticket, done := a.ticket()
	defer a.release(ticket)
	if err := a.receive(Received{Records: kept, Ticket: ticket}); err != nil {
		return false, err
	}
	timeout := time.NewTimer(confirmTime.Duration())
	defer timeout.Stop()
	select {
	case <-done:
		return true, nil
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false, nil
}

// Run announces until ctx ends.
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

// RunOnce takes one step and returns the time to pause before the next one.
func (a *Announcer) RunOnce(ctx context.Context) timer.Millis {
	now := a.config.Clock.Now()
	incarnation := a.incarnation()
	// Status takes the lock of the membership table, whose owner may be
	// waiting for this announcer's lock.
	standing := a.config.Status(incarnation)
	a.mu.Lock()
	if a.planner.Incarnation() != incarnation {
		a.mu.Unlock()
		return 0
	}
	actions := a.planner.Step(now, Wakeup{Status: standing})
	a.mu.Unlock()
	var pause timer.Millis
	for _, action := range actions {
		switch act := action.(type) {
		case Append:
			a.append(ctx, act)
		case Forward:
			a.handOver(ctx, act)
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
		ctx, cancel := context.WithTimeout(ctx, appendTime.Duration())
		defer cancel()
		_, err = a.config.Log.Append(ctx, appender.Membership, payload)
	}
	if err != nil {
		a.config.Logger.Warn("membership records not appended", "records", len(act.Records), "error", err)
	}
	a.step(Appended{Done: err == nil})
}

func (a *Announcer) handOver(ctx context.Context, act Forward) {
	ctx, cancel := context.WithTimeout(ctx, handOverTime.Duration())
	defer cancel()
	appended, err := a.config.Peers.Announce(ctx, act.Peer, []tracker.Record{act.Record})
	if err != nil {
		a.config.Logger.Warn("membership record not handed over", "peer", act.Peer, "error", err)
	}
	a.step(Forwarded{Accepted: err == nil, Appended: appended && err == nil})
}

// step passes an event to the planner, carries out what needs no I/O and lets
// Run look again.
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
		return Error.New("too many records wait for the log")
	}
	a.step(event)
	return nil
}

func (a *Announcer) ticket() (Ticket, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last++
	done := make(chan struct{})
	a.waiters[a.last] = done
	return a.last, done
}

func (a *Announcer) release(ticket Ticket) {
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
