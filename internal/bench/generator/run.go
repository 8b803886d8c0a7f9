// Package generator sends load at times that do not depend on the answers, and
// checks every answer.
//
// Latency is measured from the intended send time, so that a stall of the
// system under test is not left out (coordinated omission, after Gil Tene).
// Times are taken from the time package, since pkg/timer counts milliseconds
// and the latencies of interest are below one.
//
// # Usage
//
//	report, err := generator.Run(ctx, config, timer.NewSystem(), logger)
//	if report.Violations() > 0 { ... }
package generator

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/answer"
	"github.com/magnoliaknot/magnoliaknot/internal/bench/listener"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Error is the class of errors of this package.
var Error = errs.Class("load")

// The dispatcher wakes this often at least, so that it sees the end of the
// context.
const longestPause = 50 * time.Millisecond

// A faulty system may give many bad answers; the first ones tell enough.
const maxReported = 20

type run struct {
	config   Config
	clock    timer.Clock
	log      *slog.Logger
	random   *rand.Rand
	name     string // prefix of request ids
	targets  []*target
	direct   []*target
	weights  float64 // sum of the plan
	recorder *recorder
	sequence uint64
	start    time.Time

	work     chan arrival
	senders  sync.WaitGroup
	slots    chan struct{}
	mu       sync.Mutex
	reported int
}

// Run sends the load of a configuration, waits for the answers and audits. When
// the context ends it sends no more and reports what it has.
func Run(ctx context.Context, config Config, clock timer.Clock, log *slog.Logger) (Report, error) {
	if err := check(config); err != nil {
		return Report{}, err
	}
	r := &run{
		config: config, clock: clock, log: log,
		random:   rand.New(rand.NewPCG(config.Seed, 0)),
		name:     fmt.Sprintf("%x-%x", config.Seed, int64(clock.Wall())),
		recorder: newRecorder(),
		work:     make(chan arrival),
		slots:    make(chan struct{}, config.MaxInFlight),
	}
	for _, address := range config.Targets {
		r.targets = append(r.targets, newTarget(address, config))
	}
	for _, address := range config.Direct {
		r.direct = append(r.direct, newTarget(address, config))
	}
	for _, kind := range config.Plan {
		r.weights += kind.Weight
	}
	before := processorTime()
	r.dispatch(ctx)
	sent := time.Since(r.start)
	close(r.work)
	r.senders.Wait()
	report := r.summarize(sent, processorTime()-before)
	if len(config.Audit) > 0 {
		time.Sleep(config.AuditDelay.Duration())
		audit, err := r.audit()
		if err != nil {
			return report, err
		}
		report.Audit = &audit
	}
	return report, nil
}

func check(config Config) error {
	if len(config.Targets)+len(config.Direct) == 0 {
		return Error.New("no target is given")
	}
	for _, address := range append(append([]identifier.Address{}, config.Targets...), config.Direct...) {
		if err := listener.CheckLoopback(address); err != nil {
			return Error.Wrap(err)
		}
	}
	if config.Pattern != Poisson && config.Pattern != Uniform {
		return Error.New("arrivals %q are not poisson or uniform", config.Pattern)
	}
	if !(config.Rate > 0) || len(config.Steps) == 0 || config.MaxInFlight < 1 {
		return Error.New("rate, duration and max-in-flight must be positive")
	}
	return CheckPlan(config.Plan)
}

// dispatch hands out the arrivals at their times. It never waits for a sender.
func (r *run) dispatch(ctx context.Context) {
	schedule := NewSchedule(r.config, r.random)
	r.start = time.Now()
	for ctx.Err() == nil {
		at, more := schedule.Next()
		if !more {
			return
		}
		next := r.arrival(at)
		for left := at - time.Since(r.start); left > 0; left = at - time.Since(r.start) {
			pause(min(left, longestPause))
			if ctx.Err() != nil {
				return
			}
		}
		r.hand(next)
	}
}

// hand passes an arrival to an idle sender or a new one.
func (r *run) hand(next arrival) {
	select {
	case r.work <- next:
		return
	default:
	}
	select {
	case r.slots <- struct{}{}:
		r.senders.Go(func() { r.sendAll(next) })
	default:
		kind := r.config.Plan[next.kind].Name
		r.recorder.add(result{via: next.via, kind: kind, at: next.at, outcome: Unsent, reason: ReasonClientLimit})
	}
}

// arrival draws the kind, key and way of a request.
func (r *run) arrival(at time.Duration) arrival {
	r.sequence++
	next := arrival{at: at, kind: r.drawKind(), via: Proxied, target: int(r.sequence)}
	if len(r.direct) > 0 && (len(r.targets) == 0 || r.sequence%2 == 0) {
		next.via = Direct
	}
	if len(r.direct) > 0 && len(r.targets) > 0 {
		next.target /= 2
	}
	kind := r.config.Plan[next.kind]
	next.request = requestID(r.name, kind.Idempotent(), r.sequence)
	next.key = newKey(kind.Key, r.clock.Wall(), r.random)
	return next
}

func (r *run) drawKind() int {
	drawn := r.random.Float64() * r.weights
	for i, kind := range r.config.Plan {
		drawn -= kind.Weight
		if drawn < 0 {
			return i
		}
	}
	return len(r.config.Plan) - 1
}

func (r *run) sendAll(first arrival) {
	s := &sender{run: r}
	s.handle(first)
	for next := range r.work {
		s.handle(next)
	}
}

// handle sends a request, again after unknown if it has a key, and records the
// result.
func (s *sender) handle(a arrival) {
	config := &s.run.config
	kind := config.Plan[a.kind]
	targets := s.run.targets
	if a.via == Direct {
		targets = s.run.direct
	}
	intended := s.run.start.Add(a.at)
	ended := result{via: a.via, kind: kind.Name, at: a.at, lateness: time.Since(intended)}
	for {
		sentAt := time.Now()
		ended.outcome, ended.reason = s.send(a, targets[(a.target+ended.resends)%len(targets)])
		ended.answered = time.Since(sentAt)
		if ended.outcome != Unknown || a.key == "" || a.via == Direct || ended.resends >= config.ResendUnknown {
			break
		}
		ended.resends++
		time.Sleep(config.ResendDelay.Duration())
	}
	ended.latency = time.Since(intended)
	ended.timely = ended.latency <= kind.TimeoutMs.Duration()
	// After a resend "not run" speaks of the resend only: the first send may
	// have run.
	if ended.outcome == NotRun && ended.resends == 0 {
		s.run.recorder.addRefusal(refusal{request: a.request, key: a.key})
	}
	s.run.recorder.add(ended)
}

// report logs the first wrong or partial answers.
func (r *run) report(a arrival, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reported++
	if r.reported <= maxReported {
		r.log.Error("bad answer", "request", string(a.request), "via", string(a.via), "error", err.Error())
	}
}

// requestID marks requests that may not be repeated, so that an audit can tell
// them apart.
func requestID(name string, idempotent bool, sequence uint64) answer.RequestID {
	mark := onceMark
	if idempotent {
		mark = repeatableMark
	}
	return answer.RequestID(fmt.Sprintf("%s%s%x", name, mark, sequence))
}
