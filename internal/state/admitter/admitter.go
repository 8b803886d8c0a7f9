// Package admitter decides from local state whether an attempt may start on the
// backend server beside the daemon.
//
// The limit is the lowest of the sheet's limit, the announced slots, the cold
// limit and the share allowed to a failure domain that has returned to service.
// Attempts above the limit are queued by priority. Among those of one priority, calls
// of running work go first, then the accounts that wait share the starts equally;
// attempts without an account are in arrival order. The queue is bounded by length and
// by deadline. If it is full, the last attempt of the account with the most queued
// attempts of the lowest priority is refused.
//
// # Usage
//
// The owner serialises all events. It passes Tick every 50 ms, and DomainState,
// Limits and Contact whenever they occur:
//
//	a := admitter.New()
//	actions = a.Step(clock.Now(), admitter.Arrive{Attempt: id, Remaining: 2000}, actions[:0])
//	for _, action := range actions {
//		switch v := action.(type) {
//		case admitter.Start:   // forward, later pass Complete
//		case admitter.Refuse:  // fence, then answer not_run
//		case admitter.Drained: // continue the graceful stop
//		case admitter.BackendCrash:    // pass to the quarantiner, then pass Restrict
//		case admitter.PauseDetected: // pass current Limits and DomainState
//		}
//	}
//
// An attempt must be admitted by the fencer first, which keeps a repeated id
// from starting twice. A repeated arrival of a queued or running attempt causes
// no action for it.
//
// Nothing starts before Limits, DomainState, Contact and an Announce with state
// Ready have been received.
package admitter

import (
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// pauseThreshold is the gap between events or between ticks above which the
	// process counts as paused. Ticks arrive every 50 ms.
	pauseThreshold = timer.Second
	// isolationTimeout is how long attempts are admitted without contact. After
	// it, the failure domain may have been taken out of service without this
	// daemon having learned of it.
	isolationTimeout = 10 * timer.Second
)

// Admitter is the admission control of one backend server. It is not safe for
// concurrent use.
type Admitter struct {
	now, lastTick   timer.Millis
	stepped, paused bool

	limits      Limits
	domain      DomainState
	domainKnown bool
	lastContact timer.Millis
	contacted   bool
	soleMember  bool
	stopping    bool
	drained     bool

	backend     backend
	predecessor predecessor
	ramp        ramp
	startRate   startRate
	allowance   allowance
	queue       queue
	returns     returnTimes
	running     map[identifier.AttemptID]run
	soloRuns    bool
}

// run is a started attempt.
type run struct {
	flow           *flow
	fingerprint    identifier.Fingerprint
	hasFingerprint bool
	solo           bool
	// crashReported means that the attempt was listed in a BackendCrash.
	crashReported bool
	// announcedSinceCrash means that the backend server had announced itself
	// since its last known crash when the attempt started.
	announcedSinceCrash bool
	epoch               uint32
	incarnation         identifier.Incarnation
}

// New returns an Admitter that refuses every attempt until it has received
// Limits, DomainState, Contact and an Announce.
func New() *Admitter {
	return &Admitter{running: make(map[identifier.AttemptID]run)}
}

// Step handles one event and appends the resulting actions to the given slice.
// A time earlier than that of the last event is treated as that time.
func (a *Admitter) Step(now timer.Millis, event Event, actions []Action) []Action {
	actions = a.advanceTime(now, event, actions)
	switch e := event.(type) {
	case Arrive:
		return a.arrive(e, actions)
	case Complete:
		var crashed bool
		if actions, crashed = a.complete(e, actions); crashed {
			return a.appendDrained(a.pruneQueue(actions))
		}
	case Cancel:
		if i := a.queue.find(e.Attempt); i >= 0 {
			actions = a.refuse(i, classifier.Deadline, actions)
		}
	case Restrict:
		return a.pruneQueue(a.restrict(e, actions))
	case Announce:
		a.announce(e)
	case Limits:
		actions = a.applyLimits(e, actions)
	case DomainState:
		a.domain, a.domainKnown, a.paused = e, true, false
	case Contact:
		a.lastContact, a.contacted, a.soleMember = a.now, true, e.SoleMember
	case StartRateLimit:
		a.startRate.set(a.now, e)
	case RateLimit:
		a.allowance.set(a.now, e)
	case Tick:
		a.returns.forget(a.now)
	case Drain:
		if !a.stopping {
			a.stopping, a.drained = true, false
		}
	}
	return a.appendDrained(a.start(a.pruneQueue(actions)))
}

// advanceTime sets the current time and detects pauses.
func (a *Admitter) advanceTime(now timer.Millis, event Event, actions []Action) []Action {
	now = max(now, a.now)
	_, tick := event.(Tick)
	gap := a.stepped && max(now-a.now, now-a.lastTick) > pauseThreshold
	if gap || tick || !a.stepped {
		a.lastTick = now
	}
	a.now, a.stepped = now, true
	if gap {
		if !a.paused {
			actions = append(actions, PauseDetected{})
		}
		a.paused = true
	}
	return actions
}

func (a *Admitter) arrive(e Arrive, actions []Action) []Action {
	if _, runs := a.running[e.Attempt]; runs || a.queue.find(e.Attempt) >= 0 {
		return a.start(a.pruneQueue(actions))
	}
	actions = a.pruneQueue(actions)
	reason := a.closedReason()
	remaining := min(e.Remaining, a.limits.MaxTimeout)
	switch {
	case reason != "":
	case e.ConfigurationVersion > a.limits.Version:
		reason = classifier.ConfigBehind
	case remaining <= 0:
		reason = classifier.Deadline
	case e.Solo && a.queue.soloCount >= maxQueuedSolo:
		reason = classifier.Overloaded
	}
	if reason != "" {
		actions = append(actions, Refuse{Attempt: e.Attempt, Reason: reason, RetryAfter: a.retryAfter(reason)})
		return a.start(actions)
	}
	startBy := a.now + remaining
	if e.MaxWait > 0 {
		startBy = min(startBy, a.now+e.MaxWait)
	}
	key := flowKey{class: classKey{priority: e.Priority, nested: e.Nested}, account: e.Account}
	a.queue.push(key, entry{
		attempt: e.Attempt, deadline: a.now + remaining, startBy: startBy, arrivedAt: a.now,
		fingerprint: e.Fingerprint, hasFingerprint: e.HasFingerprint, solo: e.Solo,
	})
	actions = a.start(actions)
	position := a.queue.find(e.Attempt)
	if position < 0 {
		return actions
	}
	// No later attempt of another account can make room for this one, since it waits
	// only for those that go before it.
	if a.predictedWait(position+1) >= startBy-a.now {
		return a.refuse(position, a.overloadReason(), actions)
	}
	if a.queue.len() > a.limits.MaxQueue || position < a.queue.len()-1 && a.lastTooLate() {
		return a.refuseLast(actions)
	}
	return actions
}

// complete ends an attempt and reports whether it added a BackendCrash.
func (a *Admitter) complete(e Complete, actions []Action) ([]Action, bool) {
	r, runs := a.running[e.Attempt]
	if !runs {
		return actions, false
	}
	crashed := e.Result == Crashed && !r.crashReported
	if crashed {
		actions = append(actions, a.recordCrash(r))
	}
	delete(a.running, e.Attempt)
	a.queue.order.ended(r.flow)
	if r.solo {
		a.soloRuns = false
	}
	if e.Result == ConnectionRefused && r.incarnation == a.backend.incarnation {
		a.backend.announcedSinceCrash = false
	}
	unreachable := e.Result == ConnectionRefused || crashed
	if r.incarnation != a.backend.incarnation || (r.epoch != a.ramp.epoch && !unreachable) || r.crashReported {
		return actions, crashed
	}
	if a.ramp.observe(e.Result, e.Latency) {
		a.ramp.reset(a.now, a.limits.ColdLimit)
	} else if e.Result == OK {
		a.ramp.complete(a.now, a.limits.RampCompletions, a.backend.slots)
	}
	return actions, crashed
}

// applyLimits applies a configuration that is not older than the current one and
// refuses the attempts at the end of a queue that has become too long.
func (a *Admitter) applyLimits(e Limits, actions []Action) []Action {
	if e.Version < a.limits.Version {
		return actions
	}
	a.limits = e
	if a.ramp.cold && !a.ramp.raised {
		a.ramp.limit = max(1, e.ColdLimit)
	}
	for a.queue.len() > max(0, e.MaxQueue) {
		actions = a.refuseLast(actions)
	}
	return actions
}

// appendDrained adds Drained once per drain, when no attempt is running any more.
func (a *Admitter) appendDrained(actions []Action) []Action {
	if !a.draining() {
		a.drained = false
		return actions
	}
	if a.drained || len(a.running) > 0 {
		return actions
	}
	a.drained = true
	return append(actions, Drained{})
}
