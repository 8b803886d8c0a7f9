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

func (p *startRate) set(now timer.Millis, e StartRateLimit) {
	p.perSecond = e.PerSecond
	if !e.Exhausted {
		return
	}
	p.starts = p.starts[:0]
	for range e.PerSecond {
		p.starts = append(p.starts, now)
	}
}

func (p *startRate) started(now timer.Millis) {
	p.trim(now)
	p.starts = append(p.starts, now)
}

// trim drops the starts that are more than a second old. A start exactly one
// second old still counts, since the bound includes both ends of the second.
func (p *startRate) trim(now timer.Millis) {
	old := 0
	for old < len(p.starts) && now-p.starts[old] > timer.Second {
		old++
	}
	p.starts = append(p.starts[:0], p.starts[old:]...)
}

func (p *startRate) allows(now timer.Millis) bool {
	if p.perSecond <= 0 {
		return true
	}
	p.trim(now)
	return len(p.starts) < p.perSecond
}

// wait estimates how long the attempt at a position in the queue waits because of
// the rate.
func (p *startRate) wait(now timer.Millis, position int) timer.Millis {
	if p.allows(now) && position <= p.perSecond-len(p.starts) || p.perSecond <= 0 {
		return 0
	}
	return timer.Millis(position) * timer.Second / timer.Millis(p.perSecond)
}
