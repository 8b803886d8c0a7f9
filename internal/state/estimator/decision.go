package estimator

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

const (
	// hopelessFactor is how much longer than the time left a run has to be expected
	// to take for it not to be started; half of the runs are shorter than expected.
	hopelessFactor = 1.2
	// slowedFactor is how much slower than assumed a VM has to be for an attempt
	// to be sent back; asking another daemon costs a round trip.
	slowedFactor = 2
)

// Hopeless reports whether a run is not expected to end while its caller waits. It
// would hold a slot and its caller for nothing. It answers for VMs that have turned
// slow and for fleets without a free slot.
func Hopeless(expected, left timer.Millis) bool {
	return float64(expected) > hopelessFactor*float64(left)
}

// WaitFor bounds the wait for a start. A run that is expected to end after the
// target is worth little, so an attempt waits only while it may end before it; one
// that cannot starts at once or not at all. It answers for fleets whose queues are
// longer than a run: without it every caller would be served late.
func WaitFor(maxWait, targetLeft, expected timer.Millis) timer.Millis {
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
