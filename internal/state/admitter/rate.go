package admitter

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

// startRate bounds the starts within any second.
type startRate struct {
	perSecond int
	// starts holds the times of the starts within the last second, oldest first.
	// They are recorded without a bound too, since the server may turn cold at any
	// time.
	starts []timer.Millis
}

func (r *startRate) set(now timer.Millis, e StartRateLimit) {
	r.perSecond = e.PerSecond
	if !e.Exhausted {
		return
	}
	r.starts = r.starts[:0]
	for range e.PerSecond {
		r.starts = append(r.starts, now)
	}
}

func (r *startRate) started(now timer.Millis) {
	r.trim(now)
	r.starts = append(r.starts, now)
}

// trim drops the starts that are more than a second old. A start exactly one
// second old still counts, since the bound includes both ends of the second.
func (r *startRate) trim(now timer.Millis) {
	old := 0
	for old < len(r.starts) && now-r.starts[old] > timer.Second {
		old++
	}
	r.starts = append(r.starts[:0], r.starts[old:]...)
}

// recent returns the number of starts within the last second.
func (r *startRate) recent(now timer.Millis) int {
	r.trim(now)
	return len(r.starts)
}

func (r *startRate) allows(now timer.Millis) bool {
	if r.perSecond <= 0 {
		return true
	}
	r.trim(now)
	return len(r.starts) < r.perSecond
}

// wait estimates how long the attempt at a position in the queue waits because of
// the rate.
func (r *startRate) wait(now timer.Millis, position int) timer.Millis {
	if r.allows(now) && position <= r.perSecond-len(r.starts) || r.perSecond <= 0 {
		return 0
	}
	return timer.Millis(position) * timer.Second / timer.Millis(r.perSecond)
}
