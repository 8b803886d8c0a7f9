package main

import (
	"fmt"
	"time"
)

// Bounds and times of the case "cold".
const (
	warmupTime    = 3 * time.Second // WarmupS
	warmupPerS    = 36.0            // WarmupPerS
	warmupOverage = 1.5             // WarmupOverage
	warmupSlack   = 5               // WarmupSlack
	// coldLoad is the time between two requests of the clients at one of the two machines
	// with clients: 80 requests a second for each of the two instances.
	coldLoad = 12500 * time.Microsecond
	// crashFactor is the rate, in parts of WarmupPerS, above which a cold instance crashes.
	crashFactor = 2
	// coldAgain is the time from one cold start of the instance to the next.
	coldAgain = 6 * time.Second
	coldTimes = 3
)

// runCold shows how many requests an instance gets that turns cold again under load.
func runCold(e environment) error {
	f, err := startFleet(e, smallFleet, configuration(1))
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return err
	}
	turning := f.vms[0].instance
	l := startLoad(e.record, f.vms[2:], coldLoad)
	defer l.end()
	time.Sleep(coldAgain)
	bound := warmupPerS*warmupOverage + warmupSlack
	worst := 0
	for range coldTimes {
		began := time.Now()
		if e.trouble {
			turning.setCold(warmupTime, crashFactor*warmupPerS)
		}
		time.Sleep(coldAgain)
		most := 0
		if e.trouble {
			most = turning.mostWithin(began, began.Add(warmupTime), time.Second)
		}
		e.record.printf("%s was cold from %.3f on and got up to %d requests in a second; the bound is %.0f", turning.id, e.record.since(began), most, bound)
		worst = max(worst, most)
		if turning.hasCrashed() {
			break
		}
	}
	if len(turning.ran()) == 0 {
		return fmt.Errorf("the instance got no request")
	}
	if float64(worst) > bound {
		return fmt.Errorf("%w: FAILBACK: a cold instance got %d requests in a second, more than %.0f", errBroken, worst, bound)
	}
	return nil
}

// mostWithin returns the largest number of requests that were sent and began to run within
// a span of the given length, between two times.
func (i *instance) mostWithin(from, to time.Time, span time.Duration) int {
	var during []arrival
	for _, a := range i.ran() {
		if sent := sentAt(a.id); !sent.Before(from) && !a.at.After(to) {
			during = append(during, a)
		}
	}
	most := 0
	for _, first := range during {
		begin := sentAt(first.id)
		count := 0
		for _, a := range during {
			if !sentAt(a.id).Before(begin) && a.at.Sub(begin) <= span {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
