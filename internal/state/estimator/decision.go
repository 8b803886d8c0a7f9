package estimator

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

const (
	// QueuePerSlot bounds the queue of an instance. A wait of more than four runs
	// leaves no time for the request itself.
	QueuePerSlot = 4
	// ColdRateMargin is the start rate in use, as a multiple of the rate that a cold
	// backend server is specified to handle. The platform's bound is 1.5 times that
	// rate plus 5; the rest is left for health checks and for starts that arrive in
	// the next second.
	ColdRateMargin = 1.15
	// TooSlowRetryAfter is the retry delay returned to callers of a slow VM: about
	// the time after which the speed of a shared host changes.
	TooSlowRetryAfter = 250 * timer.Millis(1)
	// waitDivisor divides the remaining time into the part that an attempt may wait
	// for its start.
	waitDivisor = 2
	// missFactor is the ratio of expected run time to remaining time above which a
	// run is not started. It is above one, since half of the runs are shorter than
	// expected.
	missFactor = 1.2
	// slowedFactor is the ratio of actual to assumed slowdown from which an attempt
	// is sent back; asking another daemon costs a round trip.
	slowedFactor = 2
)

// MissesDeadline reports whether a run is expected to end after its caller has
// stopped waiting. Such a run would occupy a slot and delay its caller without use.
// The check is for VMs that have become slow and for fleets without a free slot.
func MissesDeadline(expected, left timer.Millis) bool {
	return float64(expected) > missFactor*float64(left)
}

// MaxWait bounds the wait for a start by what the sender knows: an attempt that
// starts after the target latency has passed is of little value, and one that
// starts late in its remaining time runs into the deadline. A target of zero means
// that there is none.
func MaxWait(target, remaining timer.Millis) timer.Millis {
	wait := remaining / waitDivisor
	if target > 0 {
		wait = min(wait, target)
	}
	return max(1, wait)
}

// MaxWaitForTarget bounds the wait for a start by what admission knows. A run that
// is expected to end after the target latency is of little value, so an attempt
// waits only while it may still end before it; one that cannot starts at once or
// not at all. The bound is for fleets whose queues are longer than a run: without
// it, every caller would be served late.
func MaxWaitForTarget(maxWait, targetLeft, expected timer.Millis) timer.Millis {
	if targetLeft <= 0 || expected <= 0 {
		return maxWait
	}
	return max(1, min(maxWait, targetLeft-expected))
}

// Slowed reports whether a VM is much slower than the sender of an attempt assumed.
// Both values are run times in percent of the usual one. A run keeps the speed that
// the VM has at its start, so trying another instance is worth a round trip. The
// check is for hosts that other work slows down for a second.
func Slowed(assumed, known int32) bool {
	return assumed > 0 && known >= slowedFactor*assumed
}
