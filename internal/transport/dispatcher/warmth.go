package dispatcher

import (
	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/estimator"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// warmth is what is known of a cold start. The zero value is cold.
type warmth struct {
	known bool
	until timer.Millis
	// spent says that the pace was given a spent window since the last forget.
	spent bool
}

// told takes what the backend server answered now.
func (w *warmth) told(now, coldFor timer.Millis) {
	w.known = true
	w.until = now + coldFor
}

// announced takes what the backend server said some time ago. It cannot shorten
// a cold start that is known.
func (w *warmth) announced(now, coldFor timer.Millis) {
	w.told(now, max(coldFor, w.until-now))
}

// forget makes the backend server cold until it says otherwise.
func (w *warmth) forget() { *w = warmth{} }

func (w *warmth) cold(now timer.Millis) bool { return !w.known || now < w.until }

// setPace bounds the starts while the backend server is cold. The caller holds
// the lock.
func (a *Admission) setPace(now timer.Millis) {
	pace := admitter.StartRateLimit{}
	service, found := a.config.Configuration.Snapshot().Service(a.config.Member.Service)
	if found && service.ColdPerSecond > 0 && a.warmth.cold(now) {
		pace.PerSecond = max(1, int(service.ColdPerSecond*estimator.ColdRateMargin))
		pace.Exhausted = !a.warmth.known && !a.warmth.spent
		a.warmth.spent = true
	}
	a.step(now, pace)
}
