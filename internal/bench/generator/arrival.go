package generator

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/answer"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// Via says whether a request goes through a daemon or directly to a backend
// server.
type Via string

// Paths of a request to a backend server.
const (
	Proxied Via = "proxied"
	Direct  Via = "direct"
)

// arrival is a request with its intended send time.
type arrival struct {
	at      time.Duration // intended send time since the start of the run
	request answer.RequestID
	kind    int // index in the plan
	key     identifier.IdempotencyKey
	via     Via
	target  int
}

// Schedule generates the intended send times of a run. For Poisson arrivals it
// draws exponential gaps of mean 1 and divides them by the rate of the current
// step, which is exact across steps.
type Schedule struct {
	config  Config
	random  *rand.Rand
	step    int
	at      time.Duration // current position in the run
	stepEnd time.Duration
}

// NewSchedule returns the schedule of a run.
func NewSchedule(config Config, random *rand.Rand) *Schedule {
	s := &Schedule{config: config, random: random}
	if len(config.Steps) > 0 {
		s.stepEnd = config.Steps[0].Duration
	}
	return s
}

// Next returns the next send time, or false at the end of the run.
func (s *Schedule) Next() (time.Duration, bool) {
	gap := 1.0
	if s.config.Pattern == Poisson {
		gap = s.random.ExpFloat64()
	}
	for s.step < len(s.config.Steps) {
		rate := s.config.Rate * s.config.Steps[s.step].Factor
		left := (s.stepEnd - s.at).Seconds()
		if gap < rate*left {
			s.at += time.Duration(gap / rate * float64(time.Second))
			return s.at, true
		}
		gap -= rate * left
		s.at = s.stepEnd
		s.step++
		if s.step < len(s.config.Steps) {
			s.stepEnd += s.config.Steps[s.step].Duration
		}
	}
	return 0, false
}
