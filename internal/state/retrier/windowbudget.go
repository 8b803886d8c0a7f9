package retrier

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

// bucketsPerWindow is the number of parts that a window is counted in.
const bucketsPerWindow = 20

// WindowBudgetConfig bounds repeats in a sliding window.
type WindowBudgetConfig struct {
	// Span is the length of the window.
	Span timer.Millis
	// Ratio is the part of a window's requests that may be repeated.
	Ratio float64
	// Extra is the number of repeats allowed beside.
	Extra float64
}

// WindowBudget is a budget for the repeats of one service in a sliding window. A new
// one counts as spent: repeats of a predecessor may lie in the same window, so
// the extra grows with the time since the start. It is not safe for concurrent
// use.
type WindowBudget struct {
	config  WindowBudgetConfig
	started timer.Millis
	// buckets are a ring; part i covers the times with number i modulo the length.
	buckets [bucketsPerWindow]windowBucket
	newest  int64 // Of the newest part.
	totals  windowBucket
}

type windowBucket struct{ requests, repeats int }

// NewWindowBudget returns a window without requests.
func NewWindowBudget(config WindowBudgetConfig, now timer.Millis) *WindowBudget {
	w := &WindowBudget{config: config, started: now}
	w.newest = w.bucketNumber(now)
	return w
}

// Configure changes the bounds and keeps the counts.
func (w *WindowBudget) Configure(config WindowBudgetConfig) {
	if config.Span == w.config.Span {
		w.config = config
	}
}

// RecordRequest counts a request of the service.
func (w *WindowBudget) RecordRequest(now timer.Millis) {
	w.advance(now)
	w.buckets[w.newest%bucketsPerWindow].requests++
	w.totals.requests++
}

// Take counts a repeat and reports whether it is allowed.
func (w *WindowBudget) Take(now timer.Millis) bool {
	w.advance(now)
	extra := w.config.Extra * min(1, float64(now-w.started)/float64(w.config.Span))
	if float64(w.totals.repeats+1) > w.config.Ratio*float64(w.totals.requests)+extra {
		return false
	}
	w.buckets[w.newest%bucketsPerWindow].repeats++
	w.totals.repeats++
	return true
}

func (w *WindowBudget) bucketNumber(now timer.Millis) int64 {
	return int64(now) / max(1, int64(w.config.Span)/bucketsPerWindow)
}

// advance drops the parts that have left the window. Time that jumps back counts
// as standing still.
func (w *WindowBudget) advance(now timer.Millis) {
	number := w.bucketNumber(now)
	if number-w.newest >= bucketsPerWindow {
		w.buckets, w.totals, w.newest = [bucketsPerWindow]windowBucket{}, windowBucket{}, number
		return
	}
	for w.newest < number {
		w.newest++
		bucket := &w.buckets[w.newest%bucketsPerWindow]
		w.totals.requests -= bucket.requests
		w.totals.repeats -= bucket.repeats
		*bucket = windowBucket{}
	}
}
