package orderer_test

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/orderer"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// timed is an announcement with the time of its arrival.
type timed struct {
	at timer.Millis
	orderer.Announcement
}

// Guards against a backend server that gets no more requests because the clock of its
// VM was set back before its start, and against late announcements of an ended run.
func TestSteppedClock(t *testing.T) {
	const start, later, earlier = 10_000, 20_000, 4_000
	ready := func(at timer.Millis, backend identifier.BackendID, start identifier.Incarnation, sequence uint64) timed {
		return timed{at, orderer.Announcement{Backend: backend, Start: start, Sequence: sequence}}
	}
	leave := timed{100, orderer.Announcement{Backend: "a", Start: start, Sequence: 1 << 40, Leaving: true}}
	cases := []struct {
		name      string
		found     identifier.BackendID
		announced []timed
		current   bool // Whether the last one is current.
	}{
		{"a later run", "", []timed{ready(0, "a", start, 9), ready(1, "a", later, 0)}, true},
		{"a late announcement of the same run", "", []timed{ready(0, "a", start, 9), ready(1, "a", start, 8)}, false},
		{"a late announcement of an earlier run", "", []timed{ready(0, "a", start, 9), ready(1, "a", earlier, 50)}, false},
		{
			"many late announcements that arrive together", "",
			[]timed{ready(0, "a", start, 9), ready(1, "a", earlier, 50), ready(2, "a", earlier, 51), ready(3, "a", earlier, 52), ready(4, "a", earlier, 53)},
			false,
		},
		{
			"a run after the clock was set back", "",
			[]timed{ready(0, "a", start, 9), ready(1000, "a", earlier, 1), ready(2500, "a", earlier, 2), ready(4000, "a", earlier, 3)},
			true,
		},
		{
			"a run after the clock was set back and the earlier one left", "",
			[]timed{ready(0, "a", start, 9), leave, ready(1000, "a", earlier, 1), ready(2500, "a", earlier, 2), ready(4000, "a", earlier, 3)},
			true,
		},
		{
			"late announcements while the known run announces itself", "",
			[]timed{
				ready(0, "a", start, 9), ready(1000, "a", earlier, 1), ready(1500, "a", start, 10), ready(2500, "a", earlier, 2),
				ready(3000, "a", start, 11), ready(4000, "a", earlier, 3),
			},
			false,
		},
		{
			"repeats of one late announcement", "",
			[]timed{ready(0, "a", start, 9), ready(1000, "a", earlier, 1), ready(2500, "a", earlier, 1), ready(4000, "a", earlier, 1)},
			false,
		},
		{
			"announcements of a run that left before it was known", "",
			[]timed{
				{0, orderer.Announcement{Backend: "a", Sequence: 1 << 40, Leaving: true}},
				ready(1000, "a", earlier, 1), ready(2500, "a", earlier, 2), ready(4000, "a", earlier, 3),
			},
			false,
		},
		{"another backend server that answers the health check", "b", []timed{ready(0, "a", start, 9), ready(1, "b", earlier, 1)}, true},
		{
			"a late announcement of the one that answered before the next one started", "b",
			[]timed{ready(0, "a", earlier, 9), ready(1, "b", start, 1), ready(2, "c", later, 1), ready(3, "b", start, 2)},
			false,
		},
		{"another backend server that does not", "a", []timed{ready(0, "a", start, 9), ready(1, "b", earlier, 1)}, false},
		{
			"repeated late announcements of a run that has left", "",
			[]timed{ready(0, "a", start, 9), leave, ready(1000, "a", start, 10), ready(2500, "a", start, 11), ready(4000, "a", start, 12)},
			false,
		},
	}
	for _, c := range cases {
		o := orderer.New()
		current := false
		for i, a := range c.announced {
			_, verdict := o.Accept(a.at, a.at+start, a.Announcement)
			current = verdict == orderer.Current
			if i == 0 {
				o.Found(c.found)
			}
		}
		if current != c.current {
			t.Errorf("%s: current %v", c.name, current)
		}
	}
}

// Guards against a run that is current again after it was replaced, however
// announcements are delayed and repeated, while the clock is not stepped.
func TestNeverGoesBack(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		o := orderer.New()
		now, newest := timer.Millis(0), orderer.Announcement{}
		var last orderer.Run
		var sent []orderer.Announcement
		for range rapid.IntRange(1, 40).Draw(t, "announcements") {
			now += timer.Millis(rapid.IntRange(0, 500).Draw(t, "gap"))
			var a orderer.Announcement
			if len(sent) > 0 && rapid.Bool().Draw(t, "late") {
				a = rapid.SampledFrom(sent).Draw(t, "which")
			} else {
				start := identifier.Incarnation(1 + rapid.IntRange(0, 3).Draw(t, "run"))
				a = orderer.Announcement{Backend: "a", Start: max(start, newest.Start), Sequence: newest.Sequence + 1}
				newest = a
				sent = append(sent, a)
			}
			run, verdict := o.Accept(now, 0, a)
			if verdict == orderer.Current && a.Start < o.Start() || run < last {
				t.Fatalf("announcement %+v of run %d is current after run %d", a, run, last)
			}
			last = run
		}
	})
}

// Guards against one announcement of another writer, with any value in any field, that
// replaces a backend server which is alive, or hides its leave.
func TestForeignAnnouncements(t *testing.T) {
	const wall, start = 1_000_000_000, 999_000_000
	ready := func(at timer.Millis, backend identifier.BackendID, start identifier.Incarnation, sequence uint64) timed {
		return timed{at, orderer.Announcement{Backend: backend, Start: start, Sequence: sequence}}
	}
	leave := func(at timer.Millis, sequence uint64) timed {
		return timed{at, orderer.Announcement{Backend: "a", Start: start, Sequence: sequence, Leaving: true}}
	}
	own := ready(0, "a", start, 9)
	cases := []struct {
		name    string
		checked bool // Whether a health check is answered by "a" after its first announcement.
		foreign orderer.Announcement
	}{
		{"no start", true, orderer.Announcement{Backend: "a", Sequence: 1000}},
		{"no start, not checked", false, orderer.Announcement{Backend: "a", Sequence: 1000}},
		{"a high sequence number", true, orderer.Announcement{Backend: "a", Start: start, Sequence: math.MaxUint64}},
		{"a high sequence number, not checked", false, orderer.Announcement{Backend: "a", Start: start, Sequence: math.MaxUint64}},
		{"a later start", true, orderer.Announcement{Backend: "a", Start: start + 1000, Sequence: 1}},
		{"a later start, not checked", false, orderer.Announcement{Backend: "a", Start: start + 1000, Sequence: 1}},
		{"a start in the future", true, orderer.Announcement{Backend: "a", Start: 2 * wall, Sequence: 1}},
		{"a start in the future, not checked", false, orderer.Announcement{Backend: "a", Start: 2 * wall, Sequence: 1}},
		{"a start that is no time", true, orderer.Announcement{Backend: "a", Start: math.MaxUint64, Sequence: 1}},
		{"another backend server", true, orderer.Announcement{Backend: "b", Start: start + 1000, Sequence: 1}},
		{"another one with the same start", true, orderer.Announcement{Backend: "b", Start: start, Sequence: 1000}},
		{"an earlier start", true, orderer.Announcement{Backend: "a", Start: 1, Sequence: 1000}},
		{"a leave of another backend server", true, orderer.Announcement{Backend: "b", Start: start + 1000, Sequence: 1, Leaving: true}},
		{"a leave of another one without a start", true, orderer.Announcement{Backend: "b", Sequence: 1, Leaving: true}},
		{"a leave in the future", true, orderer.Announcement{Backend: "a", Start: 2 * wall, Sequence: 1, Leaving: true}},
	}
	for _, c := range cases {
		o := orderer.New()
		accept := func(a timed) orderer.Verdict {
			_, verdict := o.Accept(a.at, wall+a.at, a.Announcement)
			return verdict
		}
		if accept(own) != orderer.Current {
			t.Fatalf("%s: the first announcement is not current", c.name)
		}
		if c.checked {
			o.Found("a")
		}
		run, verdict := o.Accept(700, wall+700, c.foreign)
		if c.checked && (run != 1 || verdict == orderer.Current && c.foreign.Start != start) {
			t.Errorf("%s: run %d, verdict %v", c.name, run, verdict)
		}
		if accept(leave(1500, 10)) != orderer.Current {
			t.Errorf("%s: the leave is not current", c.name)
		}
		if accept(ready(1600, "a", start, 11)) == orderer.Current {
			t.Errorf("%s: the leave was undone", c.name)
		}
	}
}

// Guards against a backend server that gets no requests after a real change, because its
// announcements are taken for those of another writer.
func TestConfirmedChange(t *testing.T) {
	const wall, start, later = 1_000_000_000, 999_000_000, 999_500_000
	next := func(backend identifier.BackendID, sequence uint64) orderer.Announcement {
		return orderer.Announcement{Backend: backend, Start: later, Sequence: sequence}
	}
	cases := []struct {
		name string
		play func(o *orderer.Orderer) []orderer.Verdict
		want []orderer.Verdict
	}{
		{
			"the known run was seen gone",
			func(o *orderer.Orderer) []orderer.Verdict {
				o.Gone()
				o.Found("a") // The next run answers before its first announcement.
				return []orderer.Verdict{verdictAt(o, 1000, next("a", 1))}
			},
			[]orderer.Verdict{orderer.Current},
		},
		{
			"a restart that nobody saw",
			func(o *orderer.Orderer) []orderer.Verdict {
				return []orderer.Verdict{verdictAt(o, 1000, next("a", 1)), verdictAt(o, 2500, next("a", 2))}
			},
			[]orderer.Verdict{orderer.Unconfirmed, orderer.Current},
		},
		{
			"two announcements of another writer at once",
			func(o *orderer.Orderer) []orderer.Verdict {
				return []orderer.Verdict{verdictAt(o, 1000, next("a", 1)), verdictAt(o, 1001, next("a", 2))}
			},
			[]orderer.Verdict{orderer.Unconfirmed, orderer.Unconfirmed},
		},
		{
			"two of another writer while the known run announces itself",
			func(o *orderer.Orderer) []orderer.Verdict {
				first := verdictAt(o, 1000, next("a", 1))
				_, _ = o.Accept(1500, wall, orderer.Announcement{Backend: "a", Start: start, Sequence: 10})
				return []orderer.Verdict{first, verdictAt(o, 2500, next("a", 2))}
			},
			[]orderer.Verdict{orderer.Unconfirmed, orderer.Unconfirmed},
		},
		{
			"another backend server that answers the health check",
			func(o *orderer.Orderer) []orderer.Verdict {
				first := verdictAt(o, 1000, next("b", 1))
				o.Found("b")
				return []orderer.Verdict{first, verdictAt(o, 1001, next("b", 1))}
			},
			[]orderer.Verdict{orderer.Unconfirmed, orderer.Current},
		},
		{
			"another backend server while the known one answers",
			func(o *orderer.Orderer) []orderer.Verdict {
				return []orderer.Verdict{verdictAt(o, 1000, next("b", 1)), verdictAt(o, 2500, next("b", 2)), verdictAt(o, 4000, next("b", 3))}
			},
			[]orderer.Verdict{orderer.Unconfirmed, orderer.Unconfirmed, orderer.Unconfirmed},
		},
		{
			"lower sequence numbers of the known run that go on",
			func(o *orderer.Orderer) []orderer.Verdict {
				_, _ = o.Accept(500, wall, orderer.Announcement{Backend: "a", Start: start, Sequence: math.MaxUint64})
				var verdicts []orderer.Verdict
				for n := range 3 {
					_, verdict := o.Accept(timer.Millis(1000+1500*n), wall, orderer.Announcement{Backend: "a", Start: start, Sequence: uint64(10 + n)})
					verdicts = append(verdicts, verdict)
				}
				return verdicts
			},
			[]orderer.Verdict{orderer.Outdated, orderer.Outdated, orderer.Current},
		},
	}
	for _, c := range cases {
		o := orderer.New()
		_, _ = o.Accept(0, wall, orderer.Announcement{Backend: "a", Start: start, Sequence: 9})
		o.Found("a")
		if got := c.play(o); !slices.Equal(got, c.want) {
			t.Errorf("%s: verdicts %v, want %v", c.name, got, c.want)
		}
	}
}

func verdictAt(o *orderer.Orderer, at timer.Millis, a orderer.Announcement) orderer.Verdict {
	_, verdict := o.Accept(at, 1_000_000_000+at, a)
	return verdict
}
