package admitter

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"

	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
)

// closedReason returns why no attempt may start or wait now, or an empty reason.
func (a *Admitter) closedReason() classifier.Reason {
	switch {
	case a.draining():
		return classifier.Draining
	case a.domainKnown && a.domain.Out:
		return classifier.DomainOut
	case a.isolated():
		return classifier.Isolated
	case a.backend.state == Unannounced:
		return classifier.Unavailable
	case !a.domainKnown || a.limits.Version == 0:
		return classifier.ConfigBehind
	case a.backend.state == Starting:
		return classifier.Cold
	default:
		return ""
	}
}

func (a *Admitter) draining() bool { return a.stopping || a.backend.state == Draining }

func (a *Admitter) isolated() bool {
	return !a.contacted || (!a.soleMember && a.now-a.lastContact >= isolationTimeout)
}

// pruneQueue refuses queued attempts that may no longer start. It is called
// before each start.
func (a *Admitter) pruneQueue(actions []Action) []Action {
	if a.queue.len() == 0 {
		return actions
	}
	for i := a.queue.expired(a.now); i >= 0; i = a.queue.expired(a.now) {
		reason := classifier.Deadline
		if a.now < a.queue.entries[i].deadline {
			reason = a.overloadReason()
		}
		actions = a.refuse(i, reason, actions)
	}
	if reason := a.closedReason(); reason != "" {
		for a.queue.len() > 0 {
			actions = a.refuse(0, reason, actions)
		}
	}
	return actions
}

// start starts queued attempts in queue order. An attempt that must run alone is
// skipped while a crash could be attributed to it by mistake: after an earlier
// crash without a new announcement, or while requests of a previous daemon may
// run. Otherwise it blocks the attempts behind it until the running ones have
// ended.
func (a *Admitter) start(actions []Action) []Action {
	if a.paused || a.soloRuns {
		return actions
	}
	limit, predecessors := a.limit(), a.predecessorRunning()
	for i := 0; i < a.queue.len() && len(a.running)+predecessors < limit && a.startRate.allows(a.now) && a.allowance.allows(a.now); {
		e := a.queue.entries[i]
		switch {
		case !e.solo:
			actions = a.startEntry(i, actions)
		case !a.backend.announcedSinceCrash || predecessors > 0:
			i++
		case len(a.running) > 0:
			return actions
		default:
			a.soloRuns = true
			return a.startEntry(i, actions)
		}
	}
	return actions
}

func (a *Admitter) startEntry(i int, actions []Action) []Action {
	e := a.queue.takeForStart(i)
	a.startRate.started(a.now)
	a.allowance.started(a.now)
	a.running[e.attempt] = run{
		flow:        e.flow,
		fingerprint: e.fingerprint, hasFingerprint: e.hasFingerprint, solo: e.solo,
		announcedSinceCrash: a.backend.announcedSinceCrash, epoch: a.ramp.epoch, incarnation: a.backend.incarnation,
	}
	return append(actions, Start{Attempt: e.attempt, Remaining: e.deadline - a.now, Solo: e.solo})
}

// restrict applies a verdict to queued attempts and enforces maxQueuedSolo.
func (a *Admitter) restrict(e Restrict, actions []Action) []Action {
	for i := 0; i < a.queue.len(); {
		q := a.queue.entries[i]
		switch {
		case !q.hasFingerprint || q.fingerprint != e.Fingerprint:
			i++
		case e.Refuse:
			attempt := a.queue.remove(i).attempt
			actions = append(actions, Refuse{Attempt: attempt, Reason: classifier.Quarantined, RetryAfter: max(1, e.TimeLeft)})
		case e.Solo && !q.solo && a.queue.soloCount >= maxQueuedSolo:
			actions = a.refuse(i, classifier.Overloaded, actions)
		default:
			a.queue.setSolo(i, e.Solo)
			i++
		}
	}
	return actions
}

// maxQueuedSolo bounds the queued attempts that must run alone. Each delays the
// others by one run, so this bounds the delay they cause.
const maxQueuedSolo = 4

// refuse removes an attempt from the queue and refuses it.
func (a *Admitter) refuse(i int, reason classifier.Reason, actions []Action) []Action {
	f := a.queue.entries[i].flow
	key, othersWait := f.key, f.waiting > 1
	e := a.queue.remove(i)
	retryAfter := a.retryAfter(reason)
	if key.hasAccounts() && a.backend.state == Ready && waitsForSlot(reason) {
		position := i + 1
		if othersWait {
			position = a.queue.len() + 1
		}
		wait := max(retryMinimum, a.predictedWait(position))
		retryAfter = a.returns.next(a.now, key, wait, a.now-e.arrivedAt, a.startInterval())
	}
	return append(actions, Refuse{Attempt: e.attempt, Reason: reason, RetryAfter: retryAfter})
}

// waitsForSlot reports whether an attempt refused for this reason may start as soon as
// a slot is free.
func waitsForSlot(reason classifier.Reason) bool {
	return reason == classifier.Overloaded || reason == classifier.Deadline || reason == classifier.Cold
}

// refuseLast refuses the attempt that is to be refused first, for lack of room.
func (a *Admitter) refuseLast(actions []Action) []Action {
	return a.refuse(a.queue.last(), a.overloadReason(), actions)
}

// lastTooLate reports whether the attempt at the end of the queue cannot start in time
// while several accounts of its class have attempts.
func (a *Admitter) lastTooLate() bool {
	e := a.queue.entries[a.queue.len()-1]
	return e.flow.class.flows > 1 && a.predictedWait(a.queue.len()) >= e.startBy-a.now
}

// overloadReason returns the reason for a full queue or a long wait.
func (a *Admitter) overloadReason() classifier.Reason {
	if !a.allowance.allows(a.now) {
		return classifier.RateLimited
	}
	if a.ramp.cold && a.ramp.limit == a.limit() || !a.startRate.allows(a.now) {
		return classifier.Cold
	}
	return classifier.Overloaded
}

// Estimates of when a refused attempt may be retried.
const (
	// retryElsewhere is for states that last longer; the sender should try another
	// instance.
	retryElsewhere = timer.Second
	// retryConfig is about the time it takes to fetch a newer configuration.
	retryConfig = 100 * timer.Millis(1)
	// retryMinimum is the lowest estimate, also used while no mean latency is known.
	retryMinimum = 10 * timer.Millis(1)
)

func (a *Admitter) retryAfter(reason classifier.Reason) timer.Millis {
	switch {
	case waitsForSlot(reason):
		if a.backend.state == Ready {
			return max(retryMinimum, a.predictedWait(a.queue.len()+1))
		}
		return retryElsewhere
	case reason == classifier.RateLimited:
		return max(retryMinimum, a.allowance.nextReturn(a.now, a.queue.len()+1))
	case reason == classifier.ConfigBehind:
		return retryConfig
	default:
		return retryElsewhere
	}
}

// startInterval estimates the time between two starts.
func (a *Admitter) startInterval() timer.Millis {
	interval := max(1, timer.Millis(a.ramp.mean)/timer.Millis(max(1, a.limit()-a.predecessorRunning())))
	if a.startRate.perSecond > 0 {
		interval = max(interval, timer.Second/timer.Millis(a.startRate.perSecond))
	}
	return interval
}

// predictedWait estimates how long the attempt at a position in the queue, counted
// from 1, waits for its start.
func (a *Admitter) predictedWait(position int) timer.Millis {
	slots := max(1, a.limit()-a.predecessorRunning())
	rounds := float64(position)/float64(slots) + float64(a.queue.soloCount)
	if a.soloRuns {
		rounds++
	}
	return max(timer.Millis(rounds*a.ramp.mean), a.startRate.wait(a.now, position), a.allowance.wait(a.now, position))
}
