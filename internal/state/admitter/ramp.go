package admitter

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

const (
	// rampStepTime is the minimum time per step of the ramp, so that a burst of
	// short completions cannot ramp at once. A class with 20 slots and a cold
	// limit of 2 needs six steps, so at least 3 s.
	rampStepTime = 500 * timer.Millis(1)
	// failureRun is the number of failures in a row that means cold.
	failureRun = 5
	// jumpFactor and jumpRun: that many answers in a row, each that many times
	// slower than the mean, mean cold.
	jumpFactor = 5
	jumpRun    = 5
	// jumpLatency is the least latency of a jump. Below it, rounding to whole
	// milliseconds and noise of shared hosts reach five times the mean.
	jumpLatency = 10 * timer.Millis(1)
	// baseline is the number of answers after a drop that the mean needs before
	// a jump is measured against it.
	baseline = 20
	// meanWeight is the weight of a new latency in the moving mean.
	meanWeight = 1.0 / 16
)

// ramp is the limit of a cold backend server and the detection of turning cold.
type ramp struct {
	cold  bool
	limit int
	// raised means that the limit is above the configured cold limit.
	raised bool
	good   int
	since  timer.Millis
	// epoch numbers the drops. Attempts that started before a drop say nothing
	// of the backend server after it.
	epoch uint32

	mean     float64
	measured bool
	answers  int // since the last drop
	slow     int
	slowSum  timer.Millis
	failures int
}

// drop returns the limit to the cold limit at once.
func (r *ramp) drop(now timer.Millis, coldLimit int) {
	r.cold, r.raised = true, false
	r.limit = max(1, coldLimit)
	r.good, r.since = 0, now
	r.answers, r.slow, r.slowSum, r.failures = 0, 0, 0, 0
	r.epoch++
}

// observe takes the end of an attempt of the current epoch into account and
// reports whether the backend server has turned cold.
func (r *ramp) observe(result Result, latency timer.Millis) bool {
	switch result {
	case OK:
		r.failures = 0
		return r.jumped(max(0, latency))
	case TimedOut:
		// Callers choose short time-outs, so only one as long as a jump says
		// something of the backend server.
		return r.slower(latency) && r.jumped(latency)
	case Failed:
		r.failures++
		return r.failures >= failureRun
	case ConnectionRefused, Crashed:
		return true
	default:
		return false
	}
}

// slower reports whether a latency is far above a mean that is known well enough.
func (r *ramp) slower(latency timer.Millis) bool {
	return r.answers >= baseline && latency >= jumpLatency && float64(latency) >= jumpFactor*r.mean
}

// jumped updates the mean. Slow answers are kept out of it until they are
// known not to be a jump.
func (r *ramp) jumped(latency timer.Millis) bool {
	if r.slower(latency) {
		r.slow++
		r.slowSum += latency
		if r.slow < jumpRun {
			return false
		}
		r.mean = float64(r.slowSum) / float64(r.slow)
		return true
	}
	if r.slow > 0 {
		r.learn(float64(r.slowSum)/float64(r.slow), r.slow)
		r.slow, r.slowSum = 0, 0
	}
	r.learn(float64(latency), 1)
	return false
}

func (r *ramp) learn(latency float64, times int) {
	for range times {
		if !r.measured {
			r.mean, r.measured = latency, true
		}
		r.mean += (latency - r.mean) * meanWeight
		r.answers++
	}
}

// complete counts a good completion towards the next step. The ramp ends at the
// announced slots and not at the sheet's limit, which may be low for an hour.
func (r *ramp) complete(now timer.Millis, completions, slots int) {
	if !r.cold {
		return
	}
	r.good++
	if r.good < completions || now-r.since < rampStepTime {
		return
	}
	r.limit = max(r.limit+1, r.limit+r.limit/2)
	r.raised, r.good, r.since = true, 0, now
	r.cold = r.limit < slots
}
