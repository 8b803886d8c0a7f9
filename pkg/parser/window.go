package parser

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Window is the time from From, inclusive, until To, exclusive. If To is not set,
// the window has no end.
type Window struct {
	From Time `json:"from"`
	To   Time `json:"to,omitempty"`
}

// Open reports whether the window has no end.
func (w Window) Open() bool { return w.To == 0 }

// Contains reports whether a Unix time lies in the window.
func (w Window) Contains(wall timer.Millis) bool {
	return wall >= w.From.Millis() && (w.Open() || wall < w.To.Millis())
}

func (w Window) check(place string, findings *reporter.Findings) {
	if w.From == 0 {
		findings.Add(joinPlace(place, "from"), "", "is missing")
	} else {
		checkTime(joinPlace(place, "from"), w.From, findings)
	}
	if w.Open() {
		return
	}
	checkTime(joinPlace(place, "to"), w.To, findings)
	if w.From != 0 && w.To <= w.From {
		findings.Add(joinPlace(place, "to"), w.To, "is not after from")
	}
}

func checkTime(place string, t Time, findings *reporter.Findings) {
	if t < minTime || t > maxTime {
		findings.Add(place, t, "is outside the years 2000 to 2200")
	}
}

// checkOverlaps adds a finding for each window of a list that starts before an
// earlier one has ended. Windows may be listed in any order.
func checkOverlaps(place string, windows []Window, findings *reporter.Findings) {
	order := make([]int, len(windows))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(windows[a].From, windows[b].From) })
	for i := 1; i < len(order); i++ {
		earlier, later := windows[order[i-1]], windows[order[i]]
		if earlier.Open() || later.From < earlier.To {
			findings.Add(fmt.Sprintf("%s[%d]", place, order[i]), later.From,
				fmt.Sprintf("overlaps %s[%d]", place, order[i-1]))
		}
	}
}

// String formats the window for operators.
func (w Window) String() string {
	if w.Open() {
		return fmt.Sprintf("from %s", w.From)
	}
	return fmt.Sprintf("%s to %s", w.From, w.To)
}
