package promoter

import (
	"slices"

	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// readValidFor is how long what was read may be written upon without reading again.
	readValidFor = 500 * timer.Millis(1)
	// retryAfter is the time until the next access after a failed one.
	retryAfter = 500 * timer.Millis(1)
	// replaceAfter is how long a record of another target must be known before it is
	// replaced, if its roll-out is unfinished or it has rejected this target. A daemon
	// that knows an older order gets the newer one in that time.
	replaceAfter = 1 * timer.Second
)

// access is an action on the store that has not been answered.
type access uint8

const (
	idle access = iota
	reading
	writing
	publishing
)

// store is what is known of the store.
type store struct {
	outstanding access
	// position is that of the latest known control record, and stored the progress there.
	position router.Position
	stored   router.RolloutProgress
	// readAt is when stored was last known to be in force, zero if it must be read again.
	readAt timer.Millis
	// interrupted says that a pause fell into the outstanding access.
	interrupted bool
	retryAt     timer.Millis
	// written and publishing are those of the outstanding access.
	written, publishing router.RolloutProgress
	published           router.RolloutProgress
	// foreign is the other target whose record was read for this order, foreignSince when.
	foreign      identifier.ServiceVersion
	foreignSince timer.Millis
}

// paused makes what was read invalid, also by an access that is outstanding.
func (s *store) paused() { s.readAt, s.interrupted = 0, true }

func (s *store) newOrder() { s.readAt, s.foreign = 0, "" }

func (s *store) begin(a access) { s.outstanding, s.interrupted = a, false }

// observed notes the position of the snapshot in force.
func (s *store) observed(position router.Position) {
	if s.position.Before(position) {
		s.readAt = 0
	}
	if position.Era > s.position.Era {
		s.published = router.RolloutProgress{} // It may be lost, too.
	}
}

// holds notes what the store held at a position.
func (s *store) holds(now timer.Millis, position router.Position, stored router.RolloutProgress) {
	if position.Era != s.position.Era {
		s.published = router.RolloutProgress{}
	}
	s.position, s.stored, s.readAt = position, stored, now
	if s.interrupted {
		s.readAt = 0
	}
}

// has reports whether a progress is stored as far as this daemon knows.
func (s *store) has(progress router.RolloutProgress) bool {
	return s.stored.Target == progress.Target && rank(s.stored) == rank(progress)
}

func (s *store) valid(now timer.Millis) bool { return s.readAt > 0 && now-s.readAt < readValidFor }

// status returns the phase that the operator's status record shows for a phase.
func status(phase router.RolloutPhase) router.RolloutPhase {
	if phase.Final() {
		return phase
	}
	return router.RolloutRunning
}

func (s *store) hasPublished(progress router.RolloutProgress) bool {
	return s.published.Target == progress.Target && s.published.Phase == status(progress.Phase)
}

// mayReplace reports whether the stored record may be replaced by one of a target.
func (s *store) mayReplace(now timer.Millis, target identifier.ServiceVersion) bool {
	if s.stored.Target == "" || s.stored.Target == target {
		return true
	}
	if s.stored.Phase.Final() && !slices.Contains(s.stored.Rejected, target) {
		return true
	}
	if s.foreign != s.stored.Target {
		s.foreign, s.foreignSince = s.stored.Target, now
	}
	return now-s.foreignSince >= replaceAfter
}

// answers reports whether an event answers an access.
func answers(event Event, a access) bool {
	switch event.(type) {
	case ControlRead, ReadFailed:
		return a == reading
	case Written, Conflicted, WriteFailed:
		return a == writing
	case Published, PublishFailed:
		return a == publishing
	}
	return false
}

// answered handles the answer to an access.
func (p *Promoter) answered(event Event) {
	s := &p.store
	if !answers(event, s.outstanding) {
		return // A repeated answer.
	}
	s.outstanding = idle
	switch e := event.(type) {
	case ControlRead:
		p.read(e.Control)
	case Written:
		p.stored(e.Position)
	case Published:
		s.published = s.publishing
	case Conflicted:
		s.readAt = 0
	case ReadFailed, WriteFailed, PublishFailed:
		s.readAt, s.retryAt = 0, p.now+retryAfter
	}
	p.advance()
}

// read continues from what the store holds. A copy of the store may lag behind; what it
// holds is then read again later.
func (p *Promoter) read(control router.Control) {
	if control.Position().Before(p.store.position) {
		p.store.retryAt = p.now + retryAfter
		return
	}
	stored, _ := control.Progress(p.config.Service)
	p.store.holds(p.now, control.Position(), stored)
	if p.order.Duration > 0 {
		merged, _ := (&router.Snapshot{Orders: []router.RolloutOrder{p.order}, Control: control}).Rollout(p.config.Service)
		stored = merged.RolloutProgress
	}
	p.adopt(stored)
}

// stored continues after a write.
func (p *Promoter) stored(position router.Position) {
	p.store.holds(p.now, position, p.store.written)
	p.adopt(p.store.written)
}

// advance accesses the store if what it holds, or the operator's status, differs from what
// was decided.
func (p *Promoter) advance() {
	s := &p.store
	if p.order.Target == "" || s.outstanding != idle || p.now < s.retryAt {
		return
	}
	next := p.desired()
	write := !s.has(next)
	withdrawn := p.order.Duration <= 0 && !next.Phase.Final()
	if withdrawn || !write && s.hasPublished(next) {
		return
	}
	switch {
	case !s.valid(p.now):
		s.begin(reading)
		p.add(ReadControl{})
	case write && s.mayReplace(p.now, next.Target):
		s.begin(writing)
		s.written, p.decided = next, p.verdict
		p.add(Write{Progress: next, Since: s.position})
	case !write:
		s.begin(publishing)
		s.publishing = next
		s.publishing.Phase = status(next.Phase)
		p.add(Publish{Progress: next})
	}
}
