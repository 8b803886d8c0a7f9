// Package publisher appends changes to the configuration stream and determines
// their outcome.
//
// An append whose answer is lost may have taken effect. The Publisher then reads the
// stream from the end offset that it saw before the append. If the change is not
// there, it appends it again with the same id, which is safe: the fold counts a
// repeated id once.
//
// # Usage
//
//	p := publisher.New(publisher.Config{Log: log, Lookup: fold})
//	outcome, err := p.Publish(ctx, id, payload)
//	switch outcome {
//	case publisher.Accepted:
//	...
//	}
package publisher

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Error is the class of errors of this package.
var Error = errs.Class("publisher")

const (
	// requestTimeout bounds one append or read, so that several fit into the
	// deadline of a caller.
	requestTimeout = 2 * timer.Second
	readLimit      = 256
	// foldPollInterval is the interval at which the fold is checked.
	foldPollInterval = 20 * timer.Millis(1)
	minBackoff       = 100 * timer.Millis(1)
	maxBackoff       = 2 * timer.Second
	// minRetryTime is the time that another append and the read after it need. If
	// less is left, the outcome is decided by the last read of the log.
	minRetryTime = 500 * timer.Millis(1)
)

// Config configures a Publisher. Log and Lookup are required.
type Config struct {
	Log    appender.Log
	Lookup Lookup
	// Sleep waits for a duration or until ctx ends. If nil, the system clock is
	// used.
	Sleep func(ctx context.Context, span timer.Millis)
}

// Publisher publishes changes. It is safe for concurrent use.
type Publisher struct {
	config Config
}

// New returns a publisher.
func New(config Config) *Publisher {
	if config.Sleep == nil {
		config.Sleep = sleep
	}
	return &Publisher{config: config}
}

func sleep(ctx context.Context, span timer.Millis) {
	timeout := time.NewTimer(span.Duration())
	defer timeout.Stop()
	select {
	case <-ctx.Done():
	case <-timeout.C:
	}
}

// Publish appends a change and returns its outcome. The payload is the encoded
// record that contains the id; publishing the same id and payload again is safe.
// With Absent and Unknown the error states the cause.
func (p *Publisher) Publish(ctx context.Context, id identifier.ChangeID, payload []byte) (Outcome, error) {
	if outcome, ok := p.config.Lookup.Outcome(id); ok {
		return outcome, nil
	}
	end, err := p.endOffset(ctx)
	if err != nil {
		return Absent, Error.New("cannot read the log, change was not appended: %w", err)
	}
	s := search{publisher: p, id: id, payload: payload, position: end}
	for {
		err := p.append(ctx, payload)
		if err == nil {
			return p.awaitFold(ctx, id)
		}
		if appender.Refused.Has(err) && !s.uncertain {
			return Absent, Error.Wrap(err)
		}
		s.uncertain = true
		if done, outcome, failure := s.resolve(ctx, err); done {
			return outcome, failure
		}
	}
}

// endOffset returns the offset after the newest record.
func (p *Publisher) endOffset(ctx context.Context) (identifier.Offset, error) {
	batch, err := p.read(ctx, 0, 1)
	var expired *appender.ExpiredError
	if errors.As(err, &expired) {
		return expired.Next, nil
	}
	return batch.Next, err
}

func (p *Publisher) read(ctx context.Context, from identifier.Offset, limit int) (appender.Batch, error) {
	ctx, cancel := withRequestTimeout(ctx)
	defer cancel()
	return p.config.Log.Read(ctx, appender.Configuration, from, limit, 0)
}

func (p *Publisher) append(ctx context.Context, payload []byte) error {
	ctx, cancel := withRequestTimeout(ctx)
	defer cancel()
	_, err := p.config.Log.Append(ctx, appender.Configuration, payload)
	return err
}

// withRequestTimeout returns a context for one request. It leaves at least half of
// the time until the deadline for the steps after a request without an answer.
func withRequestTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	span := requestTimeout.Duration()
	if deadline, ok := ctx.Deadline(); ok {
		span = min(span, time.Until(deadline)/2)
	}
	return context.WithTimeout(ctx, span)
}

// awaitFold waits until the fold has reached a change that is in the log, and returns
// its outcome.
func (p *Publisher) awaitFold(ctx context.Context, id identifier.ChangeID) (Outcome, error) {
	for {
		if outcome, ok := p.config.Lookup.Outcome(id); ok {
			return outcome, nil
		}
		if err := ctx.Err(); err != nil {
			return Unknown, Error.New("change %s is in the log but was not folded by this daemon: %w", id, err)
		}
		p.config.Sleep(ctx, foldPollInterval)
	}
}

// deadlineNear reports whether the deadline leaves too little time for another append
// and read.
func deadlineNear(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && time.Until(deadline) < minRetryTime.Duration()
}

// search looks for a change in the log after an append without an answer.
type search struct {
	publisher *Publisher
	id        identifier.ChangeID
	payload   []byte
	// position is the next offset to read. All records between the end offset
	// before the first append and position have been read or have expired.
	position identifier.Offset
	// uncertain is set if an append had no answer, incomplete if records expired
	// before they were read.
	uncertain  bool
	incomplete bool
	attempts   int
}

// resolve determines the outcome. It returns false if the log was read to its end
// without finding the change and there is time for another append.
func (s *search) resolve(ctx context.Context, cause error) (bool, Outcome, error) {
	for {
		s.pause(ctx)
		found, err := s.scan(ctx)
		if outcome, ok := s.publisher.config.Lookup.Outcome(s.id); ok {
			return true, outcome, nil
		}
		if found {
			outcome, failure := s.publisher.awaitFold(ctx, s.id)
			return true, outcome, failure
		}
		switch {
		case err == nil && !deadlineNear(ctx):
			return false, Unknown, nil
		case err == nil && !s.incomplete:
			return true, Absent, Error.New("change %s is not in the log: %w", s.id, cause)
		case ctx.Err() != nil:
			return true, Unknown, Error.New("change %s may be in the log: %w", s.id, errs.Combine(cause, err))
		}
	}
}

func (s *search) pause(ctx context.Context) {
	s.publisher.config.Sleep(ctx, min(minBackoff<<min(s.attempts, 10), maxBackoff))
	s.attempts++
}

// scan reads to the end of the log and reports whether it found the change.
func (s *search) scan(ctx context.Context) (bool, error) {
	for {
		batch, err := s.publisher.read(ctx, s.position, readLimit)
		var expired *appender.ExpiredError
		if errors.As(err, &expired) {
			s.incomplete = true
			s.position = expired.First
			continue
		}
		if err != nil {
			return false, Error.Wrap(err)
		}
		for _, r := range batch.Records {
			if bytes.Equal(r.Payload, s.payload) {
				return true, nil
			}
			s.position = r.Offset + 1
		}
		if s.position >= batch.Next {
			return false, nil
		}
		if len(batch.Records) == 0 {
			return false, Error.New("log returned no record at offset %d below its end offset %d", s.position, batch.Next)
		}
	}
}
