package follower

import (
	"math/rand/v2"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// switchAfter is the time without an answer after which the other kind of
	// source is used.
	switchAfter = 3 * timer.Second
	// staleAfter is the age of the end of the log from which a relay counts as
	// cut off from it.
	staleAfter = 6 * timer.Second
	// minPoll spaces requests to a source that answers at once with nothing.
	minPoll = 100 * timer.Millis(1)

	minBackoff = 100 * timer.Millis(1)
	// Caps of the back-off. Daemons behind a reachable relay ask a failing log
	// rarely, since tens of thousands of them would meet it when it returns.
	maxReaderBackoff   = 5 * timer.Second
	maxRelayBackoff    = 10 * timer.Second
	maxFollowerBackoff = timer.Minute
)

// Source is where records come from.
type Source interface{ source() }

// LogSource is the log itself.
type LogSource struct{}

// RelaySource is another daemon.
type RelaySource struct{ Address identifier.Address }

func (LogSource) source()   {}
func (RelaySource) source() {}

// Assignment is the part of a daemon in spreading the stream.
type Assignment struct {
	// Reader says that this daemon reads the log itself.
	Reader bool
	// Relays are the daemons to follow, the preferred one first.
	Relays []identifier.Address
}

// Event is something that happened to the follower.
type Event interface{ event() }

// Wakeup asks for the next action.
type Wakeup struct{ Assignment Assignment }

// Fetched is an answer of a source.
type Fetched struct {
	Source Source
	// Empty says that the answer held no new record.
	Empty bool
	// Stale says that the relay is behind this daemon or cut off from the log.
	Stale bool
}

// Failed is a source that gave no usable answer.
type Failed struct{ Source Source }

// Expired is a source that no longer has the next record.
type Expired struct{ Source Source }

// Bootstrapped is the end of an attempt to find a checkpoint.
type Bootstrapped struct{ Done bool }

func (Wakeup) event()       {}
func (Fetched) event()      {}
func (Failed) event()       {}
func (Expired) event()      {}
func (Bootstrapped) event() {}

// Action is the next thing that the follower should do.
type Action interface{ action() }

// Fetch asks a source for records.
type Fetch struct {
	Source Source
	// Probe asks not to wait for records: another source works, and trying this
	// one must not hold it up.
	Probe bool
}

// Bootstrap asks for a checkpoint from the log or from peers.
type Bootstrap struct{}

// Sleep asks to wake the core at a time.
type Sleep struct{ Until timer.Millis }

func (Fetch) action()     {}
func (Bootstrap) action() {}
func (Sleep) action()     {}

// channel is one of the two kinds of source.
type channel struct {
	answered timer.Millis
	failing  bool
	stale    bool
	expired  bool
	attempts int
	until    timer.Millis
}

// degraded reports whether the other kind of source should be used.
func (c *channel) degraded(now timer.Millis) bool {
	return c.stale || c.expired || c.failing && now-c.answered >= switchAfter
}

// SourceSelector decides which source to ask. It is a state machine without I/O.
type SourceSelector struct {
	rand       *rand.Rand
	assignment Assignment
	at         int
	log        channel
	relay      channel
	started    timer.Millis
	pause      timer.Millis

	lost      bool
	attempts  int
	bootstrap timer.Millis
}

// NewSourceSelector returns the core of a follower, which bootstraps first if lost.
func NewSourceSelector(now timer.Millis, random *rand.Rand, lost bool) *SourceSelector {
	return &SourceSelector{rand: random, log: channel{answered: now}, relay: channel{answered: now}, lost: lost}
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
		s.bootstrapped(now, e.Done)
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
		at = slices.Index(a.Relays, s.assignment.Relays[s.at])
	}
	s.assignment = Assignment{Reader: a.Reader, Relays: slices.Clone(a.Relays)}
	s.at = max(at, 0)
	if at < 0 {
		s.relay.until = now
	}
}

// direct reports whether the log is the preferred source.
func (s *SourceSelector) direct() bool { return s.assignment.Reader || len(s.assignment.Relays) == 0 }

func (s *SourceSelector) choose(now timer.Millis) Action {
	if s.lost {
		if now < s.bootstrap {
			return Sleep{Until: s.bootstrap}
		}
		return Bootstrap{}
	}
	if now < s.pause {
		return Sleep{Until: s.pause}
	}
	first, second := &s.relay, &s.log
	if s.direct() {
		first, second = second, first
	}
	if !first.degraded(now) || len(s.assignment.Relays) == 0 {
		return s.ask(now, first, false)
	}
	if !second.failing && !second.expired {
		if first.until <= now {
			return s.ask(now, first, true)
		}
		return s.ask(now, second, false)
	}
	if second.until <= now {
		return s.ask(now, second, !first.failing)
	}
	if !first.failing && !first.expired {
		first.until = now
	}
	if first.until <= second.until {
		return s.ask(now, first, false)
	}
	return s.ask(now, second, false)
}

func (s *SourceSelector) ask(now timer.Millis, c *channel, probe bool) Action {
	if now < c.until {
		return Sleep{Until: c.until}
	}
	s.started = now
	if c == &s.log {
		return Fetch{Source: LogSource{}, Probe: probe}
	}
	return Fetch{Source: RelaySource{Address: s.assignment.Relays[s.at]}, Probe: probe}
}

func (s *SourceSelector) channel(source Source) *channel {
	if _, ok := source.(LogSource); ok {
		return &s.log
	}
	return &s.relay
}

func (s *SourceSelector) fetched(now timer.Millis, e Fetched) {
	c := s.channel(e.Source)
	*c = channel{answered: now, stale: e.Stale}
	if e.Empty && now-s.started < minPoll {
		s.pause = now + minPoll
	}
	if e.Stale {
		s.rotate()
		c.until = now + s.jitter(maxRelayBackoff)
	}
}

func (s *SourceSelector) failed(now timer.Millis, source Source) {
	c := s.channel(source)
	c.failing = true
	c.stale = false
	c.until = now + s.backoff(&c.attempts, s.cap(c))
	if c == &s.relay {
		s.rotate()
	}
	// The relays are too far ahead and the log does not answer.
	if s.relay.expired && s.log.failing {
		s.lost = true
	}
}

func (s *SourceSelector) expired(now timer.Millis, source Source) {
	c := s.channel(source)
	if c == &s.log {
		s.lost = true
		return
	}
	c.expired = true
	c.failing = false
	c.until = now + s.jitter(maxRelayBackoff)
	s.rotate()
	if s.log.failing {
		s.lost = true
	}
}

func (s *SourceSelector) bootstrapped(now timer.Millis, done bool) {
	if !done {
		s.bootstrap = now + s.backoff(&s.attempts, maxRelayBackoff)
		return
	}
	s.lost = false
	s.attempts = 0
	s.log = channel{answered: now}
	s.relay = channel{answered: now}
}

func (s *SourceSelector) rotate() {
	if n := len(s.assignment.Relays); n > 0 {
		s.at = (s.at + 1) % n
	}
}

func (s *SourceSelector) cap(c *channel) timer.Millis {
	switch {
	case c == &s.relay || !s.direct() && s.relay.failing:
		return maxRelayBackoff
	case s.direct():
		return maxReaderBackoff
	default:
		return maxFollowerBackoff
	}
}

// backoff doubles with each attempt up to a limit.
func (s *SourceSelector) backoff(attempts *int, limit timer.Millis) timer.Millis {
	span := min(minBackoff<<min(*attempts, 20), limit)
	*attempts++
	return s.jitter(span)
}

// jitter draws from the upper half of a span, so that daemons that failed
// together do not return together.
func (s *SourceSelector) jitter(span timer.Millis) timer.Millis {
	return span/2 + timer.Millis(s.rand.Int64N(int64(span/2)+1))
}
