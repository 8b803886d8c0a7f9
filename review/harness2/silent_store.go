package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Bounds of the users' small deployments.
const (
	contactS     = 3.0
	configApplyS = 2.0
	maxStretchS  = 5.0
)

const (
	hostOffers = "offers.example"
	hostQuotes = "quotes.example"
)

// silentStore changes the configuration twice, half a second apart. Between the changes the
// connections that are open to the store go silent; new ones work. It counts the requests
// that the old service of the moved route runs although they were sent later than
// ConfigApplyS after the second acknowledgement, by machines in touch.
func silentStore(trouble bool, r *record) (broken bool, verdict []string, err error) {
	d, err := newDeployment(r, services, func(*http.Request) time.Duration { return 40 * time.Millisecond })
	if err != nil {
		return false, nil, err
	}
	defer d.stop()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return false, nil, err
	}
	p := &proxy{target: d.storeAddress}
	go p.serve(listener)
	routes := func(moved string, timeout float64) []route {
		return []route{
			{hostQuotes, "/lookup/", "quotes", "idempotent", timeout},
			{hostOffers, "/offer/", moved, "non_idempotent", 1},
		}
	}
	d.store.put("config", configuration(4, routes("offers", 0.8)...))
	if err := d.start(func(*machine) (string, error) { return listener.Addr().String(), nil }); err != nil {
		return false, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, m := range d.machines {
		c := newClient(d, m)
		go c.steady(ctx, 80*time.Millisecond, http.MethodPost, hostOffers, "/offer/", time.Second)
		go c.steady(ctx, 400*time.Millisecond, http.MethodGet, hostQuotes, "/lookup/", 800*time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	d.store.put("config", configuration(7, routes("offers", 0.9)...))
	r.event("operator: version 00000007 acknowledged (another time-out)")
	time.Sleep(200 * time.Millisecond)
	silentAt := r.now()
	if trouble {
		silentAt = r.event("the %d connections that are open to the store go silent; new ones work", p.silence())
	}
	time.Sleep(300 * time.Millisecond)
	d.store.put("config", configuration(9, routes("payouts", 0.9)...))
	acknowledged := r.event("operator: version 00000009 acknowledged (%s/offer/ moves from offers to payouts)", hostOffers)
	time.Sleep(8 * time.Second)
	cancel()
	time.Sleep(2 * time.Second)

	bound := max(acknowledged+configApplyS, silentAt+contactS)
	sent, late, last := 0, 0, 0.0
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.order {
		if len(q.path) < 7 || q.path[:7] != "/offer/" || q.sent <= bound {
			continue
		}
		sent++
		for _, run := range q.runs {
			if run.service == "offers" {
				late++
				last = max(last, q.sent)
				break
			}
		}
	}
	if sent == 0 {
		return false, nil, fmt.Errorf("no request was sent after the bound")
	}
	verdict = []string{
		fmt.Sprintf("version 00000009 acknowledged at %.3f; connections silent at %.3f (trouble: %v)", acknowledged, silentAt, trouble),
		fmt.Sprintf("bound: requests sent after %.3f (acknowledged + ConfigApplyS, machines in touch again)", bound),
		fmt.Sprintf("requests for the moved route sent after the bound: %d; run by the old service: %d; the last of these sent %.3f s after the bound", sent, late, max(0, last-bound)),
	}
	return late > 0, verdict, nil
}
