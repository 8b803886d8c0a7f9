package admitter

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"

	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
)

// closed returns why nothing may start or wait now, or an empty reason.
func (a *Admitter) closed() classifier.Reason {
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
	return !a.contacted || (!a.alone && a.now-a.contact >= isolationSpan)
}

// flush refuses queued attempts that may not start any more. It comes before
// each start.
func (a *Admitter) flush(actions []Action) []Action {
	if a.queue.len() == 0 {
		return actions
	}
	for i := a.queue.expired(a.now); i >= 0; i = a.queue.expired(a.now) {
		reason := classifier.Deadline
		if a.now < a.queue.entries[i].deadline {
			reason = a.overload()
		}
		actions = a.refuse(i, reason, actions)
	}
	if reason := a.closed(); reason != "" {
		for a.queue.len() > 0 {
			actions = a.refuse(0, reason, actions)
		}
	}
	return actions
}

// start starts queued attempts in the order of the queue. An attempt that must run alone
// is passed over while a crash or a predecessor could be mistaken for its own
// doing; then it holds back those behind it until the others have ended.
func (a *Admitter) start(actions []Action) []Action {
	if a.paused || a.soloRuns {
		return actions
	}
	limit, foreign := a.limit(), a.foreign()
	for i := 0; i < a.queue.len() && len(a.running)+foreign < limit && a.pace.allows(a.now); {
		e := a.queue.entries[i]
		switch {
		case !e.solo:
			actions = a.begin(i, actions)
		case !a.backend.proven || foreign > 0:
			i++
		case len(a.running) > 0:
			return actions
		default:
			a.soloRuns = true
			return a.begin(i, actions)
		}
	}
	return actions
}

func (a *Admitter) begin(i int, actions []Action) []Action {
	e := a.queue.remove(i)
	a.pace.started(a.now)
	a.running[e.attempt] = run{
		fingerprint: e.fingerprint, hasFingerprint: e.hasFingerprint, solo: e.solo,
		proven: a.backend.proven, epoch: a.ramp.epoch, incarnation: a.backend.incarnation,
	}
	return append(actions, Start{Attempt: e.attempt, Remaining: e.deadline - a.now, Solo: e.solo})
}

// restrict applies a verdict to queued attempts and keeps the bound of solos.
func (a *Admitter) restrict(e Restrict, actions []Action) []Action {
	for i := 0; i < a.queue.len(); {
		q := a.queue.entries[i]
		switch {
		case !q.hasFingerprint || q.fingerprint != e.Fingerprint:
			i++
		case e.Refuse:
			attempt := a.queue.remove(i).attempt
			actions = append(actions, Refuse{Attempt: attempt, Reason: classifier.Quarantined, RetryAfter: max(1, e.TimeLeft)})
		case e.Solo && !q.solo && a.queue.solos >= soloQueue:
			actions = a.refuse(i, classifier.Overloaded, actions)
		default:
			a.queue.setSolo(i, e.Solo)
			i++
		}
	}
	return actions
}

// soloQueue is the number of queued attempts that must run alone. Each costs the
// others one run, so this bounds how long they hold an attempt back.
const soloQueue = 4

// refuse removes a queued attempt.
func (a *Admitter) refuse(i int, reason classifier.Reason, actions []Action) []Action {
	attempt := a.queue.remove(i).attempt
	return append(actions, Refuse{Attempt: attempt, Reason: reason, RetryAfter: a.retryAfter(reason)})
}

// overload names the cause of a full queue or a long wait.
func (a *Admitter) overload() classifier.Reason {
	if a.ramp.cold && a.ramp.limit == a.limit() || !a.pace.allows(a.now) {
		return classifier.Cold
	}
	return classifier.Overloaded
}

// Estimates of when a refused attempt may return.
const (
	// retryElsewhere is for states that last; another instance should be tried.
	retryElsewhere = timer.Second
	// retryConfig is about the time to fetch a newer configuration.
	retryConfig = 100 * timer.Millis(1)
	// retryMinimum is the least answer, and the answer without a measured mean.
	retryMinimum = 10 * timer.Millis(1)
)

func (a *Admitter) retryAfter(reason classifier.Reason) timer.Millis {
	switch reason {
	case classifier.Overloaded, classifier.Deadline, classifier.Cold:
		if a.backend.state == Ready {
			return max(retryMinimum, a.wait(a.queue.len()+1))
		}
		return retryElsewhere
	case classifier.ConfigBehind:
		return retryConfig
	default:
		return retryElsewhere
	}
}

// wait predicts how long the attempt at a place in the queue, counted from 1,
// waits for its start.
func (a *Admitter) wait(place int) timer.Millis {
	slots := max(1, a.limit()-a.foreign())
	rounds := float64(place)/float64(slots) + float64(a.queue.solos)
	if a.soloRuns {
		rounds++
	}
	return max(timer.Millis(rounds*a.ramp.mean), a.pace.wait(a.now, place))
}
