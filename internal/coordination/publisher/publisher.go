// Package publisher appends changes to the configuration stream and finds out
// what became of them.
//
// An append whose answer is lost may have taken effect. Publisher then reads the
// stream from the end that it saw before the append. If the change is not there
// it appends it again with the same id, which is safe: the fold counts a
// repeated id once.
//
// # Usage
//
//	p := publisher.New(publisher.Config{Log: log, Lookup: fold})
//	fate, err := p.Publish(ctx, id, payload)
//	switch fate {
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
	// requestTime bounds one append or read, so that several fit the deadline of
	// a caller.
	requestTime = 2 * timer.Second
	readLimit   = 256
	// foldPoll is the pause between two looks at the fold.
	foldPoll   = 20 * timer.Millis(1)
	minBackoff = 100 * timer.Millis(1)
	maxBackoff = 2 * timer.Second
	// settleTime is what another append and the read after it need. With less
	// time left, the log as it was just read decides.
	settleTime = 500 * timer.Millis(1)
)

// Config configures a Publisher. Log and Lookup are required.
type Config struct {
	Log    appender.Log
	Lookup Lookup
	// Sleep waits for a span or until ctx ends. If nil, the system's time is
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

// Publish appends a change and returns its fate. The payload is the record with
// the id; publishing the same id and payload again is safe. An error comes with
// Absent and Unknown and tells why.
func (p *Publisher) Publish(ctx context.Context, id identifier.ChangeID, payload []byte) (Outcome, error) {
	if fate, ok := p.config.Lookup.Outcome(id); ok {
		return fate, nil
	}
	end, err := p.end(ctx)
	if err != nil {
		return Absent, Error.New("log not readable, nothing was appended: %w", err)
	}
	s := search{publisher: p, id: id, payload: payload, position: end}
	for {
		err := p.append(ctx, payload)
		if err == nil {
			return p.folded(ctx, id)
		}
		if appender.Refused.Has(err) && !s.lost {
			return Absent, Error.Wrap(err)
		}
		s.lost = true
		if done, fate, failure := s.resolve(ctx, err); done {
			return fate, failure
		}
	}
}

// end returns the offset after the newest record.
func (p *Publisher) end(ctx context.Context) (identifier.Offset, error) {
	batch, err := p.read(ctx, 0, 1)
	var expired *appender.ExpiredError
	if errors.As(err, &expired) {
		return expired.Next, nil
	}
	return batch.Next, err
}

func (p *Publisher) read(ctx context.Context, from identifier.Offset, limit int) (appender.Batch, error) {
	ctx, cancel := bounded(ctx)
	defer cancel()
	return p.config.Log.Read(ctx, appender.Configuration, from, limit, 0)
}

func (p *Publisher) append(ctx context.Context, payload []byte) error {
	ctx, cancel := bounded(ctx)
	defer cancel()
	_, err := p.config.Log.Append(ctx, appender.Configuration, payload)
	return err
}

// bounded leaves at least half of the time to the deadline for what follows a
// request without an answer.
func bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	span := requestTime.Duration()
	if deadline, ok := ctx.Deadline(); ok {
		span = min(span, time.Until(deadline)/2)
	}
	return context.WithTimeout(ctx, span)
}

// folded waits until the fold has reached a change that is in the log.
func (p *Publisher) folded(ctx context.Context, id identifier.ChangeID) (Outcome, error) {
	for {
		if fate, ok := p.config.Lookup.Outcome(id); ok {
			return fate, nil
		}
		if err := ctx.Err(); err != nil {
			return Unknown, Error.New("change %s is in the log but was not folded here: %w", id, err)
		}
		p.config.Sleep(ctx, foldPoll)
	}
}

// late reports whether the deadline leaves no time for another append and read.
func late(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && time.Until(deadline) < settleTime.Duration()
}

// search looks for a change after an append without an answer.
type search struct {
	publisher *Publisher
	id        identifier.ChangeID
	payload   []byte
	// position is the next offset to read. Everything from the end before the
	// first append up to it has been read.
	position identifier.Offset
	// lost says that an append had no answer, missed that records expired
	// unread.
	lost     bool
	missed   bool
	attempts int
}

// resolve finds the change, or returns not done if the log was read to its end
// without it and there is time for another append.
func (s *search) resolve(ctx context.Context, cause error) (bool, Outcome, error) {
	for {
		s.pause(ctx)
		found, err := s.scan(ctx)
		if fate, ok := s.publisher.config.Lookup.Outcome(s.id); ok {
			return true, fate, nil
		}
		if found {
			fate, failure := s.publisher.folded(ctx, s.id)
			return true, fate, failure
		}
		switch {
		case err == nil && !late(ctx):
			return false, Unknown, nil
		case err == nil && !s.missed:
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

// scan reads to the end of the log and reports whether the change is there.
func (s *search) scan(ctx context.Context) (bool, error) {
	for {
		batch, err := s.publisher.read(ctx, s.position, readLimit)
		var expired *appender.ExpiredError
		if errors.As(err, &expired) {
			s.missed = true
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
			return false, Error.New("no record at offset %d below %d", s.position, batch.Next)
		}
	}
}
