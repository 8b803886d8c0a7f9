package admitter

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

const (
	// minRampStep is the minimum time per step of the ramp, so that a burst of
	// short completions cannot end the ramp at once. An instance class with 20
	// slots and a cold limit of 2 needs six steps, thus at least 3 s.
	minRampStep = 500 * timer.Millis(1)
	// coldAfterFailures is the number of consecutive failures after which the
	// backend server counts as cold.
	coldAfterFailures = 5
	// A backend server counts as cold after jumpAnswers consecutive answers, each
	// of which took at least jumpFactor times the mean latency.
	jumpFactor  = 5
	jumpAnswers = 5
	// minJumpLatency is the lowest latency that counts as a jump. Below it,
	// rounding to whole milliseconds and noise on shared hosts reach five times the
	// mean.
	minJumpLatency = 10 * timer.Millis(1)
	// baselineAnswers is the number of answers needed after a reset before
	// latencies are compared with the mean.
	baselineAnswers = 20
	// meanWeight is the weight of a new latency in the moving mean.
	meanWeight = 1.0 / 16
)

// ramp holds the limit of a cold backend server and detects that the server turns
// cold.
type ramp struct {
	cold  bool
	limit int
	// raised means that the limit is above the configured cold limit.
	raised          bool
	goodCompletions int
	stepStart       timer.Millis
	// epoch counts the resets. Attempts that started before a reset are no
	// evidence of the state of the backend server after it.
	epoch uint32

	mean        float64
	measured    bool
	answers     int // since the last reset
	slowAnswers int
	slowSum     timer.Millis
	failures    int
}

// reset marks the backend server as cold and sets the limit to the cold limit.
func (r *ramp) reset(now timer.Millis, coldLimit int) {
	r.cold, r.raised = true, false
	r.limit = max(1, coldLimit)
	r.goodCompletions, r.stepStart = 0, now
	r.answers, r.slowAnswers, r.slowSum, r.failures = 0, 0, 0, 0
	r.epoch++
}

// observe records the result of an attempt of the current epoch and reports
// whether the backend server has turned cold.
func (r *ramp) observe(result Result, latency timer.Millis) bool {
	switch result {
	case OK:
		r.failures = 0
		return r.observeLatency(max(0, latency))
	case TimedOut:
		// Callers may choose short time-outs, so a time-out is evidence only if it
		// took as long as a latency jump.
		return r.isJump(latency) && r.observeLatency(latency)
	case Failed:
		r.failures++
		return r.failures >= coldAfterFailures
	case ConnectionRefused, Crashed:
		return true
	default:
		return false
	}
}

// isJump reports whether a latency is far above the mean and the mean is based on
// enough answers.
func (r *ramp) isJump(latency timer.Millis) bool {
	return r.answers >= baselineAnswers && latency >= minJumpLatency && float64(latency) >= jumpFactor*r.mean
}

// observeLatency updates the mean and reports whether the latency has jumped.
// Slow answers are left out of the mean until they are known not to be a jump.
func (r *ramp) observeLatency(latency timer.Millis) bool {
	if r.isJump(latency) {
		r.slowAnswers++
		r.slowSum += latency
		if r.slowAnswers < jumpAnswers {
			return false
		}
		r.mean = float64(r.slowSum) / float64(r.slowAnswers)
		return true
	}
	if r.slowAnswers > 0 {
		r.updateMean(float64(r.slowSum)/float64(r.slowAnswers), r.slowAnswers)
		r.slowAnswers, r.slowSum = 0, 0
	}
	r.updateMean(float64(latency), 1)
	return false
}

func (r *ramp) updateMean(latency float64, times int) {
	for range times {
		if !r.measured {
			r.mean, r.measured = latency, true
		}
		r.mean += (latency - r.mean) * meanWeight
		r.answers++
	}
}

// complete counts a good completion towards the next step of the ramp. The ramp
// ends at the announced slots, not at the sheet's limit, which may be low for only
// an hour.
func (r *ramp) complete(now timer.Millis, completions, slots int) {
	if !r.cold {
		return
	}
	r.goodCompletions++
	if r.goodCompletions < completions || now-r.stepStart < minRampStep {
		return
	}
	r.limit = max(r.limit+1, r.limit+r.limit/2)
	r.raised, r.goodCompletions, r.stepStart = true, 0, now
	r.cold = r.limit < slots
}
