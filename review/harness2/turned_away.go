package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// outage is how long the store turns all machines away, calm how long it serves all of
	// them after that, and staysAway how long it then turns some of them away.
	outage    = 4500 * time.Millisecond
	calm      = 15 * time.Second
	staysAway = 9 * time.Second
	// lastCalls is the time in which each reader of the store makes a call.
	lastCalls = 6 * time.Second
	// turnedAwayMost bounds the machines that are turned away, of ten.
	turnedAwayMost = 3
)

// turnedAway lets the store turn every machine away for some seconds and serve all of them
// again. After a calm time it turns three of the machines away that read it, and serves the
// others and the operator. The operator moves a route a second later. It counts the requests
// that the old service runs although they were sent later than ConfigApplyS after the
// acknowledgement, at machines that the store serves.
func turnedAway(trouble bool, r *record) (broken bool, verdict []string, err error) {
	d, err := newDeployment(r, services, func(*http.Request) time.Duration { return 40 * time.Millisecond })
	if err != nil {
		return false, nil, err
	}
	defer d.stop()
	routes := func(moved string) []route {
		return []route{
			{hostQuotes, "/lookup/", "quotes", "idempotent", 0.8},
			{hostOffers, "/offer/", moved, "non_idempotent", 1},
		}
	}
	d.store.put("config", configuration(4, routes("offers")...))
	if err := d.start(d.ownStoreAddress); err != nil {
		return false, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, m := range d.machines {
		c := newClient(d, m)
		go c.steady(ctx, 100*time.Millisecond, http.MethodPost, hostOffers, "/offer/", time.Second)
		go c.steady(ctx, 400*time.Millisecond, http.MethodGet, hostQuotes, "/lookup/", 800*time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		d.store.turnAway(d.names()...)
		r.event("the store turns every machine away with 503")
	}
	time.Sleep(outage)
	d.store.turnAway()
	back := r.event("the store serves every machine")
	time.Sleep(calm)
	readers := d.store.callersSince(time.Now().Add(-lastCalls))
	r.event("machines that have called the store in the last %s: %v", lastCalls, readers)
	var away []string
	if trouble {
		away = readers[:min(turnedAwayMost, len(readers))]
		d.store.turnAway(away...)
		r.event("the store turns %v away with 503", away)
	}
	time.Sleep(time.Second)
	d.store.put("config", configuration(9, routes("payouts")...))
	acknowledged := r.event("operator: version 00000009 acknowledged (%s/offer/ moves from offers to payouts)", hostOffers)
	time.Sleep(staysAway - time.Second)
	d.store.turnAway()
	served := r.event("the store serves every machine")
	time.Sleep(5 * time.Second)
	cancel()
	time.Sleep(2 * time.Second)

	count := countLate(r, "/offer/", "offers", away, acknowledged)
	if count.sent == 0 {
		return false, nil, fmt.Errorf("no request was sent after the bound")
	}
	verdict = []string{
		fmt.Sprintf("end of the outage at %.3f; read by %d machines, %v turned away; version 00000009 acknowledged at %.3f; all machines served at %.3f (trouble: %v)", back, len(readers), away, acknowledged, served, trouble),
		fmt.Sprintf("bound: requests sent after %.3f (acknowledged + ConfigApplyS)", acknowledged+configApplyS),
		fmt.Sprintf("requests for the moved route sent after the bound at the other machines: %d; run by the old service: %d; the last of these sent %.3f s after the bound", count.sent, count.late, max(0, count.last-acknowledged-configApplyS)),
		fmt.Sprintf("of these sent later than ConfigApplyS + MaxStretchS after the acknowledgement: %d", count.stretched),
	}
	return count.late > 0, verdict, nil
}

// ownStoreAddress opens an address at which one machine reaches the store, so that the store
// can tell the machines apart.
func (d *deployment) ownStoreAddress(m *machine) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, d.store.handlerFor(m.name)) }()
	return listener.Addr().String(), nil
}

// names returns the names of the machines.
func (d *deployment) names() []string {
	var names []string
	for _, m := range d.machines {
		names = append(names, m.name)
	}
	return names
}

// lateCount counts the requests that were sent later than a version's bound.
type lateCount struct {
	sent int
	// late counts those that the old service ran, stretched those of them that were sent
	// after the longest stretch of the bound.
	late, stretched int
	// last is when the last one of late was sent.
	last float64
}

// countLate counts the requests with a path prefix that were sent later than ConfigApplyS
// after an acknowledgement, but for those of some machines.
func countLate(r *record, prefix, oldService string, without []string, acknowledged float64) (c lateCount) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.order {
		if !strings.HasPrefix(q.path, prefix) || q.sent <= acknowledged+configApplyS || slices.Contains(without, q.machine) {
			continue
		}
		c.sent++
		if !slices.ContainsFunc(q.runs, func(x run) bool { return x.service == oldService }) {
			continue
		}
		c.late++
		c.last = max(c.last, q.sent)
		if q.sent > acknowledged+configApplyS+maxStretchS {
			c.stretched++
		}
	}
	return c
}
