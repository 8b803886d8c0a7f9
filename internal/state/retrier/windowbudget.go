package retrier

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

// bucketsPerWindow is the number of buckets in which a window is counted.
const bucketsPerWindow = 20

// WindowBudgetConfig limits the repeats in a sliding window.
type WindowBudgetConfig struct {
	// Span is the length of the window.
	Span timer.Millis
	// Ratio is the share of the requests in a window that may be repeated.
	Ratio float64
	// Extra is the number of repeats allowed in addition.
	Extra float64
}

// WindowBudget limits the repeats, that is, retries and hedges, of one service in a
// sliding window. After creation Extra grows from zero over one window, since
// repeats of a previous daemon may fall into the same window. It is not safe for concurrent use.
type WindowBudget struct {
	config  WindowBudgetConfig
	started timer.Millis
	// buckets are a ring; the bucket with number n is at n modulo the length.
	buckets [bucketsPerWindow]windowBucket
	newest  int64 // Number of the newest bucket.
	totals  windowBucket
}

type windowBucket struct{ requests, repeats int }

// NewWindowBudget returns a budget without requests.
func NewWindowBudget(config WindowBudgetConfig, now timer.Millis) *WindowBudget {
	w := &WindowBudget{config: config, started: now}
	w.newest = w.bucketNumber(now)
	return w
}

// Configure changes the limits and keeps the counts. A config with another Span
// is ignored.
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

// Take reports whether a repeat is allowed, and counts it if so.
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

// advance drops the buckets that have left the window. If the clock jumps back,
// nothing is dropped.
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
