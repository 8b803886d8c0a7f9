package backendserver

import (
	"strings"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/answer"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// A million ids take about 100 MB. Runs of further ids count only in the total
// and the overflow.
const maxCountedIDs = 1_000_000

// RunCounter counts how often each request id and idempotency key ran.
type RunCounter struct {
	requests map[answer.RequestID]int
	keys     map[identifier.IdempotencyKey]int
	total    uint64
	overflow uint64
}

// Runs is the response body of GET /runs. Requests and Keys hold the ids that ran
// more than once or, with the parameter all, every id.
type Runs struct {
	Instance   identifier.InstanceID             `json:"instance"`
	TotalRuns  uint64                            `json:"total_runs"`
	Overflow   uint64                            `json:"overflow"`
	RequestIDs int                               `json:"request_ids"`
	KeyCount   int                               `json:"key_count"`
	Requests   map[answer.RequestID]int          `json:"requests"`
	Keys       map[identifier.IdempotencyKey]int `json:"keys"`
	Peaks
}

// NewRunCounter returns a run counter without runs.
func NewRunCounter() *RunCounter {
	return &RunCounter{
		requests: make(map[answer.RequestID]int),
		keys:     make(map[identifier.IdempotencyKey]int),
	}
}

// Add counts one run. An empty id or key is not counted.
func (t *RunCounter) Add(request answer.RequestID, key identifier.IdempotencyKey) {
	t.total++
	increment(t.requests, request, &t.overflow)
	increment(t.keys, key, &t.overflow)
}

func increment[K ~string](counts map[K]int, id K, overflow *uint64) {
	if id == "" {
		return
	}
	if _, known := counts[id]; !known && len(counts) >= maxCountedIDs {
		*overflow++
		return
	}
	counts[id]++
}

// Count returns how often an id ran as a request id and as a key.
func (t *RunCounter) Count(id string) (requests, keys int) {
	return t.requests[answer.RequestID(id)], t.keys[identifier.IdempotencyKey(id)]
}

// Runs lists the ids that ran at least minRuns times. Request ids without the
// prefix are left out.
func (t *RunCounter) Runs(minRuns int, prefix string) Runs {
	runs := Runs{
		TotalRuns: t.total, Overflow: t.overflow, RequestIDs: len(t.requests), KeyCount: len(t.keys),
		Requests: make(map[answer.RequestID]int), Keys: make(map[identifier.IdempotencyKey]int),
	}
	for id, count := range t.requests {
		if count >= minRuns && strings.HasPrefix(string(id), prefix) {
			runs.Requests[id] = count
		}
	}
	for key, count := range t.keys {
		if count >= minRuns {
			runs.Keys[key] = count
		}
	}
	return runs
}
