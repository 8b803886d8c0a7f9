// Package generator sends open-loop load, whose send times do not depend on the
// answers, and checks every answer.
//
// Latency is measured from the intended send time, so that a stall of the
// system under test is not left out (coordinated omission, after Gil Tene).
// Times are taken from the time package, since pkg/timer counts milliseconds
// and the latencies of interest are below one millisecond.
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

// The dispatcher sleeps at most this long, so that it notices the end of the
// context.
const maxPause = 50 * time.Millisecond

// A faulty system may give many bad answers; the first ones are enough to find
// the cause.
const maxLoggedBadAnswers = 20

type run struct {
	config      Config
	clock       timer.Clock
	log         *slog.Logger
	random      *rand.Rand
	idPrefix    string // prefix of request ids
	targets     []*target
	direct      []*target
	totalWeight float64 // sum of the weights in the plan
	recorder    *recorder
	sequence    uint64
	start       time.Time

	arrivals    chan arrival
	senders     sync.WaitGroup
	senderSlots chan struct{}
	mu          sync.Mutex
	badAnswers  int
}

// Run sends the load of a configuration, waits for the answers and audits them.
// When the context ends, it stops sending and reports the results so far.
func Run(ctx context.Context, config Config, clock timer.Clock, log *slog.Logger) (Report, error) {
	if err := checkConfig(config); err != nil {
		return Report{}, err
	}
	r := &run{
		config: config, clock: clock, log: log,
		random:      rand.New(rand.NewPCG(config.Seed, 0)),
		idPrefix:    fmt.Sprintf("%x-%x", config.Seed, int64(clock.Wall())),
		recorder:    newRecorder(),
		arrivals:    make(chan arrival),
		senderSlots: make(chan struct{}, config.MaxInFlight),
	}
	for _, address := range config.Targets {
		r.targets = append(r.targets, newTarget(address, config))
	}
	for _, address := range config.Direct {
		r.direct = append(r.direct, newTarget(address, config))
	}
	for _, kind := range config.Plan {
		r.totalWeight += kind.Weight
	}
	before := processorTime()
	r.dispatch(ctx)
	sent := time.Since(r.start)
	close(r.arrivals)
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

func checkConfig(config Config) error {
	if len(config.Targets)+len(config.Direct) == 0 {
		return Error.New("neither ingress addresses nor backend servers are given")
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

// dispatch assigns the arrivals to senders at their intended send times. It never
// waits for a sender.
func (r *run) dispatch(ctx context.Context) {
	schedule := NewSchedule(r.config, r.random)
	r.start = time.Now()
	for ctx.Err() == nil {
		at, more := schedule.Next()
		if !more {
			return
		}
		next := r.newArrival(at)
		for left := at - time.Since(r.start); left > 0; left = at - time.Since(r.start) {
			pause(min(left, maxPause))
			if ctx.Err() != nil {
				return
			}
		}
		r.assign(next)
	}
}

// assign passes an arrival to an idle sender or a new one.
func (r *run) assign(next arrival) {
	select {
	case r.arrivals <- next:
		return
	default:
	}
	select {
	case r.senderSlots <- struct{}{}:
		r.senders.Go(func() { r.runSender(next) })
	default:
		kind := r.config.Plan[next.kind].Name
		r.recorder.add(result{via: next.via, kind: kind, at: next.at, outcome: Unsent, reason: ReasonClientLimit})
	}
}

// newArrival draws the kind and key of a request and selects its target.
func (r *run) newArrival(at time.Duration) arrival {
	r.sequence++
	next := arrival{at: at, kind: r.drawKind(), via: Proxied, target: int(r.sequence)}
	if len(r.direct) > 0 && (len(r.targets) == 0 || r.sequence%2 == 0) {
		next.via = Direct
	}
	if len(r.direct) > 0 && len(r.targets) > 0 {
		next.target /= 2
	}
	kind := r.config.Plan[next.kind]
	next.request = requestID(r.idPrefix, kind.Idempotent(), r.sequence)
	next.key = newKey(kind.Key, r.clock.Wall(), r.random)
	return next
}

func (r *run) drawKind() int {
	drawn := r.random.Float64() * r.totalWeight
	for i, kind := range r.config.Plan {
		drawn -= kind.Weight
		if drawn < 0 {
			return i
		}
	}
	return len(r.config.Plan) - 1
}

func (r *run) runSender(first arrival) {
	s := &sender{run: r}
	s.handle(first)
	for next := range r.arrivals {
		s.handle(next)
	}
}

// handle sends a request and records the result. A request with a key is resent
// after the outcome unknown.
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
		ended.sendLatency = time.Since(sentAt)
		if ended.outcome != Unknown || a.key == "" || a.via == Direct || ended.resends >= config.ResendUnknown {
			break
		}
		ended.resends++
		time.Sleep(config.ResendDelay.Duration())
	}
	ended.latency = time.Since(intended)
	ended.timely = ended.latency <= kind.TimeoutMs.Duration()
	// After a resend, the outcome not run applies only to the resend: the first
	// send may have run.
	if ended.outcome == NotRun && ended.resends == 0 {
		s.run.recorder.addRefusal(refusal{request: a.request, key: a.key})
	}
	s.run.recorder.add(ended)
}

// logBadAnswer logs the first wrong or partial answers.
func (r *run) logBadAnswer(a arrival, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.badAnswers++
	if r.badAnswers <= maxLoggedBadAnswers {
		r.log.Error("wrong or partial answer", "request", string(a.request), "via", string(a.via), "error", err.Error())
	}
}

// requestID marks whether a request is idempotent, so that the audit can tell
// which requests must not run twice.
func requestID(idPrefix string, idempotent bool, sequence uint64) answer.RequestID {
	mark := nonIdempotentMark
	if idempotent {
		mark = idempotentMark
	}
	return answer.RequestID(fmt.Sprintf("%s%s%x", idPrefix, mark, sequence))
}
