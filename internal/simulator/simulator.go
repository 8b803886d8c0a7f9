// Package simulator runs the load of a heavy day against the decision code of the
// daemons, without a network: the selector of each sender, the retrier of each
// request, the admitter and the estimator of each instance. Policies are compared on
// the same arrivals, work and noise.
//
// In the model, callers arrive at random and repeat refused requests. A run takes
// longer on a VM that other work slows down, on a nearly full instance and on a cold
// one; its duration is fixed at its start. Load reports and attempts have a fixed
// network delay.
//
// # Usage
//
//	report, err := simulator.Run(simulator.Standard()[0], simulator.Current())
//	fmt.Println(report)
package simulator

import (
	"container/heap"
	"math/rand/v2"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Error is the class of errors of this package.
var Error = errs.Class("simulator")

// scheduledEvent is a function that runs at a simulated time. Events of the same time
// run in the order in which they were scheduled.
type scheduledEvent struct {
	dueAt    timer.Millis
	sequence uint64
	run      func()
}

type eventQueue []scheduledEvent

// Len implements heap.Interface.
func (a eventQueue) Len() int { return len(a) }

// Less implements heap.Interface.
func (a eventQueue) Less(i, j int) bool {
	return a[i].dueAt < a[j].dueAt || a[i].dueAt == a[j].dueAt && a[i].sequence < a[j].sequence
}

// Swap implements heap.Interface.
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *eventQueue) Push(x any) { *a = append(*a, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (a *eventQueue) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// simulation is the state of one run of the model.
type simulation struct {
	load       Load
	policies   Policies
	now        timer.Millis
	events     eventQueue
	eventCount uint64
	// arrivalRand decides when callers arrive and how much work their requests are.
	// It is separate from policyRand, so that all policies get the same load.
	arrivalRand  *rand.Rand
	policyRand   *rand.Rand
	instances    []*instance
	instanceByID map[identifier.InstanceID]*instance
	senders      []*sender
	attemptCount uint64
	// openRequests is the number of callers without an outcome yet.
	openRequests int
	report       Report
}

// Random number streams of one seed.
const (
	streamArrivals = iota + 1
	streamPolicy
	streamNoise
)

// Run simulates a load with policies. Equal arguments give equal reports.
func Run(load Load, policies Policies) (Report, error) {
	if err := load.check(); err != nil {
		return Report{}, err
	}
	sim := &simulation{
		load: load, policies: policies, instanceByID: map[identifier.InstanceID]*instance{},
		arrivalRand: rand.New(rand.NewPCG(load.Seed, streamArrivals)),
		policyRand:  rand.New(rand.NewPCG(load.Seed, streamPolicy)),
		report:      newReport(load, policies),
	}
	noise := rand.New(rand.NewPCG(load.Seed, streamNoise))
	for i := range load.Instances {
		sim.addInstance(i, noise)
	}
	for range load.Senders {
		sim.addSender()
	}
	for _, at := range load.Restarts {
		sim.schedule(at, func() {
			for _, in := range sim.instances {
				in.restart()
			}
		})
	}
	sim.generateArrival()
	for sim.now < load.Duration || sim.openRequests > 0 {
		next := heap.Pop(&sim.events).(scheduledEvent) // The queue is never empty, since every instance schedules its next tick.
		sim.now = next.dueAt
		next.run()
	}
	sim.report.computeWorstShare()
	return sim.report, nil
}

// schedule runs a function at a simulated time, at the earliest now.
func (sim *simulation) schedule(dueAt timer.Millis, run func()) {
	sim.eventCount++
	heap.Push(&sim.events, scheduledEvent{dueAt: max(dueAt, sim.now), sequence: sim.eventCount, run: run})
}

func (sim *simulation) scheduleAfter(delay timer.Millis, run func()) {
	sim.schedule(sim.now+delay, run)
}

// generateArrival begins the request of a caller and schedules the next arrival.
func (sim *simulation) generateArrival() {
	if sim.now >= sim.load.Duration {
		return
	}
	gap := sim.arrivalRand.ExpFloat64() * float64(timer.Second) / (sim.load.PerSecond * sim.load.Accounts.rate(sim.now))
	work := timer.Millis(float64(sim.load.Work) * (1 - sim.load.Spread + sim.load.Spread*sim.arrivalRand.ExpFloat64()))
	sender := sim.arrivalRand.IntN(len(sim.senders))
	if sim.now > 0 {
		sim.report.countOffered(sim.now)
		sim.openRequests++
		c := &caller{arrived: sim.now, work: max(1, work), retriesLeft: sim.load.CallerRetries}
		if sim.load.Accounts.Count > 0 {
			c.account = sim.load.Accounts.pick(sim.now, sim.arrivalRand.Float64())
		}
		if sim.load.Accounts.burst(sim.now) {
			sim.report.Accounts[c.account-1].Offered++
		}
		sim.senders[sender].beginRequest(c)
	}
	sim.scheduleAfter(max(1, timer.Millis(gap)), sim.generateArrival)
}

// caller is a caller with one request, which it may repeat after refusals.
type caller struct {
	// arrived is when it sent its first request; an answer within the target is
	// counted for that second.
	arrived     timer.Millis
	work        timer.Millis
	account     uint32
	retriesLeft int
}
