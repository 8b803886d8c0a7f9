package follower

import (
	"math/rand/v2"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// switchAfter is the time without an answer after which the other kind of
	// source is asked.
	switchAfter = 3 * timer.Second
	// staleAfter is the confirmed age above which a relay counts as disconnected
	// from the log.
	staleAfter = 6 * timer.Second
	// minPoll is the pause after a source answered without delay and without new
	// records.
	minPoll = 100 * timer.Millis(1)

	minBackoff = 100 * timer.Millis(1)
	// Limits of the back-off. Daemons behind a reachable relay retry a failing log
	// rarely, since tens of thousands of them would ask it when it returns.
	maxReaderBackoff   = 5 * timer.Second
	maxRelayBackoff    = 10 * timer.Second
	maxFollowerBackoff = timer.Minute
)

// Source identifies a source of records.
type Source interface{ source() }

// LogSource is the log.
type LogSource struct{}

// RelaySource is a daemon that serves its recent records.
type RelaySource struct{ Address identifier.Address }

func (LogSource) source()   {}
func (RelaySource) source() {}

// Assignment is the role of a daemon in the distribution of the stream.
type Assignment struct {
	// Reader is set if this daemon reads the log itself.
	Reader bool
	// Relays are the daemons to fetch from, the preferred one first.
	Relays []identifier.Address
}

// Event is an input of SourceSelector.
type Event interface{ event() }

// Wakeup requests the next action.
type Wakeup struct{ Assignment Assignment }

// Fetched reports the answer of a source.
type Fetched struct {
	Source Source
	// Empty is set if the answer held no new record.
	Empty bool
	// Stale is set if the relay is behind this daemon or disconnected from the log.
	Stale bool
}

// Failed reports that a source gave no usable answer.
type Failed struct{ Source Source }

// Expired reports that a source no longer has the next record.
type Expired struct{ Source Source }

// Bootstrapped reports the end of an attempt to restore a checkpoint.
type Bootstrapped struct{ Succeeded bool }

func (Wakeup) event()       {}
func (Fetched) event()      {}
func (Failed) event()       {}
func (Expired) event()      {}
func (Bootstrapped) event() {}

// Action is the next step that the follower carries out.
type Action interface{ action() }

// Fetch requests records from a source.
type Fetch struct {
	Source Source
	// Probe requests an answer without waiting for new records: another source
	// works, and testing this one must not delay it.
	Probe bool
}

// Bootstrap requests a checkpoint from the log or from peers.
type Bootstrap struct{}

// Sleep requests a Wakeup at a time.
type Sleep struct{ Until timer.Millis }

func (Fetch) action()     {}
func (Bootstrap) action() {}
func (Sleep) action()     {}

// sourceState is the state of one kind of source: the log or the relays.
type sourceState struct {
	lastAnswer timer.Millis
	failing    bool
	stale      bool
	expired    bool
	attempts   int
	retryAt    timer.Millis
}

// degraded reports whether the other kind of source should be asked.
func (c *sourceState) degraded(now timer.Millis) bool {
	return c.stale || c.expired || c.failing && now-c.lastAnswer >= switchAfter
}

// SourceSelector decides which source to ask and when. It is a state machine
// without I/O.
type SourceSelector struct {
	rand        *rand.Rand
	assignment  Assignment
	relayIndex  int
	log         sourceState
	relay       sourceState
	requestedAt timer.Millis
	pausedUntil timer.Millis

	needsBootstrap bool
	attempts       int
	bootstrapAt    timer.Millis
}

// NewSourceSelector returns a selector, which requests a Bootstrap first if
// needsBootstrap is set.
func NewSourceSelector(now timer.Millis, random *rand.Rand, needsBootstrap bool) *SourceSelector {
	return &SourceSelector{rand: random, log: sourceState{lastAnswer: now}, relay: sourceState{lastAnswer: now}, needsBootstrap: needsBootstrap}
}

// Step handles an event. Only Wakeup returns an action, and exactly one.
func (s *SourceSelector) Step(now timer.Millis, event Event) []Action {
	switch e := event.(type) {
	case Wakeup:
		s.assign(now, e.Assignment)
		return []Action{s.choose(now)}
	case Fetched:
		s.fetched(now, e)
	case Failed:
		s.failed(now, e.Source)
	case Expired:
		s.expired(now, e.Source)
	case Bootstrapped:
		s.bootstrapped(now, e.Succeeded)
	}
	return nil
}

func (s *SourceSelector) assign(now timer.Millis, a Assignment) {
	if slices.Equal(a.Relays, s.assignment.Relays) {
		s.assignment.Reader = a.Reader
		return
	}
	at := -1
	if len(s.assignment.Relays) > 0 {
		at = slices.Index(a.Relays, s.assignment.Relays[s.relayIndex])
	}
	s.assignment = Assignment{Reader: a.Reader, Relays: slices.Clone(a.Relays)}
	s.relayIndex = max(at, 0)
	if at < 0 {
		s.relay.retryAt = now
	}
}

// prefersLog reports whether the log is the preferred source.
func (s *SourceSelector) prefersLog() bool {
	return s.assignment.Reader || len(s.assignment.Relays) == 0
}

func (s *SourceSelector) choose(now timer.Millis) Action {
	if s.needsBootstrap {
		if now < s.bootstrapAt {
			return Sleep{Until: s.bootstrapAt}
		}
		return Bootstrap{}
	}
	if now < s.pausedUntil {
		return Sleep{Until: s.pausedUntil}
	}
	first, second := &s.relay, &s.log
	if s.prefersLog() {
		first, second = second, first
	}
	if !first.degraded(now) || len(s.assignment.Relays) == 0 {
		return s.ask(now, first, false)
	}
	if !second.failing && !second.expired {
		if first.retryAt <= now {
			return s.ask(now, first, true)
		}
		return s.ask(now, second, false)
	}
	if second.retryAt <= now {
		return s.ask(now, second, !first.failing)
	}
	if !first.failing && !first.expired {
		first.retryAt = now
	}
	if first.retryAt <= second.retryAt {
		return s.ask(now, first, false)
	}
	return s.ask(now, second, false)
}

func (s *SourceSelector) ask(now timer.Millis, c *sourceState, probe bool) Action {
	if now < c.retryAt {
		return Sleep{Until: c.retryAt}
	}
	s.requestedAt = now
	if c == &s.log {
		return Fetch{Source: LogSource{}, Probe: probe}
	}
	return Fetch{Source: RelaySource{Address: s.assignment.Relays[s.relayIndex]}, Probe: probe}
}

func (s *SourceSelector) state(source Source) *sourceState {
	if _, ok := source.(LogSource); ok {
		return &s.log
	}
	return &s.relay
}

func (s *SourceSelector) fetched(now timer.Millis, e Fetched) {
	c := s.state(e.Source)
	*c = sourceState{lastAnswer: now, stale: e.Stale}
	if e.Empty && now-s.requestedAt < minPoll {
		s.pausedUntil = now + minPoll
	}
	if e.Stale {
		s.nextRelay()
		c.retryAt = now + s.jitter(maxRelayBackoff)
	}
}

func (s *SourceSelector) failed(now timer.Millis, source Source) {
	c := s.state(source)
	c.failing = true
	c.stale = false
	c.retryAt = now + s.backoff(&c.attempts, s.backoffLimit(c))
	if c == &s.relay {
		s.nextRelay()
	}
	// The relays no longer have the next record and the log does not answer.
	if s.relay.expired && s.log.failing {
		s.needsBootstrap = true
	}
}

func (s *SourceSelector) expired(now timer.Millis, source Source) {
	c := s.state(source)
	if c == &s.log {
		s.needsBootstrap = true
		return
	}
	c.expired = true
	c.failing = false
	c.retryAt = now + s.jitter(maxRelayBackoff)
	s.nextRelay()
	if s.log.failing {
		s.needsBootstrap = true
	}
}

func (s *SourceSelector) bootstrapped(now timer.Millis, done bool) {
	if !done {
		s.bootstrapAt = now + s.backoff(&s.attempts, maxRelayBackoff)
		return
	}
	s.needsBootstrap = false
	s.attempts = 0
	s.log = sourceState{lastAnswer: now}
	s.relay = sourceState{lastAnswer: now}
}

func (s *SourceSelector) nextRelay() {
	if n := len(s.assignment.Relays); n > 0 {
		s.relayIndex = (s.relayIndex + 1) % n
	}
}

func (s *SourceSelector) backoffLimit(c *sourceState) timer.Millis {
	switch {
	case c == &s.relay || !s.prefersLog() && s.relay.failing:
		return maxRelayBackoff
	case s.prefersLog():
		return maxReaderBackoff
	default:
		return maxFollowerBackoff
	}
}

// backoff returns a random delay whose range doubles with each attempt up to a
// limit.
func (s *SourceSelector) backoff(attempts *int, limit timer.Millis) timer.Millis {
	span := min(minBackoff<<min(*attempts, 20), limit)
	*attempts++
	return s.jitter(span)
}

// jitter returns a random time in the upper half of a span, so that daemons that
// failed at the same time do not retry at the same time.
func (s *SourceSelector) jitter(span timer.Millis) timer.Millis {
	return span/2 + timer.Millis(s.rand.Int64N(int64(span/2)+1))
}
