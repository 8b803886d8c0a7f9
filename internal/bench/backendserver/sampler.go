package backendserver

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Check returns an error of class Invalid for an unknown distribution.
func (s ServiceTime) Check() error {
	if s.Distribution != Fixed && s.Distribution != Lognormal {
		return Invalid.New("distribution %q is not fixed or lognormal", s.Distribution)
	}
	return nil
}

// sample draws a service time and multiplies it by a factor.
func (s ServiceTime) sample(random *rand.Rand, factor float64) time.Duration {
	span := float64(s.Median)
	if s.Distribution == Lognormal {
		span *= math.Exp(random.NormFloat64() * s.Sigma)
		if s.Longest > 0 {
			span = min(span, float64(s.Longest))
		}
	}
	return time.Duration(span * factor)
}

// noise generates short pauses of the whole server, like those that other VMs on
// a shared host cause. Times between pauses are exponentially distributed, their
// lengths uniformly.
type noise struct {
	random       *rand.Rand
	meanInterval timer.Millis
	maxPause     timer.Millis
	nextPause    timer.Millis
	pauseEnd     timer.Millis
}

// pausedUntil returns the end of the current pause, or zero if there is none.
func (n *noise) pausedUntil(now timer.Millis) timer.Millis {
	if n.meanInterval <= 0 || n.maxPause <= 0 {
		return 0
	}
	if n.nextPause == 0 {
		n.nextPause = now + n.drawInterval()
	}
	for n.nextPause <= now {
		n.pauseEnd = n.nextPause + 1 + timer.Millis(n.random.Int64N(int64(n.maxPause)))
		n.nextPause = n.pauseEnd + n.drawInterval()
	}
	if now >= n.pauseEnd {
		return 0
	}
	return n.pauseEnd
}

func (n *noise) drawInterval() timer.Millis {
	return 1 + timer.Millis(n.random.ExpFloat64()*float64(n.meanInterval))
}
