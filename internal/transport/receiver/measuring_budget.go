package receiver

import (
	"sync"

	"github.com/magnoliaknot/magnoliaknot/internal/state/limiter"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// MeasuringBudget is the load-measuring budget shared by the components of a daemon.
// It is safe for concurrent use.
type MeasuringBudget struct {
	clock timer.Clock

	mu      sync.Mutex
	limiter *limiter.Limiter
	budget  limiter.Budget
}

// NewMeasuringBudget returns an empty budget; SetBudget sets its rates.
func NewMeasuringBudget(clock timer.Clock) *MeasuringBudget {
	return &MeasuringBudget{clock: clock, limiter: limiter.New(limiter.Budget{}, clock.Now())}
}

// SetBudget changes the budget immediately.
func (m *MeasuringBudget) SetBudget(budget limiter.Budget) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if budget != m.budget {
		m.budget = budget
		m.limiter.SetBudget(m.clock.Now(), budget)
	}
}

// TakeProbe takes a sent probe and its answer, if the budget allows them.
func (m *MeasuringBudget) TakeProbe(bytes int) bool { return m.take(limiter.ProbeSent, 2, bytes) }

// TakeAnswer takes a received probe and its answer, if the budget allows them.
func (m *MeasuringBudget) TakeAnswer(bytes int) bool { return m.take(limiter.ProbeAnswered, 2, bytes) }

// TakeLoadField takes a load field, which is sent in an existing message, if the
// budget allows it.
func (m *MeasuringBudget) TakeLoadField(bytes int) bool { return m.take(limiter.LoadField, 0, bytes) }

// Counters returns the totals of one kind.
func (m *MeasuringBudget) Counters(kind limiter.Kind) limiter.Counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limiter.Counters(kind)
}

func (m *MeasuringBudget) take(kind limiter.Kind, messages int64, bytes int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limiter.Take(m.clock.Now(), kind, messages, int64(bytes))
}
