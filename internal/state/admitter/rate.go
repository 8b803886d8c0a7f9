package admitter

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

// pace bounds the starts in any span of one second.
type pace struct {
	perSecond int
	// starts holds the starts of the last second, the oldest first. They are
	// noted without a bound too, since the server may turn cold at any moment.
	starts []timer.Millis
}

func (p *pace) set(now timer.Millis, e StartRateLimit) {
	p.perSecond = e.PerSecond
	if !e.Exhausted {
		return
	}
	p.starts = p.starts[:0]
	for range e.PerSecond {
		p.starts = append(p.starts, now)
	}
}

func (p *pace) started(now timer.Millis) {
	p.trim(now)
	p.starts = append(p.starts, now)
}

// trim drops the starts that are more than a second old. A start exactly one
// second ago may still share a second with one now.
func (p *pace) trim(now timer.Millis) {
	old := 0
	for old < len(p.starts) && now-p.starts[old] > timer.Second {
		old++
	}
	p.starts = append(p.starts[:0], p.starts[old:]...)
}

func (p *pace) allows(now timer.Millis) bool {
	if p.perSecond <= 0 {
		return true
	}
	p.trim(now)
	return len(p.starts) < p.perSecond
}

// wait returns how long the attempt at a place in the queue waits for the pace.
func (p *pace) wait(now timer.Millis, place int) timer.Millis {
	if p.allows(now) && place <= p.perSecond-len(p.starts) || p.perSecond <= 0 {
		return 0
	}
	return timer.Millis(place) * timer.Second / timer.Millis(p.perSecond)
}
