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

// noise yields short pauses of the whole server, as neighbours on a shared host
// cause them. Times between pauses are exponential, lengths uniform.
type noise struct {
	random *rand.Rand
	every  timer.Millis
	most   timer.Millis
	next   timer.Millis
	until  timer.Millis
}

// pausedUntil returns the end of the pause at a time, or zero.
func (n *noise) pausedUntil(now timer.Millis) timer.Millis {
	if n.every <= 0 || n.most <= 0 {
		return 0
	}
	if n.next == 0 {
		n.next = now + n.gap()
	}
	for n.next <= now {
		n.until = n.next + 1 + timer.Millis(n.random.Int64N(int64(n.most)))
		n.next = n.until + n.gap()
	}
	if now >= n.until {
		return 0
	}
	return n.until
}

func (n *noise) gap() timer.Millis {
	return 1 + timer.Millis(n.random.ExpFloat64()*float64(n.every))
}
