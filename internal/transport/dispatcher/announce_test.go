package dispatcher

import (
	"testing"

	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// Guards against attempts for a backend server that has left, caused by a late
// announcement, and against a new backend server that gets no attempts because an
// earlier one left.
func TestAnnounceOrder(t *testing.T) {
	const minute = 60_000
	cases := []struct {
		name      string
		announced []Backend
		accepting bool
	}{
		{"ready", []Backend{{ID: "a", Incarnation: 1, State: admitter.Ready}}, true},
		{"left", []Backend{{ID: "a", Incarnation: 1, State: admitter.Ready}, {ID: "a", State: admitter.Draining}}, false},
		{
			"a late announcement after a leave",
			[]Backend{{ID: "a", Incarnation: 1, State: admitter.Ready}, {ID: "a", State: admitter.Draining}, {ID: "a", Incarnation: 1, State: admitter.Ready}},
			false,
		},
		{
			"a late announcement after a leave of an unknown run",
			[]Backend{{ID: "a", State: admitter.Draining}, {ID: "a", Incarnation: 1, State: admitter.Ready}},
			false,
		},
		{
			"a repeated leave of an unknown run",
			[]Backend{{ID: "a", State: admitter.Draining}, {ID: "a", State: admitter.Draining}, {ID: "a", Incarnation: 1, State: admitter.Ready}},
			false,
		},
		{
			"a later run after a leave of an unknown one",
			[]Backend{{ID: "a", State: admitter.Draining}, {ID: "a", Incarnation: minute, State: admitter.Ready}},
			true,
		},
		{
			"another backend server after a leave of an unknown run",
			[]Backend{{ID: "a", State: admitter.Draining}, {ID: "b", Incarnation: 1, State: admitter.Ready}},
			true,
		},
		{
			"a late leave of an earlier backend server",
			[]Backend{{ID: "b", Incarnation: 2, State: admitter.Ready}, {ID: "a", State: admitter.Draining}},
			true,
		},
	}
	for _, c := range cases {
		a := newAdmission(new([]identifier.Incarnation))
		a.config.Configuration.Adopt((&router.Snapshot{Version: 1}).Index())
		past := identifier.Incarnation(a.config.Clock.Wall()) - minute/2
		for i, b := range c.announced {
			b.Sequence = uint64(i)
			if b.Incarnation > 0 {
				b.Incarnation, b.Slots = b.Incarnation+past, 4
			}
			if b.State == admitter.Draining {
				b.Sequence = 1 << 40
			}
			a.Announce(b)
		}
		if _, accepting := a.Member(); accepting != c.accepting {
			t.Errorf("%s: accepting %v", c.name, accepting)
		}
	}
}

// Guards against a backend server that is out of use since one that was there before it was
// found to be gone: the attempt was for the earlier one.
func TestMisdirectedAttemptOfEarlierRun(t *testing.T) {
	a := newAdmission(new([]identifier.Incarnation))
	a.config.Configuration.Adopt((&router.Snapshot{Version: 1}).Index())
	a.Announce(Backend{ID: "a", Incarnation: 1, Sequence: 1, Slots: 4, State: admitter.Ready})
	earlier := a.notices.run
	a.Announce(Backend{ID: "b", Incarnation: 2, Sequence: 1, Slots: 4, State: admitter.Ready})
	a.setMisdirected(earlier)
	if _, accepting := a.Member(); !accepting {
		t.Error("an answer to an attempt for the earlier backend server takes the next one out of use")
	}
	a.setMisdirected(a.notices.run)
	if _, accepting := a.Member(); accepting {
		t.Error("a backend server whose address another one has is still in use")
	}
}
