package dispatcher

import (
	"testing"

	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Guards against a cold start that ends, or is taken for over, because a health check did not
// tell, and against one that outlasts what the configuration says.
func TestHealthAndColdStart(t *testing.T) {
	const span = 3 * timer.Second
	cases := []struct {
		name string
		// reset says that nothing is known of the cold start.
		reset  bool
		health Health
		after  timer.Millis
		cold   bool
	}{
		{"warm", false, Health{Backend: "b"}, 1, false},
		{"cold", false, Health{Backend: "b", ColdFor: 500}, 400, true},
		{"cold until then", false, Health{Backend: "b", ColdFor: 500}, 600, false},
		{"a check that does not tell", false, Health{Backend: "b", ColdUnreadable: true}, 1, true},
		{"one while nothing is known", true, Health{Backend: "b", ColdUnreadable: true}, 1, true},
		{"a time that is too long", false, Health{Backend: "b", ColdFor: timer.Day}, span + 1, false},
		{"another backend server", true, Health{Backend: "c"}, 1, true},
	}
	for _, c := range cases {
		clock := timer.NewManual(1, 1_700_000_000_000)
		a := newAdmission(new([]identifier.Incarnation))
		a.config.Clock = clock
		a.config.Configuration.Adopt((&router.Snapshot{Version: 1, Services: []router.Service{{Name: "orders", ColdPerSecond: 8, ColdSpan: span}}}).Index())
		a.Announce(Backend{ID: "b", Incarnation: 1, Sequence: 1, Slots: 4, State: admitter.Ready, ColdFor: span})
		if c.reset {
			a.coldStart.reset()
		}
		a.applyHealth(c.health, Notice{}, 0)
		clock.Advance(c.after)
		if cold := a.coldStart.cold(clock.Now()); cold != c.cold {
			t.Errorf("%s: cold %v", c.name, cold)
		}
	}
}
