package estimator

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

const (
	// QueuePerSlot bounds the queue of an instance. Waiting longer than four runs
	// leaves no time for the request itself.
	QueuePerSlot = 4
	// ColdRateMargin is the rate in use, in parts of the one that a cold backend server
	// is said to bear. The platform bounds it at 1.5 times the rate and 5 more; the
	// rest is for health checks and for starts that arrive in the next second.
	ColdRateMargin = 1.15
	// TooSlowRetryAfter is what callers of a slow VM are told: about the time in which a
	// shared host changes its speed.
	TooSlowRetryAfter = 250 * timer.Millis(1)
	// waitShare is the part of the time left that an attempt may wait for its start.
	waitShare = 2
	// hopelessFactor is how much longer than the time left a run has to be expected
	// to take for it not to be started; half of the runs are shorter than expected.
	hopelessFactor = 1.2
	// slowedFactor is how much slower than assumed a VM has to be for an attempt
	// to be sent back; asking another daemon costs a round trip.
	slowedFactor = 2
)

// MissesDeadline reports whether a run is not expected to end while its caller waits. It
// would hold a slot and its caller for nothing. It answers for VMs that have turned
// slow and for fleets without a free slot.
func MissesDeadline(expected, left timer.Millis) bool {
	return float64(expected) > hopelessFactor*float64(left)
}

// MaxWait bounds the wait for a start by what the sender knows: an attempt that
// starts after the target has passed earns little, and one that starts late in its
// time ends at the deadline. A target of zero is none.
func MaxWait(target, remaining timer.Millis) timer.Millis {
	wait := remaining / waitShare
	if target > 0 {
		wait = min(wait, target)
	}
	return max(1, wait)
}

// MaxWaitForTarget bounds the wait for a start by what admission knows. A run that is expected to end after the
// target is worth little, so an attempt waits only while it may end before it; one
// that cannot starts at once or not at all. It answers for fleets whose queues are
// longer than a run: without it every caller would be served late.
func MaxWaitForTarget(maxWait, targetLeft, expected timer.Millis) timer.Millis {
	if targetLeft <= 0 || expected <= 0 {
		return maxWait
	}
	return max(1, min(maxWait, targetLeft-expected))
}

// Slowed reports whether a VM is much slower than the sender of an attempt assumed,
// both in percent of its usual time. A run keeps the speed of its start, so that
// another instance is worth a round trip. It answers for hosts that other work slows
// down for a second.
func Slowed(assumed, known int32) bool {
	return assumed > 0 && known >= slowedFactor*assumed
}
