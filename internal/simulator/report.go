package simulator

import (
	"fmt"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Report is what callers got.
type Report struct {
	Load, Policies string
	Offered        int
	// InTarget, Late, Refused and Failed are the ends of the offered requests. A
	// failed one got no answer before its deadline.
	InTarget, Late, Refused, Failed int
	// Runs counts starts at backend servers, MaxColdStarts the most starts of one cold
	// instance in a second.
	Runs, MaxColdStarts int
	// WorstShare is the part served in the target in the worst tenth of the seconds.
	WorstShare float64

	seconds []second
}

// second counts the requests that arrived in one second.
type second struct{ offered, inTarget int }

// worstPart is the part of the seconds that counts as the worst.
const worstPart = 10

func newReport(load Load, policies Policies) Report {
	return Report{Load: load.Name, Policies: policies.Name, seconds: make([]second, load.Duration/timer.Second+1)}
}

func (r *Report) offer(at timer.Millis) {
	r.Offered++
	r.seconds[at/timer.Second].offered++
}

func (r *Report) served(arrived timer.Millis, inTarget bool) {
	if !inTarget {
		r.Late++
		return
	}
	r.InTarget++
	r.seconds[arrived/timer.Second].inTarget++
}

// finish computes the worst seconds.
func (r *Report) finish() {
	var shares []float64
	for _, s := range r.seconds {
		if s.offered > 0 {
			shares = append(shares, float64(s.inTarget)/float64(s.offered))
		}
	}
	slices.Sort(shares)
	worst := shares[:max(1, len(shares)/worstPart)]
	for _, share := range worst {
		r.WorstShare += share / float64(len(worst))
	}
}

// ServedShare returns the part of the offered requests that got an answer in the target.
func (r Report) ServedShare() float64 { return float64(r.InTarget) / float64(max(1, r.Offered)) }

// TableHeader names the columns of String.
const TableHeader = "load        policies                   offered  in target    late  refused  failed    runs   worst"

// String is one line of a table.
func (r Report) String() string {
	part := func(n int) float64 { return float64(n) / float64(max(1, r.Offered)) }
	return fmt.Sprintf("%-10s  %-25s  %7d  %9.3f  %6.3f  %7.3f  %6.3f  %6d  %6.3f", r.Load, r.Policies, r.Offered,
		part(r.InTarget), part(r.Late), part(r.Refused), part(r.Failed), r.Runs, r.WorstShare)
}
