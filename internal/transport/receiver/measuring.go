package receiver

import (
	"sync"

	"github.com/magnoliaknot/magnoliaknot/internal/state/limiter"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Measuring is the load-measuring budget shared by the parts of a daemon. It is
// safe for concurrent use.
type Measuring struct {
	clock timer.Clock

	mu      sync.Mutex
	limiter *limiter.Limiter
	budget  limiter.Budget
}

// NewMeasuring returns an empty budget; SetBudget gives it its rates.
func NewMeasuring(clock timer.Clock) *Measuring {
	return &Measuring{clock: clock, limiter: limiter.New(limiter.Budget{}, clock.Now())}
}

// SetBudget changes the budget at once.
func (m *Measuring) SetBudget(budget limiter.Budget) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if budget != m.budget {
		m.budget = budget
		m.limiter.SetBudget(m.clock.Now(), budget)
	}
}

// TakeProbe takes a probe with its answer.
func (m *Measuring) TakeProbe(bytes int) bool { return m.take(limiter.ProbeSent, 2, bytes) }

// TakeAnswer takes a received probe with its answer.
func (m *Measuring) TakeAnswer(bytes int) bool { return m.take(limiter.ProbeAnswered, 2, bytes) }

// TakeField takes a load field of an answer; it travels in an existing message.
func (m *Measuring) TakeField(bytes int) bool { return m.take(limiter.LoadField, 0, bytes) }

// Counters returns the totals of one kind.
func (m *Measuring) Counters(kind limiter.Kind) limiter.Counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limiter.Counters(kind)
}

func (m *Measuring) take(kind limiter.Kind, messages int64, bytes int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limiter.Take(m.clock.Now(), kind, messages, int64(bytes))
}
