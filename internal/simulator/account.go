package simulator

import (
	"fmt"
	"strings"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Accounts describes the client accounts of a load. All send the same usual rate; the
// first one sends Factor times as much from From to To.
type Accounts struct {
	Count    int
	Factor   float64
	From, To timer.Millis
}

func (a Accounts) burst(at timer.Millis) bool { return a.Count > 0 && at >= a.From && at < a.To }

// rate returns the rate of all accounts at a time as a multiple of the usual one.
func (a Accounts) rate(at timer.Millis) float64 {
	if !a.burst(at) {
		return 1
	}
	return (float64(a.Count) - 1 + a.Factor) / float64(a.Count)
}

// pick returns the account that sends a request, for a random number in [0, 1). The
// first account has the number 1; 0 means none.
func (a Accounts) pick(at timer.Millis, random float64) uint32 {
	first := 1.0
	if a.burst(at) {
		first = a.Factor
	}
	position := random * (float64(a.Count) - 1 + first)
	return uint32(max(0, position-first+1)) + 1
}

// AccountReport counts the requests of one account during the burst.
type AccountReport struct{ Offered, InTarget int }

// ServedShare returns the share of the offered requests that were answered in the
// target.
func (r AccountReport) ServedShare() float64 {
	return float64(r.InTarget) / float64(max(1, r.Offered))
}

// ByArrivalPolicies returns the current policies with a queue that ignores accounts.
func ByArrivalPolicies() Policies {
	p := CurrentPolicies()
	p.Name, p.FairQueue = "queue by arrival", false
	return p
}

// CompareQueues runs a load with accounts and returns a table of what each account gets
// during the burst with a queue by arrival and with the fair queue.
func CompareQueues(load Load) (string, error) {
	byArrival, err := Run(load, ByArrivalPolicies())
	if err != nil {
		return "", err
	}
	fair, err := Run(load, CurrentPolicies())
	if err != nil {
		return "", err
	}
	var table strings.Builder
	fmt.Fprintln(&table, "account  offered  by arrival: in target  of all    fair: in target  of all")
	for i, a := range byArrival.Accounts {
		f := fair.Accounts[i]
		fmt.Fprintf(&table, "%7d  %7d  %21.3f  %6.3f  %16.3f  %6.3f\n", i+1, a.Offered,
			a.ServedShare(), partOf(byArrival.Accounts, i), f.ServedShare(), partOf(fair.Accounts, i))
	}
	return table.String(), nil
}

// partOf returns an account's part of all requests that were answered in the target.
func partOf(accounts []AccountReport, i int) float64 {
	sum := 0
	for _, a := range accounts {
		sum += a.InTarget
	}
	return float64(accounts[i].InTarget) / float64(max(1, sum))
}
