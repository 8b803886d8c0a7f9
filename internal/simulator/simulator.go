// Package simulator plays the load of a heavy day against the decision code of the
// daemons, without a network: the selector of each sender, the retrier of each
// request, the admitter and the estimator of each instance. Policies are compared
// side by side on the same arrivals, work and noise.
//
// The model: callers arrive at random and come back after a refusal; a run takes
// longer on a VM that other work slows down, near a full instance and in a cold
// start, and keeps the speed of its start; reports and attempts take a fixed time on
// the way.
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

// happening is something that is due at a time. Those of one time happen in the order
// in which they were planned.
type happening struct {
	at    timer.Millis
	order uint64
	do    func()
}

type agenda []happening

// Len implements heap.Interface.
func (a agenda) Len() int { return len(a) }

// Less implements heap.Interface.
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}

// Swap implements heap.Interface.
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { *a = append(*a, x.(happening)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// world is one run of the model.
type world struct {
	load     Load
	policies Policies
	now      timer.Millis
	agenda   agenda
	planned  uint64
	// arrivals decides when callers come and how much work they bring, and differs
	// from the randomness of the policies, so that these meet the same load.
	arrivals  *rand.Rand
	choices   *rand.Rand
	instances []*instance
	byID      map[identifier.InstanceID]*instance
	senders   []*sender
	sequence  uint64
	// open is the number of callers without an end.
	open   int
	report Report
}

// Streams of randomness of one seed.
const (
	streamArrivals = iota + 1
	streamChoices
	streamNoise
)

// Run plays a load with policies. Equal arguments give equal reports.
func Run(load Load, policies Policies) (Report, error) {
	if err := load.check(); err != nil {
		return Report{}, err
	}
	w := &world{
		load: load, policies: policies, byID: map[identifier.InstanceID]*instance{},
		arrivals: rand.New(rand.NewPCG(load.Seed, streamArrivals)),
		choices:  rand.New(rand.NewPCG(load.Seed, streamChoices)),
		report:   newReport(load, policies),
	}
	noise := rand.New(rand.NewPCG(load.Seed, streamNoise))
	for i := range load.Instances {
		w.addInstance(i, noise)
	}
	for range load.Senders {
		w.addSender()
	}
	for _, at := range load.Restarts {
		w.at(at, func() {
			for _, in := range w.instances {
				in.restart()
			}
		})
	}
	w.arrive()
	for w.now < load.Duration || w.open > 0 {
		next := heap.Pop(&w.agenda).(happening) // The ticks of the instances go on for ever.
		w.now = next.at
		next.do()
	}
	w.report.finish()
	return w.report, nil
}

// at plans something.
func (w *world) at(at timer.Millis, do func()) {
	w.planned++
	heap.Push(&w.agenda, happening{at: max(at, w.now), order: w.planned, do: do})
}

func (w *world) after(wait timer.Millis, do func()) { w.at(w.now+wait, do) }

// arrive lets a caller come, and plans the next one.
func (w *world) arrive() {
	if w.now >= w.load.Duration {
		return
	}
	gap := w.arrivals.ExpFloat64() * float64(timer.Second) / w.load.PerSecond
	work := timer.Millis(float64(w.load.Work) * (1 - w.load.Spread + w.load.Spread*w.arrivals.ExpFloat64()))
	home := w.arrivals.IntN(len(w.senders))
	if w.now > 0 {
		w.report.offer(w.now)
		w.open++
		w.senders[home].begin(&caller{arrived: w.now, work: max(1, work), left: w.load.CallerRetries})
	}
	w.after(max(1, timer.Millis(gap)), w.arrive)
}

// caller is a request with its returns after refusals.
type caller struct {
	// arrived is when it came first; what it gets counts for that time.
	arrived timer.Millis
	work    timer.Millis
	left    int
}
