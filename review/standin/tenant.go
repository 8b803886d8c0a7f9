package main

import (
	"fmt"
	"time"
)

// requestsPerCase is the number of requests in the cases about headers.
const requestsPerCase = 20

// runTenant shows whether the instance gets the tenant of the client's key whatever the
// client sends.
func runTenant(e environment) error {
	owner := tenant{name: "pulo780", key: "gxprymh2rrytapjsujqu"}
	f, err := startFleet(e, smallFleet, configuration(1, owner))
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return err
	}
	time.Sleep(warmTime)
	extra := []string{"Authorization: Bearer " + owner.key, "X-Tenant-Id: another"}
	if e.trouble {
		extra = append(extra, "Connection: keep-alive, X-Tenant-Id")
	}
	sent := map[string]bool{}
	for n := range requestsPerCase {
		id, _ := send(e.record, f.vms[2+n%2].addresses.Callers, "GET", pathRead+"1", extra...)
		sent[id] = true
	}
	ran, wrong := f.count(sent, func(a arrival) bool { return a.tenant != owner.name })
	e.record.printf("%d requests ran, %d of them without the tenant that holds the key", ran, wrong)
	switch {
	case ran == 0:
		return fmt.Errorf("no request ran")
	case wrong > 0:
		return fmt.Errorf("%w: UNASKED: %d of %d requests ran without the tenant that holds the client's key", errBroken, wrong, ran)
	}
	return nil
}

// count returns how many of the requests that were sent have run, and how many of these
// are wrong.
func (f *fleet) count(sent map[string]bool, wrong func(arrival) bool) (ran, bad int) {
	for _, v := range f.vms {
		for _, a := range v.instance.ran() {
			if !sent[a.id] {
				continue
			}
			ran++
			if wrong(a) {
				bad++
			}
		}
	}
	return ran, bad
}
