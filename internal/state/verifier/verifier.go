// Package verifier decides when a daemon reads the platform's store.
//
// Daemons read the store for each other. Each knows how old the latest evidence is that
// its configuration is the newest one: its own read of the store, or the word of a member
// that has evidence for the same position. The first daemon by rank reads all the time,
// and its evidence spreads with the reports of members. Where evidence does not arrive,
// whatever the reason, the daemons concerned begin to read one after the other, in the
// order of their ranks, until evidence arrives again (compare the Trickle algorithm,
// RFC 6206, which suppresses a transmission while others are heard).
//
// The cost does not grow with the number of daemons that hear each other: evidence of one
// suppresses the reads of all, and pauses after failures grow with the number of candidates.
//
// # Usage
//
//	v := verifier.New(random)
//	v.Confirm(now - age)              // evidence of a member
//	at := v.Next(place)               // when to read next
//	all := v.Demanded(now)            // whether the store is known to have more
//	v.Succeed(now - age) or v.Fail(now)
//
// A Verifier is not safe for concurrent use; its owner serialises calls.
package verifier

import (
	"math/rand/v2"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// standInDelay is the age of the evidence from which other daemons than the first
	// read. While the first one reads, evidence is younger: it polls for 700 ms and
	// reports every 400 ms.
	standInDelay = 1200 * timer.Millis(1)
	// rankDelay is the time between the reads of two neighbouring ranks, in which the
	// evidence of the former reaches the latter.
	rankDelay = 80 * timer.Millis(1)
	// minPause and maxPause bound the pause after a failed read.
	minPause = 250 * timer.Millis(1)
	maxPause = 1500 * timer.Millis(1)
	// pausePerCandidate bounds the calls of all daemons together during an outage.
	pausePerCandidate = 200 * timer.Millis(1)
	// maxDemandDelay bounds the random delay of a read on demand. The first daemons to
	// read may save the others theirs.
	maxDemandDelay = 200 * timer.Millis(1)
)

// Place is the place of a daemon among those that may read for each other: itself and the
// members that it hears.
type Place struct {
	// Rank is zero for the daemon that reads all the time.
	Rank       int
	Candidates int
}

// Verifier is the state of one daemon.
type Verifier struct {
	random *rand.Rand
	// verified is the time of the latest evidence.
	verified timer.Millis
	// pause is the time for which to wait after a failure at failedAt, stretched by
	// jitter; zero if the last read succeeded.
	pause    timer.Millis
	failedAt timer.Millis
	jitter   float64
	// demandedAt is the time of a read on demand, zero without a demand.
	demandedAt timer.Millis
}

// New returns the state of a daemon without evidence, which reads as soon as it may.
func New(random *rand.Rand) *Verifier { return &Verifier{random: random} }

// Verified returns the time of the latest evidence, or false if there is none.
func (v *Verifier) Verified() (timer.Millis, bool) { return v.verified, v.verified > 0 }

// Confirm records evidence that the configuration was the newest one at a time.
func (v *Verifier) Confirm(at timer.Millis) { v.verified = max(v.verified, at) }

// Demand makes the daemon read soon, whatever its rank: a member has a newer configuration
// and cannot be asked for it.
func (v *Verifier) Demand(now timer.Millis) {
	if v.demandedAt == 0 {
		v.demandedAt = now + timer.Millis(v.random.Int64N(int64(maxDemandDelay)))
	}
}

// Satisfy ends a demand, because a newer configuration has arrived.
func (v *Verifier) Satisfy() { v.demandedAt = 0 }

// Succeed records a read whose answer shows what was the newest at a time.
func (v *Verifier) Succeed(at timer.Millis) {
	v.Confirm(at)
	v.Satisfy()
	v.pause = 0
}

// Fail records a read without an answer.
func (v *Verifier) Fail(now timer.Millis) {
	v.failedAt, v.jitter = now, 1+v.random.Float64()
	v.pause = min(max(2*v.pause, minPause), maxPause)
}

// Demanded reports whether a read at a time is on demand, so that the store has more than
// this daemon.
func (v *Verifier) Demanded(now timer.Millis) bool { return v.demandedAt > 0 && v.demandedAt <= now }

// Next returns the time of the next read.
func (v *Verifier) Next(place Place) timer.Millis {
	turn := v.verified
	if place.Rank > 0 {
		turn += standInDelay + timer.Millis(place.Rank)*rankDelay
	}
	turn = max(turn, v.pauseEnd(timer.Millis(place.Candidates)*pausePerCandidate))
	if v.demandedAt == 0 {
		return turn
	}
	// No other daemon reads for this one on demand, so the pause does not depend on them.
	return min(turn, max(v.demandedAt, v.pauseEnd(0)))
}

// pauseEnd returns the end of the pause after the last failure, zero without one.
func (v *Verifier) pauseEnd(least timer.Millis) timer.Millis {
	if v.pause == 0 {
		return 0
	}
	return v.failedAt + timer.Millis(float64(max(v.pause, least))*v.jitter)
}
