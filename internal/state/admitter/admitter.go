// Package admitter decides, on local knowledge, whether an attempt may start on
// the backend server beside the daemon.
//
// The limit is the lowest of the sheet, the announced slots, the cold limit and
// the share of a returned failure domain. Attempts above it wait in arrival
// order, bounded by number and deadline.
//
// # Usage
//
// The owner serialises all events, passes Tick every 50 ms and DomainState,
// Limits and Contact as they come:
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
// from starting twice. A repeated arrival of a queued or running attempt has no
// action.
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
	// pauseSpan is the gap between events or ticks that means the process was
	// paused; ticks come every 50 ms.
	pauseSpan = timer.Second
	// isolationSpan is how long attempts are admitted without contact. After it
	// the failure domain may have been taken out of service unnoticed.
	isolationSpan = 10 * timer.Second
)

// Admitter is the admission of one backend server. It is not safe for
// concurrent use.
type Admitter struct {
	now, lastTick timer.Millis
	begun, paused bool

	limits      Limits
	domain      DomainState
	domainKnown bool
	contact     timer.Millis
	contacted   bool
	alone       bool
	stopping    bool
	drained     bool

	backend     backend
	predecessor predecessor
	ramp        ramp
	pace        pace
	queue       queue
	running     map[identifier.AttemptID]run
	soloRuns    bool
}

// run is a started attempt.
type run struct {
	fingerprint    identifier.Fingerprint
	hasFingerprint bool
	solo           bool
	// lost means that it ran during a crash that was reported.
	lost bool
	// proven means that the backend server had announced itself since its last
	// known crash when the attempt started.
	proven      bool
	epoch       uint32
	incarnation identifier.Incarnation
}

// New returns an Admitter that refuses everything until it has been told of
// its backend server, configuration and contact.
func New() *Admitter {
	return &Admitter{running: make(map[identifier.AttemptID]run)}
}

// Step handles one event and appends the actions to a buffer of the caller.
// A time before that of the last event counts as that time.
func (a *Admitter) Step(now timer.Millis, event Event, actions []Action) []Action {
	actions = a.advance(now, event, actions)
	switch e := event.(type) {
	case Arrive:
		return a.arrive(e, actions)
	case Complete:
		var lost bool
		if actions, lost = a.complete(e, actions); lost {
			return a.report(a.flush(actions))
		}
	case Cancel:
		if i := a.queue.find(e.Attempt); i >= 0 {
			actions = a.refuse(i, classifier.Deadline, actions)
		}
	case Restrict:
		return a.flush(a.restrict(e, actions))
	case Announce:
		a.announce(e)
	case Limits:
		actions = a.apply(e, actions)
	case DomainState:
		a.domain, a.domainKnown, a.paused = e, true, false
	case Contact:
		a.contact, a.contacted, a.alone = a.now, true, e.SoleMember
	case StartRateLimit:
		a.pace.set(a.now, e)
	case Drain:
		if !a.stopping {
			a.stopping, a.drained = true, false
		}
	}
	return a.report(a.start(a.flush(actions)))
}

// advance moves time and detects pauses.
func (a *Admitter) advance(now timer.Millis, event Event, actions []Action) []Action {
	now = max(now, a.now)
	_, tick := event.(Tick)
	gap := a.begun && max(now-a.now, now-a.lastTick) > pauseSpan
	if gap || tick || !a.begun {
		a.lastTick = now
	}
	a.now, a.begun = now, true
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
		return a.start(a.flush(actions))
	}
	actions = a.flush(actions)
	reason := a.closed()
	remaining := min(e.Remaining, a.limits.MaxTimeout)
	switch {
	case reason != "":
	case e.ConfigurationVersion > a.limits.Version:
		reason = classifier.ConfigBehind
	case remaining <= 0:
		reason = classifier.Deadline
	case e.Solo && a.queue.solos >= soloQueue:
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
	a.queue.push(entry{
		attempt: e.Attempt, deadline: a.now + remaining, startBy: startBy, priority: e.Priority,
		fingerprint: e.Fingerprint, hasFingerprint: e.HasFingerprint, solo: e.Solo,
	})
	actions = a.start(actions)
	place := a.queue.find(e.Attempt)
	if place < 0 {
		return actions
	}
	if place >= a.limits.MaxQueue || a.wait(place+1) >= startBy-a.now {
		return a.refuse(place, a.overload(), actions)
	}
	if last := a.queue.len() - 1; last >= a.limits.MaxQueue {
		return a.refuse(last, a.overload(), actions)
	}
	return actions
}

// complete ends an attempt. It reports whether it returned BackendCrash.
func (a *Admitter) complete(e Complete, actions []Action) ([]Action, bool) {
	r, runs := a.running[e.Attempt]
	if !runs {
		return actions, false
	}
	lost := e.Result == Crashed && !r.lost
	if lost {
		actions = append(actions, a.lose(r))
	}
	delete(a.running, e.Attempt)
	if r.solo {
		a.soloRuns = false
	}
	if e.Result == ConnectionRefused && r.incarnation == a.backend.incarnation {
		a.backend.proven = false
	}
	dead := e.Result == ConnectionRefused || lost
	if r.incarnation != a.backend.incarnation || (r.epoch != a.ramp.epoch && !dead) || r.lost {
		return actions, lost
	}
	if a.ramp.observe(e.Result, e.Latency) {
		a.ramp.drop(a.now, a.limits.ColdLimit)
	} else if e.Result == OK {
		a.ramp.complete(a.now, a.limits.RampCompletions, a.backend.slots)
	}
	return actions, lost
}

// apply takes over a configuration that is not older and refuses the end of the
// queue if it has become too long.
func (a *Admitter) apply(e Limits, actions []Action) []Action {
	if e.Version < a.limits.Version {
		return actions
	}
	a.limits = e
	if a.ramp.cold && !a.ramp.raised {
		a.ramp.limit = max(1, e.ColdLimit)
	}
	for a.queue.len() > max(0, e.MaxQueue) {
		actions = a.refuse(a.queue.len()-1, a.overload(), actions)
	}
	return actions
}

// report adds Drained once per drain, when nothing runs any more.
func (a *Admitter) report(actions []Action) []Action {
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
