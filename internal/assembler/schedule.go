package assembler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/state/verifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// schedule is the Schedule of a daemon. It is safe for concurrent use.
type schedule struct {
	clock    timer.Clock
	place    func() verifier.Place
	position func() router.Position
	// wake ends a wait, since the next read may be due earlier.
	wake chan struct{}

	mu    sync.Mutex
	state *verifier.Verifier
}

func newSchedule(clock timer.Clock, place func() verifier.Place, position func() router.Position) *schedule {
	return &schedule{
		clock: clock, place: place, position: position, wake: make(chan struct{}, 1),
		state: verifier.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
}

// Wait implements Schedule.
func (s *schedule) Wait(ctx context.Context) (catchUp bool) {
	for ctx.Err() == nil {
		place := s.place()
		s.mu.Lock()
		now := s.clock.Now()
		delay, catchUp := s.state.Next(place)-now, s.state.Demanded(now)
		s.mu.Unlock()
		if delay <= 0 {
			countRead(catchUp)
			return catchUp
		}
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-time.After(delay.Duration()):
		}
	}
	return false
}

func countRead(catchUp bool) {
	reason := "turn"
	if catchUp {
		reason = "catch_up"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("magnoliaknot_store_reads_total{reason=%q}", reason)).Inc()
}

// Position implements Schedule.
func (s *schedule) Position() router.Position { return s.position() }

// Succeed implements Schedule.
func (s *schedule) Succeed(age timer.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Succeed(s.clock.Now() - age)
}

// Fail implements Schedule.
func (s *schedule) Fail() {
	metrics.GetOrCreateCounter("magnoliaknot_store_read_failures_total").Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Fail(s.clock.Now())
}

// evidenceSeconds returns the age of the latest evidence, or that of the clock without any.
func (s *schedule) evidenceSeconds() float64 {
	age, _ := s.evidence()
	return age.Duration().Seconds()
}

// confirm records evidence of a member.
func (s *schedule) confirm(age timer.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Confirm(s.clock.Now() - age)
}

// demand makes the daemon read soon: a member has a newer configuration and cannot be asked
// for it.
func (s *schedule) demand() {
	s.mu.Lock()
	s.state.Demand(s.clock.Now())
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// satisfy ends a demand.
func (s *schedule) satisfy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Satisfy()
}

// evidence returns the age of the latest evidence, or false without any.
func (s *schedule) evidence() (timer.Millis, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, known := s.state.Verified()
	return s.clock.Now() - at, known
}
