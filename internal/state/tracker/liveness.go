package tracker

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// suspectAfter is the time of failed checks after which a watcher suspects
	// an instance.
	suspectAfter = 5 * timer.Second
	// repeatSuspicionAfter is the time after which an unconfirmed suspicion is
	// repeated, since the message may have been lost.
	repeatSuspicionAfter = 2 * timer.Second
	// maxSuspicionAge bounds the time between the two suspicions that cause a
	// leave.
	maxSuspicionAge = 10 * timer.Second
	// ejectAfterFailures is the number of consecutive failed checks that eject an
	// instance locally; a single lost check does not.
	ejectAfterFailures = 2

	minEjection = timer.Second
	maxEjection = 30 * timer.Second
)

// health is what this daemon itself observed of an instance that failed checks
// or refused connections.
type health struct {
	incarnation  identifier.Incarnation
	failures     int
	failingSince timer.Millis
	suspectedAt  timer.Millis
	ejectedUntil timer.Millis
	ejection     timer.Millis
}

// suspicion is the first watcher's report on an instance.
type suspicion struct {
	suspect Suspect
	at      timer.Millis
}

// Step handles an event.
func (t *Tracker) Step(now timer.Millis, event Event) []Action {
	switch e := event.(type) {
	case Observed:
		return t.observe(now, e)
	case Refused:
		t.refuse(now, e.Instance)
	case Suspected:
		return t.suspect(now, e.Suspect)
	case Ticked:
		return t.tick(now, e)
	}
	return nil
}

// Usable reports whether an instance is a ready member that this daemon has not
// ejected.
func (t *Tracker) Usable(instance identifier.InstanceID, now timer.Millis) bool {
	r := t.table.find(instance)
	if r == nil || r.left || r.state != Ready {
		return false
	}
	if len(t.health) == 0 {
		return true
	}
	return t.health[instance].ejectedUntil <= now
}

func (t *Tracker) observe(now timer.Millis, e Observed) []Action {
	r := t.table.find(e.Instance)
	if r == nil || r.left {
		return nil
	}
	if e.Alive {
		t.clearLiveness(e.Instance)
		return nil
	}
	h := t.health[e.Instance]
	h.incarnation = r.incarnation
	if h.failures == 0 {
		h.failingSince = now
	}
	h.failures++
	if h.failures >= ejectAfterFailures {
		h.eject(now)
	}
	var actions []Action
	if now-h.failingSince >= suspectAfter && h.suspicionDue(now) && t.watches(e.Instance) {
		h.suspectedAt = now
		suspect := Suspect{Instance: e.Instance, Incarnation: r.incarnation, Watcher: t.config.Self}
		actions = append(actions, SendSuspicion{Suspect: suspect})
	}
	t.health[e.Instance] = h
	return actions
}

func (h *health) suspicionDue(now timer.Millis) bool {
	return h.suspectedAt == 0 || now-h.suspectedAt >= repeatSuspicionAfter
}

// eject takes an instance out of use. The time doubles with each ejection until
// a check succeeds, so that few attempts are sent to an instance that has failed.
func (h *health) eject(now timer.Millis) {
	if now < h.ejectedUntil {
		return
	}
	h.ejection = min(max(2*h.ejection, minEjection), maxEjection)
	h.ejectedUntil = now + h.ejection
}

func (t *Tracker) refuse(now timer.Millis, instance identifier.InstanceID) {
	r := t.table.find(instance)
	if r == nil || r.left {
		return
	}
	h := t.health[instance]
	h.incarnation = r.incarnation
	h.eject(now)
	t.health[instance] = h
}

// suspect turns the suspicions of two members of the suspect's region into a
// leave. A single watcher may be cut off itself.
func (t *Tracker) suspect(now timer.Millis, s Suspect) []Action {
	target, watcher := t.table.find(s.Instance), t.table.find(s.Watcher)
	if target == nil || target.left || target.incarnation != s.Incarnation {
		return nil
	}
	if watcher == nil || watcher.left || watcher == target || watcher.region != target.region {
		return nil
	}
	first, ok := t.suspicions[s.Instance]
	confirmed := ok && first.suspect.Incarnation == s.Incarnation && now-first.at <= maxSuspicionAge
	if confirmed && first.suspect.Watcher != s.Watcher {
		delete(t.suspicions, s.Instance)
		return []Action{AppendLeave{Leave: Leave{Instance: s.Instance, Incarnation: s.Incarnation}}}
	}
	t.suspicions[s.Instance] = suspicion{suspect: s, at: now}
	return nil
}

// clearLiveness deletes the local liveness of an instance.
func (t *Tracker) clearLiveness(instance identifier.InstanceID) {
	delete(t.health, instance)
	delete(t.suspicions, instance)
}
