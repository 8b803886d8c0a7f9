// Package exposer decides at ingress which first attempts go to the target version of a
// roll-out, and stops sending to it when its answers fail.
//
// # Usage
//
// There is one Exposer for a service and order:
//
//	e := exposer.New()
//	marked := e.Take(rollout.Percent) // For each first attempt while the order runs.
//	...
//	e.Observe(failed) // At the end of each marked attempt.
//
// Take allows at most the given share of the attempts that this daemon has counted since
// the share took effect. Each daemon counts only its own attempts, so the sum over all
// daemons is within the share, too, whatever messages are lost and whichever daemons are
// disconnected or paused.
//
// An Exposer is not safe for concurrent use.
package exposer

import "math/bits"

const (
	// haltWindow is the number of latest marked attempts that are considered, and
	// haltFailures the number of failures among them from which no more are sent.
	haltWindow   = 8
	haltFailures = 4
	// attempt is the credit for one attempt. Shares are whole parts of it, rounded down, so
	// that rounding errors never add up to an attempt.
	attempt    = 1_000_000
	perPercent = attempt / 100
)

// Exposer holds the credit of one daemon for one order and the results of its latest
// marked attempts.
type Exposer struct {
	percent float64
	// credit is below attempt between calls of Take.
	credit int
	// results holds the results of the last haltWindow attempts as bits, the latest one
	// lowest; 1 is a failure.
	results uint8
	halted  bool
}

// New returns an Exposer without credit.
func New() *Exposer { return &Exposer{} }

// Take counts a first attempt and reports whether it goes to the target version, given the
// share in percent that is in force. A change of the share discards the credit.
func (e *Exposer) Take(percent float64) bool {
	if e.halted || !(percent > 0) { // Also false for a share that is not a number.
		return false
	}
	if percent != e.percent {
		e.percent, e.credit = percent, 0
	}
	e.credit += int(min(percent, 100) * perPercent)
	if e.credit < attempt {
		return false
	}
	e.credit -= attempt
	return true
}

// Observe records the result of a marked attempt.
func (e *Exposer) Observe(failed bool) {
	e.results <<= 1
	if failed {
		e.results |= 1
	}
	if bits.OnesCount8(e.results&(1<<haltWindow-1)) >= haltFailures {
		e.halted = true
	}
}

// Halted reports whether too many marked attempts failed. It remains so until Reset.
func (e *Exposer) Halted() bool { return e.halted }

// Reset prepares the Exposer for another order.
func (e *Exposer) Reset() { *e = Exposer{} }
