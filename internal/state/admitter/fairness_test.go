package admitter_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// server runs an Admitter with a warm backend server and records what becomes of each
// attempt. Runs end when the test ends them, or at their time in advance.
type server struct {
	a        *admitter.Admitter
	now      timer.Millis
	sent     int
	waiting  []admitter.Arrive
	running  []admitter.Arrive
	ends     map[identifier.AttemptID]timer.Millis
	started  map[uint32]int
	refused  map[uint32]int
	latency  timer.Millis
	onStart  func(admitter.Arrive)
	onRefuse func(admitter.Arrive, timer.Millis)
}

// newServer returns a server with a mean run time.
func newServer(slots, maxQueue int, latency timer.Millis) *server {
	limits := defaultLimits
	limits.MaxInFlight, limits.MaxQueue, limits.ColdLimit, limits.RampCompletions = slots, maxQueue, 100, 1
	s := &server{
		a: newReady(limits, 0), latency: latency, ends: map[identifier.AttemptID]timer.Millis{},
		started: map[uint32]int{}, refused: map[uint32]int{}, onStart: func(admitter.Arrive) {}, onRefuse: func(admitter.Arrive, timer.Millis) {},
	}
	s.now = runAttempts(s.a, 1, 30, 50, latency, admitter.OK)
	s.sent = int(s.now)
	return s
}

func (s *server) arrive(e admitter.Arrive) {
	s.sent++
	e.Attempt = id(s.sent)
	if e.Remaining == 0 {
		e.Remaining = 10_000
	}
	s.waiting = append(s.waiting, e)
	s.step(e)
}

func (s *server) step(event admitter.Event) {
	for _, action := range s.a.Step(s.now, event, nil) {
		switch v := action.(type) {
		case admitter.Start:
			e := s.take(&s.waiting, v.Attempt)
			s.running = append(s.running, e)
			s.started[e.Account]++
			s.ends[v.Attempt] = s.now + s.latency
			s.onStart(e)
		case admitter.Refuse:
			e := s.take(&s.waiting, v.Attempt)
			s.refused[e.Account]++
			s.onRefuse(e, v.RetryAfter)
		}
	}
}

func (s *server) take(from *[]admitter.Arrive, attempt identifier.AttemptID) admitter.Arrive {
	for i, e := range *from {
		if e.Attempt == attempt {
			*from = append((*from)[:i], (*from)[i+1:]...)
			return e
		}
	}
	panic(fmt.Sprintf("%v is decided twice", attempt))
}

// end ends the run that has run i-th longest.
func (s *server) end(i int) {
	e := s.running[i]
	s.running = append(s.running[:i], s.running[i+1:]...)
	delete(s.ends, e.Attempt)
	s.step(admitter.Complete{Attempt: e.Attempt, Latency: s.latency})
}

// advance moves the time on by one ms and ends the runs that are due.
func (s *server) advance() {
	s.now++
	for i := 0; i < len(s.running); {
		if s.ends[s.running[i].Attempt] <= s.now {
			s.end(i)
			i = 0
		} else {
			i++
		}
	}
	if s.now%50 == 0 {
		s.step(admitter.Tick{})
	}
}

func (s *server) waitingOf(match func(admitter.Arrive) bool) int {
	count := 0
	for _, e := range s.waiting {
		if match(e) {
			count++
		}
	}
	return count
}

func goesFirst(e, other admitter.Arrive) bool {
	return e.Priority < other.Priority || e.Priority == other.Priority && e.Nested && !other.Nested
}

// fairnessModel checks each start against the attempts that wait.
type fairnessModel struct {
	*server
	t *rapid.T
	// lead holds, for two accounts of a class that have both waited since the entry was
	// made, how many starts the first one had more than the second.
	lead map[[2]admitter.Arrive]int
	// ranBesideWaiting holds the accounts that ran while others of their class waited.
	ranBesideWaiting map[admitter.Arrive]bool
}

// account returns the fields that identify the account in a class.
func account(e admitter.Arrive) admitter.Arrive {
	return admitter.Arrive{Account: e.Account, Priority: e.Priority, Nested: e.Nested}
}

func (m *fairnessModel) checkStart(e admitter.Arrive) {
	own := account(e)
	if first := m.waitingOf(func(w admitter.Arrive) bool { return goesFirst(w, e) }); first > 0 {
		m.t.Fatalf("%+v started before %d attempts that go first", e, first)
	}
	for _, w := range m.waiting {
		other := account(w)
		if other == own || other.Priority != own.Priority || other.Nested != own.Nested || m.counted(w) {
			continue
		}
		pair, opposite := [2]admitter.Arrive{own, other}, [2]admitter.Arrive{other, own}
		m.lead[pair]++
		m.lead[opposite]--
		if m.lead[pair] > 2 {
			m.t.Fatalf("%+v started %d more than %+v while both waited", own, m.lead[pair], other)
		}
	}
}

// counted reports whether an earlier attempt of the same account waits.
func (m *fairnessModel) counted(w admitter.Arrive) bool {
	for _, e := range m.waiting {
		if account(e) == account(w) {
			return e.Attempt != w.Attempt
		}
	}
	return false
}

// endIntervals forgets the lead of pairs of which one does not wait any more, and the
// accounts of classes in which nothing waits.
func (m *fairnessModel) endIntervals() {
	waits, classes := map[admitter.Arrive]bool{}, map[admitter.Arrive]bool{}
	for _, w := range m.waiting {
		waits[account(w)] = true
		classes[admitter.Arrive{Priority: w.Priority, Nested: w.Nested}] = true
	}
	for pair := range m.lead {
		if !waits[pair[0]] || !waits[pair[1]] {
			delete(m.lead, pair)
		}
	}
	for served := range m.ranBesideWaiting {
		if !classes[admitter.Arrive{Priority: served.Priority, Nested: served.Nested}] {
			delete(m.ranBesideWaiting, served)
		}
	}
	holders := waits
	for _, e := range m.running {
		holders[account(e)] = true
		if classes[admitter.Arrive{Priority: e.Priority, Nested: e.Nested}] {
			m.ranBesideWaiting[account(e)] = true
		}
	}
	for served := range m.ranBesideWaiting {
		holders[served] = true
	}
	if got := m.a.Status().Accounts; got > len(holders) {
		m.t.Fatalf("state for %d accounts, %d wait, run or ran while others wait", got, len(holders))
	}
}

// Guards against an account that gets more starts than another one while both wait,
// against a start out of rank order, against a free slot while an attempt waits, and
// against state that is kept for accounts that are gone. Arrivals, ends, refusals for a
// full queue and cancellations are random.
func TestFairOrder(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		m := &fairnessModel{
			server: newServer(slots, rapid.IntRange(1, 12).Draw(t, "queue"), 10), t: t,
			lead: map[[2]admitter.Arrive]int{}, ranBesideWaiting: map[admitter.Arrive]bool{},
		}
		m.onStart = m.checkStart
		for range 200 {
			switch rapid.SampledFrom([]int{0, 0, 0, 1, 1, 2, 3}).Draw(t, "event") {
			case 0:
				m.arrive(admitter.Arrive{
					Account:  rapid.SampledFrom([]uint32{0, 1, 1, 1, 1, 2, 3, 4}).Draw(t, "account"),
					Priority: rapid.SampledFrom([]int{0, 1, 1, 1}).Draw(t, "priority"),
					Nested:   rapid.SampledFrom([]bool{false, false, false, true}).Draw(t, "nested"),
				})
			case 1:
				if len(m.running) > 0 {
					m.end(rapid.IntRange(0, len(m.running)-1).Draw(t, "ended"))
				}
			case 2:
				if len(m.waiting) > 0 {
					m.step(admitter.Cancel{Attempt: m.waiting[rapid.IntRange(0, len(m.waiting)-1).Draw(t, "cancelled")].Attempt})
				}
			case 3:
				m.now += 20
				m.step(admitter.Tick{})
			}
			m.endIntervals()
			if len(m.running) < slots && len(m.waiting) > 0 {
				t.Fatalf("%d attempts wait while %d of %d slots are used", len(m.waiting), len(m.running), slots)
			}
		}
		for len(m.running) > 0 {
			m.end(0)
		}
		if got := m.a.Status().Accounts; got != 0 {
			t.Fatalf("state for %d accounts, none waits or runs", got)
		}
	})
}
