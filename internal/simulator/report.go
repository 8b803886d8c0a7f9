package simulator

import (
	"fmt"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Report holds the results of one simulation.
type Report struct {
	Load, Policies string
	Offered        int
	// InTarget, Late, Refused and Failed count the offered requests by outcome. A
	// failed one got no answer before its deadline.
	InTarget, Late, Refused, Failed int
	// Runs counts starts at backend servers. MaxColdStarts is the largest number of
	// starts of one cold instance within a second.
	Runs, MaxColdStarts int
	// WorstShare is the mean share served in the target over the worst tenth of the
	// seconds.
	WorstShare float64

	// Accounts holds the results of each account of the load.
	Accounts []AccountReport

	seconds []second
}

// second counts the requests that arrived in one second.
type second struct{ offered, inTarget int }

// worstSecondsDivisor says that one in this many seconds counts as the worst.
const worstSecondsDivisor = 10

func newReport(load Load, policies Policies) Report {
	return Report{
		Load: load.Name, Policies: policies.Name, Accounts: make([]AccountReport, load.Accounts.Count),
		seconds: make([]second, load.Duration/timer.Second+1),
	}
}

func (r *Report) countOffered(at timer.Millis) {
	r.Offered++
	r.seconds[at/timer.Second].offered++
}

func (r *Report) countServed(arrived timer.Millis, inTarget bool) {
	if !inTarget {
		r.Late++
		return
	}
	r.InTarget++
	r.seconds[arrived/timer.Second].inTarget++
}

// computeWorstShare sets WorstShare.
func (r *Report) computeWorstShare() {
	var shares []float64
	for _, s := range r.seconds {
		if s.offered > 0 {
			shares = append(shares, float64(s.inTarget)/float64(s.offered))
		}
	}
	slices.Sort(shares)
	worst := shares[:max(1, len(shares)/worstSecondsDivisor)]
	for _, share := range worst {
		r.WorstShare += share / float64(len(worst))
	}
}

// ServedShare returns the share of the offered requests that were answered in the
// target.
func (r Report) ServedShare() float64 { return float64(r.InTarget) / float64(max(1, r.Offered)) }

// TableHeader is the header line of the table whose rows String returns.
const TableHeader = "load        policies                   offered  in target    late  refused  failed    runs   worst"

// String returns the report as one row of a table.
func (r Report) String() string {
	share := func(n int) float64 { return float64(n) / float64(max(1, r.Offered)) }
	return fmt.Sprintf("%-10s  %-25s  %7d  %9.3f  %6.3f  %7.3f  %6.3f  %6d  %6.3f", r.Load, r.Policies, r.Offered,
		share(r.InTarget), share(r.Late), share(r.Refused), share(r.Failed), r.Runs, r.WorstShare)
}
