package follower

import (
	"context"
	"errors"

	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// fetch sends one request to a source and folds the records of the answer.
func (f *Follower) fetch(ctx context.Context, action Fetch) Event {
	started := f.config.Clock.Now()
	from := f.next()
	answer, err := f.ask(ctx, action, from)
	var expired *appender.ExpiredError
	if errors.As(err, &expired) || err == nil && answer.First > from {
		return Expired{Source: action.Source}
	}
	if err == nil {
		err = f.fold(answer.Records)
	}
	if err != nil {
		f.config.Logger.Warn("fetch from source failed", "stream", f.config.Stream, "source", action.Source, "error", err)
		return Failed{Source: action.Source}
	}
	caughtUp := f.next() >= answer.Next
	f.recordContact(started, answer, caughtUp)
	_, fromLog := action.Source.(LogSource)
	empty := f.next() == from
	behind := answer.Next < from || empty && !caughtUp
	return Fetched{
		Source: action.Source,
		Empty:  empty,
		// A probe does not count a relay as stale because it is behind: one that is
		// behind only for a moment catches up during a long poll, and a probe does not
		// wait.
		Stale: !fromLog && (answer.ConfirmedAge > staleAfter || behind && !action.Probe),
	}
}

func (f *Follower) ask(ctx context.Context, action Fetch, from identifier.Offset) (FetchResult, error) {
	wait := relayWait
	if _, direct := action.Source.(LogSource); direct {
		wait = logWait
	}
	if action.Probe {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, (wait + answerTimeout).Duration())
	defer cancel()
	relay, ok := action.Source.(RelaySource)
	if ok {
		return f.config.Relay.Fetch(ctx, relay.Address, f.config.Stream, from, readLimit, wait)
	}
	batch, err := f.config.Log.Read(ctx, f.config.Stream, from, readLimit, wait)
	return FetchResult{Records: batch.Records, First: batch.First, Next: batch.Next}, err
}

// fold applies records strictly in the order of their offsets. It skips records
// that are already folded and returns an error at a gap.
func (f *Follower) fold(records []appender.Record) error {
	for _, r := range records {
		next := f.next()
		if r.Offset < next {
			continue
		}
		if r.Offset > next {
			return Error.New("record at offset %d, expected %d", r.Offset, next)
		}
		err := f.state.Apply(r.Offset, r.Payload)
		if f.next() == next {
			return Error.New("record at offset %d was not folded: %w", r.Offset, err)
		}
		if err != nil {
			f.config.Logger.Warn("record folded with error", "stream", f.config.Stream, "offset", r.Offset, "error", err)
		}
		f.push(r)
	}
	return nil
}

func (f *Follower) push(r appender.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.window.push(r)
	f.notifyWaiters()
}

// notifyWaiters makes waiting calls of Fetch read the window again. The caller
// holds f.mu.
func (f *Follower) notifyWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// recordContact records the time of the answer and, if the state has caught up,
// the confirmation. The confirmation counts from the start of the request: the
// answer may date from any moment after it, and ConfirmedAge must not be too low.
func (f *Follower) recordContact(started timer.Millis, answer FetchResult, caughtUp bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastContact = f.config.Clock.Now()
	age := answer.ConfirmedAge
	if caughtUp && age >= 0 && age < NeverConfirmed {
		f.confirmedAt = max(f.confirmedAt, started-age)
	}
}
