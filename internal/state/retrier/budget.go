package retrier

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

const (
	// unitsPerToken is the resolution of the token counts. With it a percentage
	// of a request and a millisecond of the minimum rate are whole numbers.
	unitsPerToken = 1000
	// defaultBurst bounds the retries after a period with few retries. A larger
	// burst would prolong an overload.
	defaultBurst = 10
)

// BudgetConfig sets the refill and the capacity of a Budget.
type BudgetConfig struct {
	// Percent is the number of tokens added per 100 requests. Zero or less
	// allows nothing.
	Percent int
	// Burst is the capacity in tokens. Zero or less means 10.
	Burst int
}

// Budget is a token bucket for the retries, hedges or queries of one service.
// It is refilled by a percentage of the requests, but by at least one token a
// second. The number of tokens is never negative.
type Budget struct {
	percent  int64
	capacity int64
	tokens   int64
	// credited is the part of the refill by requests that is not yet deducted
	// from the minimum refill, at most that of one second.
	credited int64
	lastFill timer.Millis
}

// NewBudget returns a budget that holds one token, or none if it allows nothing.
func NewBudget(config BudgetConfig, now timer.Millis) *Budget {
	b := &Budget{lastFill: now}
	b.Configure(now, config)
	b.tokens = min(unitsPerToken, b.capacity)
	return b
}

// Configure applies a new configuration immediately. It adds no tokens.
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

// fill adds the minimum of one token a second, less the refill by requests. A
// clock that jumps back adds nothing.
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
