package main

import (
	"fmt"
	"syscall"
	"time"
)

// Times of the case "leave".
const (
	loadInterval = 50 * time.Millisecond
	warmTime     = 4 * time.Second
	// leaveAfter is the time from SIGTERM to the leave of the instance. The daemon serves
	// for longer than this after SIGTERM.
	leaveAfter = time.Second
	// lateBy is how late the last heartbeat of the leaving instance arrives.
	lateBy = 3 * time.Second
	// servesOn is how long the instance serves after its leave was acknowledged.
	servesOn = 10 * time.Second
)

// smallFleet has two instances of the service that the routes lead to, and two machines
// with clients.
var smallFleet = []place{
	{"zone-aarhus", servicePurchasing},
	{"zone-aalborg", servicePurchasing},
	{"zone-aarhus", serviceSurvey},
	{"zone-aalborg", serviceSurvey},
}

// runLeave shows whether a leave that a daemon has acknowledged is kept when this daemon
// is stopped as planned and started again, and a heartbeat from before the leave arrives
// late.
func runLeave(e environment) error {
	f, err := startFleet(e, smallFleet, configuration(1))
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return err
	}
	beside := f.vms[0]
	leaving := beside.instance
	// Clients are at the two machines that are never disrupted.
	l := startLoad(e.record, f.vms[2:], loadInterval)
	defer l.end()
	time.Sleep(warmTime)
	if len(leaving.ran()) == 0 {
		return fmt.Errorf("the instance got no request before its leave")
	}
	if e.trouble {
		beside.signal(syscall.SIGTERM)
		time.Sleep(leaveAfter)
	}
	// The last heartbeat is on its way when the instance leaves.
	leaving.stopHeartbeats()
	if err := leaving.sendLate(lateBy); err != nil {
		return err
	}
	if status := leaving.deregister(); status != 200 {
		return fmt.Errorf("the leave was answered %d", status)
	}
	acknowledged := time.Now()
	e.record.printf("the leave of %s is acknowledged", leaving.id)
	settled := acknowledged.Add(drainTime)
	if e.trouble {
		beside.awaitEnd()
		e.record.printf("the daemon %s has ended", beside.name)
		time.Sleep(restartDelay)
		if err := beside.start(); err != nil {
			return err
		}
		settled = time.Now().Add(contactTime) // Its machine is in touch again.
	}
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	leaving.exit()
	e.record.printf("instance %s exits", leaving.id)
	for _, value := range f.store.records("keyed.members", beside.name) {
		e.record.printf("the daemon %s stored %s", beside.name, value)
	}
	return drained(e.record, leaving, settled)
}

// drained checks that no request reached an instance later than the given time.
func drained(r *record, leaving *instance, settled time.Time) error {
	count := 0
	for _, a := range leaving.ran() {
		if a.at.After(settled) {
			count++
		}
	}
	r.printf("%d requests reached %s later than %.3f", count, leaving.id, r.since(settled))
	if count > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests reached the instance later than DrainS after its leave was acknowledged", errBroken, count)
	}
	return nil
}
