package registrar_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Guards against a member that is in use again as it was before a restart or a leave,
// however reports of its runs, status messages and entries of the store are delayed and
// repeated.
func TestTableNeverGoesBack(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		table := registrar.New("self")
		now := timer.Millis(0)
		var sent []registrar.Member
		// reported is the newest state that came from the member itself. What only the
		// store names is not in use, so a report of the same run may replace it.
		var reported registrar.Member
		newest := registrar.Member{Node: "a", Incarnation: 1, Service: "s", Slots: 1}
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			now += timer.Millis(rapid.IntRange(0, 400).Draw(t, "gap"))
			m := newest
			if len(sent) > 0 && rapid.Bool().Draw(t, "late") {
				m = rapid.SampledFrom(sent).Draw(t, "which")
			} else {
				if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
					newest = registrar.Member{Node: "a", Incarnation: newest.Incarnation + 1, Service: "s", Slots: 1}
				}
				newest.Revision++
				newest.Accepting = rapid.Bool().Draw(t, "accepting")
				newest.Generation++
				m = newest
				sent = append(sent, m)
			}
			before, _ := table.Lookup("a")
			kind := rapid.IntRange(0, 2).Draw(t, "kind")
			switch kind {
			case 0:
				table.Observe(now, m)
			case 1:
				table.ObserveStatus(now, registrar.StatusUpdate{
					Incarnation: m.Incarnation, Revision: m.Revision, Accepting: m.Accepting, Generation: m.Generation,
				})
			case 2:
				table.Learn(now, m)
			}
			after, _ := table.Lookup("a")
			if after.Incarnation < before.Incarnation || order(after) < order(reported) || after.Incarnation == reported.Incarnation && after.Generation < reported.Generation {
				t.Fatalf("the table went back from %+v to %+v; reported %+v", before, after, reported)
			}
			if kind < 2 && after != before {
				reported = after
			}
			for _, used := range table.Instances(now, "s") {
				if !used.Accepting {
					t.Fatalf("a member that does not accept is in use: %+v", used)
				}
			}
		}
	})
}

// order is that of a member's reports.
func order(m registrar.Member) uint64 { return uint64(m.Incarnation)<<32 | m.Revision }
