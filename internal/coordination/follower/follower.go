// Package follower keeps a state machine up to date with one stream of the log.
//
// A log reader long-polls the log; every other daemon long-polls a relay, which
// is a daemon that serves the raw records it folded last. SourceSelector decides
// without I/O which of them to ask and when; Follower does the I/O.
//
// Offsets start at 0. The folded offset is the offset of the last record that
// was folded, so the next record to read is folded+1. "Nothing folded" is not an
// offset: it is the second result of Folded, and the next record is then 0.
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
	// logWait and relayWait are the long-poll spans. A daemon behind a relay
	// learns of the end of the log after at most two of them and their sum must
	// stay below staleAfter.
	logWait   = timer.Second
	relayWait = 2 * timer.Second
	// answerTime is added to the long-poll span before a request is given up.
	answerTime = timer.Second
	// readLimit bounds the records of one read.
	readLimit = 256
)

// Never is the age of the end of the log if it was never confirmed.
const Never timer.Millis = 1 << 60

// State is the state machine that folds the stream. The follower is the only
// caller of Apply and Restore; State locks against its other users itself.
type State interface {
	// Apply folds the record that follows the last folded one. If Folded does
	// not advance to the offset, the follower reads the record again later.
	Apply(offset identifier.Offset, payload []byte) error
	// Restore replaces the state by a checkpoint that covers a higher offset,
	// and reports whether it did. It reports false without an error for a
	// payload that is not a checkpoint.
	Restore(payload []byte) (bool, error)
	// Folded returns the offset of the last folded record, or false if nothing
	// has been folded or restored.
	Folded() (identifier.Offset, bool)
}

// FetchResult is what a relay knows of a stream.
type FetchResult struct {
	Records []appender.Record
	// First is the oldest offset that the relay can serve, Next the offset after
	// the last record it folded.
	First identifier.Offset
	Next  identifier.Offset
	// ConfirmedAge is the time since the relay had folded everything up to the
	// end of the log.
	ConfirmedAge timer.Millis
}

// Snapshot is the folded state of a peer. An empty payload means that the peer
// has folded nothing.
type Snapshot struct {
	Payload []byte
	Folded  identifier.Offset
}

// Relay reaches other daemons.
type Relay interface {
	// Fetch asks a daemon for records from an offset on.
	Fetch(ctx context.Context, peer identifier.Address, stream appender.Stream, from identifier.Offset, limit int, wait timer.Millis) (FetchResult, error)
	// Snapshot asks a daemon for its folded state.
	Snapshot(ctx context.Context, peer identifier.Address, stream appender.Stream) (Snapshot, error)
}

// Config configures a Follower. All fields but Empty and Logger are required.
type Config struct {
	Stream appender.Stream
	Log    appender.Log
	Relay  Relay
	Clock  timer.Clock
	Rand   *rand.Rand
	// Assignment tells whether this daemon reads the log, and its relays.
	Assignment func() Assignment
	// Peers returns daemons that may give a snapshot.
	Peers func() []identifier.Address
	// Empty, if set, makes a checkpoint of an empty state. The follower starts
	// from it when the log is readable but neither the log nor a peer gave a
	// checkpoint for a while. Configuration must leave it unset.
	Empty  func(folded identifier.Offset) ([]byte, error)
	Logger *slog.Logger
}

// Follower follows one stream. Turn and Run are for one goroutine; the other
// methods are safe for concurrent use.
type Follower struct {
	config  Config
	state   State
	sources *SourceSelector
	// logReadable is the time since which bootstrapping finds the log readable
	// but without a checkpoint, or 0.
	logReadable timer.Millis

	mu        sync.Mutex
	window    *window
	changed   chan struct{}
	confirmed timer.Millis
	contact   timer.Millis
}

// New returns a follower for a state. It does no I/O.
func New(config Config, state State) *Follower {
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	f := &Follower{
		config: config, state: state, changed: make(chan struct{}),
		confirmed: -Never, contact: -Never,
	}
	_, folded := state.Folded()
	f.sources = NewSourceSelector(config.Clock.Now(), config.Rand, !folded)
	f.window = newWindow(f.next())
	return f
}

// Run follows the stream until ctx ends.
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

// RunOnce takes one step and returns the time to pause before the next one.
func (f *Follower) RunOnce(ctx context.Context) timer.Millis {
	now := f.config.Clock.Now()
	var pause timer.Millis
	for _, action := range f.sources.Step(now, Wakeup{Assignment: f.config.Assignment()}) {
		switch a := action.(type) {
		case Fetch:
			f.sources.Step(f.config.Clock.Now(), f.fetch(ctx, a))
		case Bootstrap:
			done := f.bootstrap(ctx)
			f.sources.Step(f.config.Clock.Now(), Bootstrapped{Done: done})
		case Sleep:
			pause = a.Until - now
		}
	}
	return pause
}

// ConfirmedAge returns the time since which the state may be stale: everything
// that the log held that long ago has been folded. It is at least Never if the
// end of the log was never confirmed.
func (f *Follower) ConfirmedAge() timer.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config.Clock.Now() - f.confirmed
}

// ContactAge returns the time since the log or a relay last answered.
func (f *Follower) ContactAge() timer.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config.Clock.Now() - f.contact
}

// next returns the offset of the next record to fold.
func (f *Follower) next() identifier.Offset {
	folded, ok := f.state.Folded()
	if !ok {
		return 0
	}
	return folded + 1
}
