// Package follower keeps a state machine up to date with one stream of the log.
//
// A log reader long-polls the log; every other daemon long-polls a relay, which
// is a daemon that serves the raw records that it folded last. SourceSelector
// decides without I/O which source to ask and when; Follower does the I/O.
//
// Offsets start at 0. The folded offset is the offset of the last record that
// was folded, so the next record to read is folded+1. If nothing has been folded,
// the second result of Folded is false and the next record is 0.
//
// # Usage
//
//	f := follower.New(follower.Config{Stream: appender.Membership, ...}, state)
//	go f.Run(ctx)
//	answer := f.Fetch(ctx, from, limit, wait) // for other daemons
//	if f.ConfirmedAge() > limit { ... }       // this daemon may be stale
package follower

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Error is the class of errors of this package.
var Error = errs.Class("follower")

const (
	// logWait and relayWait are the maximum waits of a long poll. A daemon behind a
	// relay learns of the end of the log after at most two long polls, and the sum of
	// the waits must stay below staleAfter.
	logWait   = timer.Second
	relayWait = 2 * timer.Second
	// answerTimeout is added to the wait of a long poll to give the request timeout.
	answerTimeout = timer.Second
	// readLimit is the maximum number of records of one read.
	readLimit = 256
)

// NeverConfirmed is the confirmed age if the end of the log was never confirmed.
const NeverConfirmed timer.Millis = 1 << 60

// State is the state machine that folds the stream. Only the follower calls Apply
// and Restore; State does its own locking against other users.
type State interface {
	// Apply folds the record that follows the last folded one. If Folded does
	// not advance to the offset, the follower reads the record again later.
	Apply(offset identifier.Offset, payload []byte) error
	// Restore replaces the state with a checkpoint that covers a higher offset,
	// and reports whether it did. It reports false without an error for a
	// payload that is not a checkpoint.
	Restore(payload []byte) (bool, error)
	// Folded returns the offset of the last folded record, or false if nothing
	// has been folded or restored.
	Folded() (identifier.Offset, bool)
}

// FetchResult is the answer of a source to a fetch.
type FetchResult struct {
	Records []appender.Record
	// First is the oldest offset that the relay can serve, Next the offset after
	// the last record it folded.
	First identifier.Offset
	Next  identifier.Offset
	// ConfirmedAge is the time since the relay last had folded everything up to
	// the end of the log.
	ConfirmedAge timer.Millis
}

// Snapshot is the folded state of a peer. An empty payload means that the peer
// has folded nothing.
type Snapshot struct {
	Payload []byte
	Folded  identifier.Offset
}

// Relay sends requests to other daemons.
type Relay interface {
	// Fetch requests records from an offset on from a daemon.
	Fetch(ctx context.Context, peer identifier.Address, stream appender.Stream, from identifier.Offset, limit int, wait timer.Millis) (FetchResult, error)
	// Snapshot requests the folded state of a daemon.
	Snapshot(ctx context.Context, peer identifier.Address, stream appender.Stream) (Snapshot, error)
}

// Config configures a Follower. All fields but Empty and Logger are required.
type Config struct {
	Stream appender.Stream
	Log    appender.Log
	Relay  Relay
	Clock  timer.Clock
	Rand   *rand.Rand
	// Assignment returns whether this daemon reads the log, and its relays.
	Assignment func() Assignment
	// Peers returns the daemons that may be asked for a snapshot.
	Peers func() []identifier.Address
	// Empty, if set, returns a checkpoint of an empty state. The follower starts
	// from it if the log is readable but neither the log nor a peer has given a
	// checkpoint for startEmptyAfter. It must be nil for the configuration stream.
	Empty  func(folded identifier.Offset) ([]byte, error)
	Logger *slog.Logger
}

// Follower follows one stream. Only one goroutine may call RunOnce or Run; the
// other methods are safe for concurrent use.
type Follower struct {
	config   Config
	state    State
	selector *SourceSelector
	// logReadableSince is the time since which bootstrapping finds the log readable
	// but without a checkpoint, or 0.
	logReadableSince timer.Millis

	mu          sync.Mutex
	window      *window
	changed     chan struct{}
	confirmedAt timer.Millis
	lastContact timer.Millis
}

// New returns a follower for a state. It does no I/O.
func New(config Config, state State) *Follower {
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	f := &Follower{
		config: config, state: state, changed: make(chan struct{}),
		confirmedAt: -NeverConfirmed, lastContact: -NeverConfirmed,
	}
	_, folded := state.Folded()
	f.selector = NewSourceSelector(config.Clock.Now(), config.Rand, !folded)
	f.window = newWindow(f.next())
	return f
}

// Run follows the stream until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := f.RunOnce(ctx)
		if pause <= 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause.Duration()):
		}
	}
}

// RunOnce carries out the next action and returns the time to wait before the next
// call.
func (f *Follower) RunOnce(ctx context.Context) timer.Millis {
	now := f.config.Clock.Now()
	var pause timer.Millis
	for _, action := range f.selector.Step(now, Wakeup{Assignment: f.config.Assignment()}) {
		switch a := action.(type) {
		case Fetch:
			f.selector.Step(f.config.Clock.Now(), f.fetch(ctx, a))
		case Bootstrap:
			done := f.bootstrap(ctx)
			f.selector.Step(f.config.Clock.Now(), Bootstrapped{Succeeded: done})
		case Sleep:
			pause = a.Until - now
		}
	}
	return pause
}

// ConfirmedAge returns the maximum staleness of the state: everything that the log
// held that long ago has been folded. It is at least NeverConfirmed if the end of
// the log was never confirmed.
func (f *Follower) ConfirmedAge() timer.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config.Clock.Now() - f.confirmedAt
}

// ContactAge returns the time since the log or a relay last answered.
func (f *Follower) ContactAge() timer.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config.Clock.Now() - f.lastContact
}

// next returns the offset of the next record to fold.
func (f *Follower) next() identifier.Offset {
	folded, ok := f.state.Folded()
	if !ok {
		return 0
	}
	return folded + 1
}
