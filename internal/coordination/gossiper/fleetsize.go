package gossiper

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

// fleetSizeWindow is the time over which the sizes that members name are compared. A
// window holds some hundred of them.
const fleetSizeWindow = 5 * timer.Second

// fleetSize is the largest size of the fleet that members have named in the current
// and the previous window.
type fleetSize struct {
	began             timer.Millis
	current, previous int
}

func (f *fleetSize) observe(now timer.Millis, size int) {
	f.advance(now)
	f.current = max(f.current, size)
}

func (f *fleetSize) largest(now timer.Millis) int {
	f.advance(now)
	return max(f.current, f.previous)
}

func (f *fleetSize) advance(now timer.Millis) {
	switch passed := now - f.began; {
	case passed >= 2*fleetSizeWindow:
		f.began, f.current, f.previous = now, 0, 0
	case passed >= fleetSizeWindow:
		f.began, f.current, f.previous = f.began+fleetSizeWindow, 0, f.current
	}
}
