package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Times and sizes of the case "poison".
const (
	poisonPath = pathRead + "poison"
	// crashTime is the time from a crash of an instance until it is back.
	crashTime = 2 * time.Second
	// roundTries is the number of times that the client sends the request in a round until
	// it reaches an instance, retryPause the time between two of them.
	roundTries = 10
	retryPause = 250 * time.Millisecond
	// roundPause is the time between two rounds.
	roundPause = 3 * time.Second
	// rounds is the number of rounds at first and after each restart.
	rounds = 3
	// restarts is the number of daemons that are stopped and started again.
	restarts = 3
	// settledCrashes is the number of crashes, and allowedRetries that of retries which may
	// reach an instance later than ContactS after them.
	settledCrashes, allowedRetries = 3, 3
	poisonLoad                     = 20 * time.Millisecond
	// orderWork is the time that an order takes.
	orderWork = 160 * time.Millisecond
)

// poisonFleet has four instances of the service that the routes lead to.
var poisonFleet = []place{
	{"zone-aarhus", servicePurchasing},
	{"zone-aalborg", servicePurchasing},
	{"zone-aarhus", servicePurchasing},
	{"zone-aalborg", servicePurchasing},
	{"zone-aarhus", serviceSurvey},
	{"zone-aalborg", serviceSurvey},
}

// hit is a run of the request that crashes instances.
type hit struct {
	id      string
	at      time.Time
	inTouch bool
}

// poison crashes each instance that begins to run one request.
type poison struct {
	record *record

	mu sync.Mutex
	// crashed are the instances that have crashed.
	crashed []*instance
	hits    []hit
	started map[*vm]time.Time // The latest start of the daemon.
	count   int
}

// arm makes the instance of a VM crash when it begins to run the request.
func (p *poison) arm(v *vm) {
	i := v.instance
	i.work = orderWork
	i.onPoison = func(a arrival) {
		p.mu.Lock()
		p.count++
		next := fmt.Sprintf("%s-%d", v.name, p.count)
		touched := p.started[v].IsZero() || time.Since(p.started[v]) > contactTime
		p.hits = append(p.hits, hit{a.id, a.at, touched})
		p.crashed = append(p.crashed, i)
		p.record.printf("instance %s crashes, crash %d, machine in touch %v", i.id, len(p.hits), touched)
		p.mu.Unlock()
		go p.restart(v, next)
	}
}

// restart ends the instance of a VM and starts another one in its place.
func (p *poison) restart(v *vm, id string) {
	v.instance.stopHeartbeats()
	v.instance.exit()
	time.Sleep(crashTime)
	next, err := startInstance(v, v.instance.service, id, p.record)
	if err != nil {
		p.record.printf("instance %s does not start: %v", id, err)
		return
	}
	next.setCold(warmupTime, 1<<30)
	v.instance = next
	p.arm(v)
}

// round sends the request until it reaches an instance.
func (p *poison) round(clients []*vm) {
	before := p.reached()
	for n := range roundTries {
		send(p.record, clients[n%len(clients)].addresses.Callers, "GET", poisonPath)
		if p.reached() > before {
			return
		}
		time.Sleep(retryPause)
	}
}

func (p *poison) reached() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.hits)
}

func (p *poison) rounds(clients []*vm) {
	for range rounds {
		p.round(clients)
		time.Sleep(roundPause)
	}
}

// runPoison shows how often a request that crashes instances reaches them while daemons are
// stopped as planned and started again, in turn.
func runPoison(e environment) error {
	f, err := startFleet(e, poisonFleet, configuration(1))
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return err
	}
	p := &poison{record: e.record, started: map[*vm]time.Time{}}
	beside, clients := f.vms[:4], f.vms[4:]
	for _, v := range beside {
		p.arm(v)
	}
	l := startLoad(e.record, clients, poisonLoad)
	defer l.end()
	time.Sleep(warmTime)
	p.rounds(clients)
	for _, v := range beside[:restarts] {
		if e.trouble {
			if err := p.restartDaemon(v); err != nil {
				return err
			}
		}
		p.rounds(clients)
	}
	return p.check()
}

// restartDaemon stops a daemon as planned, starts it again and waits until its machine is
// in touch.
func (p *poison) restartDaemon(v *vm) error {
	v.signal(syscall.SIGTERM)
	v.awaitEnd()
	time.Sleep(restartDelay)
	if err := v.start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.started[v] = time.Now()
	p.mu.Unlock()
	time.Sleep(contactTime + restartDelay)
	return v.awaitReady()
}

func (p *poison) check() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.hits) == 0 {
		return fmt.Errorf("the request reached no instance")
	}
	retries := 0
	if len(p.hits) > settledCrashes {
		settled := p.hits[settledCrashes-1].at.Add(contactTime)
		for _, h := range p.hits[settledCrashes:] {
			if h.inTouch && h.at.After(settled) {
				retries++
			}
		}
	}
	p.record.printf("%d crashes, %d of them by retries later than ContactS after the third", len(p.hits), retries)
	p.record.printf("%d other requests were at work in an instance that crashed and were lost", p.lost())
	if retries > allowedRetries {
		return fmt.Errorf("%w: BUDGET: a request that crashes instances reached them in %d retries later than ContactS after the third crash", errBroken, retries)
	}
	return nil
}

// lost returns the number of requests that ran in an instance that crashed and got no
// success, apart from those that crashed it. The caller holds the lock.
func (p *poison) lost() int {
	count := 0
	for n, i := range p.crashed {
		for _, a := range i.ran() {
			if status, answered := statuses.Load(a.id); answered && status != 200 && a.id != p.hits[n].id {
				count++
			}
		}
	}
	return count
}
