package retrier

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

const (
	// unitsPerToken is one unitsPerToken in stored units, so that a percentage of a request and
	// a millisecond of the minimum rate are whole numbers.
	unitsPerToken = 1000
	// defaultBurst bounds the retries after a quiet time. A bigger burst would
	// add to an overload for longer.
	defaultBurst = 10
)

// BudgetConfig says how a Budget fills. A percentage of zero or less allows
// nothing.
type BudgetConfig struct {
	// Percent is the share of requests that earns tokens.
	Percent int
	// Burst bounds the tokens kept. Zero means 10.
	Burst int
}

// Budget is a token bucket of one service for retries, hedges or queries. It
// fills with a percentage of the requests, but with no less than one token a
// second. It never borrows.
type Budget struct {
	percent  int64
	capacity int64
	tokens   int64
	// credited is the part of what requests have earned that is not yet set off
	// against the minimum, at most one second's worth.
	credited int64
	lastFill timer.Millis
}

// NewBudget returns a budget with one token.
func NewBudget(config BudgetConfig, now timer.Millis) *Budget {
	b := &Budget{lastFill: now}
	b.Configure(now, config)
	b.tokens = min(unitsPerToken, b.capacity)
	return b
}

// Configure changes the budget at once. No tokens are added.
func (b *Budget) Configure(now timer.Millis, config BudgetConfig) {
	b.fill(now)
	if config.Burst <= 0 {
		config.Burst = defaultBurst
	}
	b.percent, b.capacity = 0, 0
	if config.Percent > 0 {
		b.percent, b.capacity = int64(config.Percent), int64(config.Burst)*unitsPerToken
	}
	b.tokens = min(b.tokens, b.capacity)
}

// RecordRequest counts a request. Call it once for each request of the service.
func (b *Budget) RecordRequest(now timer.Millis) {
	b.fill(now)
	earned := b.percent * unitsPerToken / 100
	b.tokens = min(b.capacity, b.tokens+earned)
	b.credited = min(unitsPerToken, b.credited+earned)
}

// Take takes one token and reports whether there was one.
func (b *Budget) Take(now timer.Millis) bool {
	b.fill(now)
	if b.tokens < unitsPerToken {
		return false
	}
	b.tokens -= unitsPerToken
	return true
}

// fill adds the minimum of one token a second, less what requests earned. Time
// that jumps back adds nothing.
func (b *Budget) fill(now timer.Millis) {
	if now <= b.lastFill {
		return
	}
	elapsed := now - b.lastFill
	b.lastFill = now
	if elapsed < 0 || elapsed > timer.Millis(b.capacity) {
		elapsed = timer.Millis(b.capacity)
	}
	minimum := int64(elapsed) // One token a second is one unit a millisecond.
	setOff := min(b.credited, minimum)
	b.credited -= setOff
	b.tokens = min(b.capacity, b.tokens+minimum-setOff)
}
