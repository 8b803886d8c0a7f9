package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

// Bounds of quotas, and the quota of the tenant.
const (
	quotaWindowS = 5.0
	quotaOverage = 0.1
	quotaSlack   = 20.0
	tenantRate   = 20.0
	tenantBurst  = 20.0
)

const (
	// usualShare is the part of its rate that the tenant sends as a rule.
	usualShare = 0.95
	// hotFactor and hotS are the dose of the site's hot_tenant.
	hotFactor = 7.5
	hotS      = 6.5
	// killed is the number of daemons that are killed at the same moment, of ten.
	killed = 6
	// killAfter is the time from the beginning of the heat to the kill, downtime the time
	// until the platform starts the processes again.
	killAfter = 500 * time.Millisecond
	downtime  = 300 * time.Millisecond
)

// oneService is a deployment with one service in three zones.
var oneService = []place{
	{"quotes", "zone-a"},
	{"quotes", "zone-a"},
	{"quotes", "zone-a"},
	{"quotes", "zone-a"},
	{"quotes", "zone-b"},
	{"quotes", "zone-b"},
	{"quotes", "zone-b"},
	{"quotes", "zone-c"},
	{"quotes", "zone-c"},
	{"quotes", "zone-c"},
}

// hotTenant lets a tenant send many times its usual. Soon after, the daemon that last wrote to
// the store under a condition and five others are killed at the same moment. It counts the
// tenant's requests that were sent and ran within QuotaWindowS.
func hotTenant(trouble bool, r *record) (broken bool, verdict []string, err error) {
	d, err := newDeployment(r, oneService, func(*http.Request) time.Duration { return 30 * time.Millisecond })
	if err != nil {
		return false, nil, err
	}
	defer d.stop()
	d.store.put("config", configurationFor(4, []tenant{{"tenant-1", "key-of-tenant-1", tenantRate, tenantBurst}},
		route{hostQuotes, "/lookup/", "quotes", "idempotent", 0.8}))
	if err := d.start(func(*machine) (string, error) { return d.storeAddress, nil }); err != nil {
		return false, nil, err
	}
	var clients []*client
	for _, m := range d.machines {
		c := newClient(d, m)
		c.key = "key-of-tenant-1"
		clients = append(clients, c)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var hot atomic.Bool
	go func() {
		for ctx.Err() == nil {
			go clients[rand.IntN(len(clients))].send(http.MethodGet, hostQuotes, fmt.Sprintf("/lookup/%x", rand.Uint64()), "", 800*time.Millisecond)
			perSecond := usualShare * tenantRate
			if hot.Load() {
				perSecond *= hotFactor
			}
			time.Sleep(time.Duration(float64(time.Second) / perSecond))
		}
	}()
	time.Sleep(12 * time.Second)
	hot.Store(true)
	r.event("the tenant sends %.1f times its usual %.0f requests a second", hotFactor, usualShare*tenantRate)
	time.Sleep(killAfter)
	if trouble {
		if err := d.killHerd(); err != nil {
			return false, nil, err
		}
	}
	time.Sleep(time.Duration(hotS*float64(time.Second)) - killAfter)
	hot.Store(false)
	r.event("the tenant sends its usual again")
	time.Sleep(3 * time.Second)
	cancel()
	time.Sleep(2 * time.Second)

	most, from := mostWithin(r, quotaWindowS)
	bound := (tenantRate*quotaWindowS+tenantBurst)*(1+quotaOverage) + quotaSlack
	if most == 0 {
		return false, nil, fmt.Errorf("no request ran")
	}
	verdict = []string{
		fmt.Sprintf("most requests of the tenant that were sent and ran within %.0f s: %d, from %.3f on (trouble: %v)", quotaWindowS, most, from, trouble),
		fmt.Sprintf("bound: (%.0f x %.0f + %.0f) x %.1f + %.0f = %.0f", tenantRate, quotaWindowS, tenantBurst, 1+quotaOverage, quotaSlack, bound),
	}
	return float64(most) > bound, verdict, nil
}

// killHerd kills the daemon that last wrote to the store under a condition, which is the
// coordinator of quotas, and others with it, and starts them again.
func (d *deployment) killHerd() error {
	var coordinator struct {
		Node string `json:"node"`
	}
	if err := json.Unmarshal(d.store.value("keyed.control", "quota"), &coordinator); err != nil {
		return fmt.Errorf("no daemon has written under a condition: %w", err)
	}
	first := slices.IndexFunc(d.machines, func(m *machine) bool { return m.name == coordinator.Node })
	victims := []int{first}
	for _, i := range rand.Perm(len(d.machines)) {
		if i != first && len(victims) < killed {
			victims = append(victims, i)
		}
	}
	for _, i := range victims {
		_ = d.machines[i].process.Process.Kill()
	}
	d.record.event("%d of %d daemons are killed, %s among them", killed, len(d.machines), coordinator.Node)
	for _, i := range victims {
		_ = d.machines[i].process.Wait()
	}
	time.Sleep(downtime)
	for _, i := range victims {
		if err := d.startDaemon(d.machines[i]); err != nil {
			return err
		}
	}
	d.record.event("they are started again")
	return nil
}

// mostWithin returns the highest number of requests that were sent and arrived within a span
// of seconds, and the start of that span.
func mostWithin(r *record, span float64) (most int, from float64) {
	type arrival struct{ sent, at float64 }
	r.mu.Lock()
	defer r.mu.Unlock()
	var arrivals []arrival
	for _, q := range r.order {
		if len(q.runs) > 0 { // A repeat is the same request.
			arrivals = append(arrivals, arrival{q.sent, q.runs[0].at})
		}
	}
	for _, first := range arrivals {
		count := 0
		for _, a := range arrivals {
			if a.sent >= first.sent && a.at <= first.sent+span {
				count++
			}
		}
		if count > most {
			most, from = count, first.sent
		}
	}
	return most, from
}
