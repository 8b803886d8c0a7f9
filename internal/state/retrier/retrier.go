// Package retrier controls the attempts of one request: when to send an attempt
// or a hedge, when to query whether an attempt has started, and how to answer
// the caller.
//
// Every attempt that was sent may have run until it is proven not to have. A
// request that may not be repeated therefore has at most one such attempt, and
// "not run" is answered only when all attempts are proven not run.
//
// # Usage
//
//	request := retrier.New(retrier.Config{
//		Deadline:     now + timeout,
//		MaxAttempts:  3,
//		StallTimeout: latencies.StallTimeout(),
//	}, budgets)
//	for _, action := range request.Step(now, retrier.Begin{}) {
//		switch a := action.(type) {
//		case retrier.Send:
//			...
//		}
//	}
//
// A Retrier is not safe for concurrent use, and budgets are shared by the
// requests of a service; their owner serialises calls or passes budgets that
// lock.
package retrier

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"

	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
)

const (
	// maxAttempts limits the attempts of a request whatever its configuration.
	maxAttempts = 8
	// defaultStallTimeout is used if the configuration gives none.
	defaultStallTimeout timer.Millis = 250
	// maxBrokenQueries limits the queries about an attempt that can no longer
	// answer, so that a caller does not wait until the deadline for a daemon that
	// has stopped. The second query covers the loss of the first.
	maxBrokenQueries = 2
)

// Limiter is a budget. Take reports whether one more is allowed, and counts it
// if so.
type Limiter interface{ Take(now timer.Millis) bool }

// Budgets are the budgets of the service. A nil budget allows nothing.
type Budgets struct {
	Retries Limiter
	Hedges  Limiter
	Queries Limiter
}

// Config describes a request.
type Config struct {
	// Deadline is the time by which the caller is answered.
	Deadline timer.Millis
	// Idempotent allows retries after an attempt that may have run, and hedging.
	Idempotent bool
	// Keyed says that the request holds the claim of an idempotency key. It is
	// never repeated, and it continues after the caller has disconnected, so that
	// the caller's next request with the key gets the answer.
	Keyed bool
	// MaxAttempts includes the first attempt and hedges; at most 8.
	MaxAttempts int
	// StallTimeout is the time without an answer after which an attempt is
	// queried. Each further query follows at twice the time of the one before.
	// Zero means 250 ms.
	StallTimeout timer.Millis
	// HedgeDelay is the time after which a second attempt is sent. Zero means
	// no hedging.
	HedgeDelay timer.Millis
	// FreeRefusals is the number of attempts, refused before they reached a
	// backend server, that count neither as attempts nor against the budgets.
	FreeRefusals int
	// Solo marks a request suspected of crashing backend servers. It is never
	// repeated.
	Solo bool
}

func (c Config) repeatable() bool { return c.Idempotent && !c.Keyed && !c.Solo }

// Retrier controls the attempts of one request.
type Retrier struct {
	config  Config
	budgets Budgets

	attempts     [maxAttempts]attempt
	sent         Attempt
	freeRefusals int // See Config.FreeRefusals.
	tokensTaken  int // Tokens taken for attempts after the first.
	begun        bool
	finished     bool
	callerGone   bool
	exhausted    bool
	hedgeAt      timer.Millis // Zero when no hedge is scheduled.
	wakeAt       timer.Millis // Zero when no timer is set.
	now          timer.Millis

	reason     classifier.Reason
	retryAfter timer.Millis

	actions []Action
	buffer  [4]Action
}

// New returns a Retrier that starts with a Begin event.
func New(config Config, budgets Budgets) *Retrier {
	config.MaxAttempts = min(max(config.MaxAttempts, 1), maxAttempts)
	if config.StallTimeout <= 0 {
		config.StallTimeout = defaultStallTimeout
	}
	r := &Retrier{config: config, budgets: budgets}
	r.actions = r.buffer[:0]
	return r
}

// Step processes an event and returns the actions to carry out, in order. The
// result is valid until the next call. A time before that of an earlier call
// counts as the latest one.
func (r *Retrier) Step(now timer.Millis, event Event) []Action {
	if r.finished {
		return nil
	}
	r.now = max(r.now, now)
	r.actions = r.actions[:0]
	r.apply(event)
	if !r.finished {
		r.advance()
	}
	return r.actions
}

func (r *Retrier) apply(event Event) {
	switch e := event.(type) {
	case Begin:
		if !r.begun && r.config.repeatable() && r.config.HedgeDelay > 0 {
			r.hedgeAt = r.now + r.config.HedgeDelay
		}
		r.begun = true
	case Answered:
		r.answered(e)
	case NotRun:
		r.notRun(e)
	case Unknown:
		if a := r.attemptByNumber(e.Attempt); a != nil {
			// Without queries an attempt cannot be proven not to have run.
			noQuery := r.config.repeatable() || r.budgets.Queries == nil
			a.connectionLost(r.now, r.config.StallTimeout, noQuery)
		}
	case FenceResult:
		r.fenceResult(e)
	case Timer:
		r.wakeAt = 0
	case CallerGone:
		r.callerGone = true
	case NoInstance:
		r.exhausted = true
		r.notRun(NotRun{Attempt: e.Attempt, Reason: classifier.NoInstance})
	}
}

func (r *Retrier) attemptByNumber(number Attempt) *attempt {
	if number < 1 || number > r.sent {
		return nil
	}
	return &r.attempts[number-1]
}

func (r *Retrier) answered(e Answered) {
	a := r.attemptByNumber(e.Attempt)
	switch {
	case a == nil:
	case e.Complete:
		a.state = answered
		r.finish(Finish{Outcome: OutcomeComplete, Attempt: e.Attempt})
	case a.state != notRun:
		a.state = lost
	}
}

func (r *Retrier) notRun(e NotRun) {
	a := r.attemptByNumber(e.Attempt)
	if a == nil {
		return
	}
	if a.state != notRun && !e.ReachedBackend && r.freeRefusals < r.config.FreeRefusals {
		a.uncounted = true
		r.freeRefusals++
	}
	a.state = notRun
	// The reason of a refusal takes precedence over NoInstance.
	if e.Reason != classifier.NoInstance || r.reason == "" {
		r.reason = e.Reason
	}
	if e.Reason == classifier.Quarantined || e.Reason == classifier.SenderBehind {
		r.exhausted = true
	}
	if e.RetryAfter > 0 && (r.retryAfter == 0 || e.RetryAfter < r.retryAfter) {
		r.retryAfter = e.RetryAfter
	}
}

func (r *Retrier) fenceResult(e FenceResult) {
	a := r.attemptByNumber(e.Attempt)
	if a == nil {
		return
	}
	switch e.State {
	case FenceNotRun:
		if a.state == pending {
			r.add(CancelAttempt{Attempt: e.Attempt})
		}
		r.notRun(NotRun{Attempt: e.Attempt, Reason: classifier.Fenced})
	case FenceRunning:
		if a.state == broken {
			a.state = lost
		}
	case FenceFinished:
		a.reportedFinished(r.now, r.config.StallTimeout)
	case FenceUnknown:
	}
}

// advance ends the request or issues the actions that are due after an event.
func (r *Retrier) advance() {
	switch {
	case r.now >= r.config.Deadline:
		r.finishIncomplete(classifier.Deadline)
		return
	case r.callerGone && !(r.config.Keyed && r.open()):
		r.finishIncomplete(classifier.CallerGone)
		return
	case !r.begun:
		return
	}
	for number := Attempt(1); number <= r.sent; number++ {
		r.checkAttempt(number)
	}
	switch {
	case r.sent == 0:
		r.send(false)
	case !r.open():
		if !r.mayRetry() {
			r.finishIncomplete("")
			return
		}
		r.send(false)
	case r.hedgeAt > 0 && r.now >= r.hedgeAt:
		r.hedge()
	}
	r.setTimer()
}

// checkAttempt queries or gives up an attempt that is due.
func (r *Retrier) checkAttempt(number Attempt) {
	a := &r.attempts[number-1]
	if !a.open() || r.now < a.due {
		return
	}
	if a.state == broken && a.queries >= maxBrokenQueries {
		a.state = lost
		return
	}
	if a.finished {
		a.state = lost
		r.add(CancelAttempt{Attempt: number})
		return
	}
	a.queries++
	a.due = r.now + a.interval
	if a.state == pending {
		a.interval *= 2
	}
	if takeFrom(r.budgets.Queries, r.now) {
		r.add(Query{Attempt: number})
	}
}

// open reports whether an attempt may still answer or is being queried.
func (r *Retrier) open() bool {
	for i := range r.sent {
		if r.attempts[i].open() {
			return true
		}
	}
	return false
}

// mayRetry reports whether another attempt is allowed, and takes a token from the
// retry budget if so.
func (r *Retrier) mayRetry() bool {
	if r.callerGone || r.exhausted || r.countedAttempts() >= r.config.MaxAttempts || int(r.sent) >= maxAttempts {
		return false
	}
	if !r.config.repeatable() && !r.provenNotRun() {
		return false
	}
	return r.takeToken(r.budgets.Retries)
}

// countedAttempts returns the number of attempts that may have reached a backend server.
func (r *Retrier) countedAttempts() int { return int(r.sent) - r.freeRefusals }

// takeToken takes a token for an attempt unless it would be the first to reach a
// backend server.
func (r *Retrier) takeToken(budget Limiter) bool {
	if r.config.FreeRefusals > 0 && r.tokensTaken >= r.countedAttempts() {
		return true
	}
	if !takeFrom(budget, r.now) {
		return false
	}
	r.tokensTaken++
	return true
}

func (r *Retrier) provenNotRun() bool {
	for i := range r.sent {
		if r.attempts[i].state != notRun {
			return false
		}
	}
	return true
}

func (r *Retrier) hedge() {
	r.hedgeAt = 0
	if !r.exhausted && r.countedAttempts() < r.config.MaxAttempts && int(r.sent) < maxAttempts && r.takeToken(r.budgets.Hedges) {
		r.send(true)
	}
}

func (r *Retrier) send(hedge bool) {
	previous := r.sent
	r.attempts[r.sent] = attempt{due: r.now + r.config.StallTimeout, interval: r.config.StallTimeout}
	r.sent++
	r.add(Send{Attempt: r.sent, ExcludeUpTo: previous, Hedge: hedge})
}

// setTimer requests a Timer event unless one is set for the same time or earlier.
func (r *Retrier) setTimer() {
	at := r.config.Deadline
	if r.hedgeAt > 0 {
		at = min(at, r.hedgeAt)
	}
	for i := range r.sent {
		if a := &r.attempts[i]; a.open() {
			at = min(at, a.due)
		}
	}
	if r.wakeAt == 0 || at < r.wakeAt {
		r.wakeAt = at
		r.add(Wake{At: at})
	}
}

// finishIncomplete finishes without a complete answer. If all attempts are
// proven not run, the reason of a refusal takes precedence over the given one.
func (r *Retrier) finishIncomplete(reason classifier.Reason) {
	if !r.provenNotRun() {
		if reason == "" {
			reason = classifier.NoAnswer
		}
		r.finish(Finish{Outcome: OutcomeUnknown, Reason: reason})
		return
	}
	if r.reason != "" {
		reason = r.reason
	}
	r.finish(Finish{Outcome: OutcomeNotRun, Reason: reason, RetryAfter: r.retryAfter})
}

func (r *Retrier) finish(f Finish) {
	for i := range r.sent {
		if r.attempts[i].state == pending {
			r.add(CancelAttempt{Attempt: i + 1})
		}
	}
	r.finished = true
	r.add(f)
}

func (r *Retrier) add(action Action) { r.actions = append(r.actions, action) }

func takeFrom(budget Limiter, now timer.Millis) bool { return budget != nil && budget.Take(now) }
