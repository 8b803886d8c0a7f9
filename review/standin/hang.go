package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Sizes and times of the case "hang".
const (
	hangVMs      = 200
	hangServices = 120
	// firstServices is the number of services with a route from the start, and
	// firstClients the number of machines with clients that use it.
	firstServices = 1
	firstClients  = 20
	trafficAfter  = 8 * time.Second
	// The configuration grows in versions that follow each other at stormGap.
	versions = 12
	stormGap = 330 * time.Millisecond
	// firstUse is the time after a version within which clients use its routes first.
	firstUse = 600 * time.Millisecond
	// probes is the number of requests to each daemon after the last change.
	probes        = 10
	routeTimeout  = 1200 * time.Millisecond // TimeoutS
	answerMargin  = 500 * time.Millisecond
	probeDeadline = 2500 * time.Millisecond
	// probeSpread is the time over which they are sent, so that the instances of the first
	// route have room for them.
	probeSpread = 4 * time.Second
	// leastUnanswered is the number of requests without an answer from which the rule is
	// broken, if they are more than a quarter of those that last longer than TimeoutS.
	leastUnanswered = 8
)

// runHang shows whether each daemon still answers after the configuration has grown by
// routes to further services and clients have used them.
func runHang(e environment) error {
	var places []place
	for n := range hangVMs {
		places = append(places, place{fmt.Sprintf("zone-%d", n%4), "svc" + strconv.Itoa(n%hangServices)})
	}
	f, err := startFleet(e, places, manyServices(1, firstServices))
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return err
	}
	time.Sleep(trafficAfter)
	var clients sync.WaitGroup
	for _, v := range f.vms[:firstClients] {
		clients.Add(1)
		go func() {
			defer clients.Done()
			v.use(e.record, 0)
		}()
	}
	clients.Wait()
	e.record.printf("clients at %d machines use the first route", firstClients)
	if e.trouble {
		f.grow(e.record, &clients)
	} else {
		time.Sleep(versions * stormGap)
	}
	clients.Wait()
	time.Sleep(contactTime)
	return f.probe(e.record)
}

// grow adds routes in several versions of the configuration. Clients at all machines use
// each new route once.
func (f *fleet) grow(r *record, clients *sync.WaitGroup) {
	known := firstServices
	for version := 1; version <= versions; version++ {
		count := firstServices + (hangServices-firstServices)*version/versions
		f.store.put("config", manyServices(1+version, count))
		r.printf("version %d of the configuration has routes to %d services", 1+version, count)
		for _, v := range f.vms {
			for service := known; service < count; service++ {
				clients.Add(1)
				go func() {
					defer clients.Done()
					time.Sleep(rand.N(firstUse))
					v.use(r, service)
				}()
			}
		}
		known = count
		time.Sleep(stormGap)
	}
}

// use sends a request of a route. Where the route is not in force yet, it is sent again.
func (v *vm) use(r *record, service int) {
	for range 20 {
		status, _ := timed(r, v, service, time.Second)
		if status != 404 {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

var probeIDs atomic.Uint64

// timed sends a request of the route to a service and returns its status, 0 without an
// answer, and the time that it took.
func timed(r *record, v *vm, service int, wait time.Duration) (status int, took time.Duration) {
	id := fmt.Sprintf("q%015x", probeIDs.Add(1))
	started := time.Now()
	status = roundTrip(v.addresses.Callers, wait, strings.Join([]string{
		fmt.Sprintf("GET /s%d/1 HTTP/1.1", service), "Host: " + host, "X-Request-Id: " + id,
		fmt.Sprintf("X-Request-Deadline: %d", wait.Milliseconds()), "Connection: close",
	}, "\r\n")+"\r\n\r\n").status
	took = time.Since(started)
	answer := strconv.Itoa(status)
	if status == 0 {
		answer = "no answer"
	}
	r.printf("client at %s sent %s on the route to svc%d %.3f s ago: %s", v.name, id, service, took.Seconds(), answer)
	return status, took
}

// probe sends requests to each daemon and checks the rule on them.
func (f *fleet) probe(r *record) error {
	var long, unanswered, sent atomic.Int64
	var asked sync.WaitGroup
	for _, v := range f.vms {
		asked.Add(1)
		go func() {
			defer asked.Done()
			if !v.ready() {
				r.printf("daemon %s is not ready", v.name)
				return
			}
			var silent atomic.Int64
			var all sync.WaitGroup
			for range probes {
				all.Add(1)
				go func() {
					defer all.Done()
					time.Sleep(rand.N(probeSpread))
					status, took := timed(r, v, 0, probeDeadline)
					sent.Add(1)
					if took > routeTimeout {
						long.Add(1)
					}
					if status == 0 && took > routeTimeout+answerMargin {
						unanswered.Add(1)
						silent.Add(1)
					}
				}()
			}
			all.Wait()
			if silent.Load() > 0 {
				r.printf("daemon %s is ready, %d of %d requests have no answer", v.name, silent.Load(), probes)
			}
			if silent.Load() == probes && os.Getenv("DUMP") != "" {
				v.signal(syscall.SIGQUIT) // Writes the stacks of the goroutines to the daemon's log.
			}
		}()
	}
	asked.Wait()
	r.printf("%d requests sent, %d lasted longer than TimeoutS, %d of them had no answer half a second later", sent.Load(), long.Load(), unanswered.Load())
	if sent.Load() == 0 {
		return fmt.Errorf("no daemon was ready")
	}
	if unanswered.Load() >= leastUnanswered && 2*unanswered.Load() > long.Load() {
		return fmt.Errorf("%w: CONFIG: %d of %d requests that lasted longer than TimeoutS had no answer half a second later", errBroken, unanswered.Load(), long.Load())
	}
	return nil
}
