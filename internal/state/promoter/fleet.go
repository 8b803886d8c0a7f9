package promoter

import (
	"github.com/magnoliaknot/magnoliaknot/internal/state/comparer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// maxInstances bounds the instances that are kept.
	maxInstances = 256
	// idleBefore is how long an old instance has started nothing when it counts as drained.
	// Attempts that senders chose it for before they knew the phase have arrived by then.
	idleBefore = 500 * timer.Millis(1)
	// neededSlots is the part of the slots of the old instances that their requests need.
	// Without a reserve, one instance that has restarted would hold up the last step.
	neededSlots = 0.8
)

// fleet holds the latest report of each instance.
type fleet map[identifier.InstanceID]report

type report struct {
	comparer.Report
	at timer.Millis
}

// observe takes in a report unless a newer one is known.
func (f fleet) observe(now timer.Millis, r comparer.Report) {
	known, found := f[r.Node]
	switch {
	case found && (r.Incarnation < known.Incarnation || r.Incarnation == known.Incarnation && r.Sequence <= known.Sequence):
		return
	case !found && len(f) >= maxInstances:
		return
	}
	r.Routes = nil // The comparer has them.
	f[r.Node] = report{Report: r, at: now}
}

// expire removes the instances that no longer report.
func (f fleet) expire(now timer.Millis) {
	for node, r := range f {
		if now-r.at > comparer.FreshFor {
			delete(f, node)
		}
	}
}

// accepts reports whether an instance of the target can get requests.
func (f fleet) accepts(target identifier.ServiceVersion) bool {
	for _, r := range f {
		if r.Version == target && r.Accepting {
			return true
		}
	}
	return false
}

// warmPercent returns the slots of warm instances of the target in percent of those needed:
// as many as the old instances have. If more instances of the target report, only a sample
// of the old ones was asked, and the slots of the target itself are the measure.
func (f fleet) warmPercent(target identifier.ServiceVersion) float64 {
	var warm, targets, others float64
	for _, r := range f {
		switch {
		case r.Version != target:
			others += float64(r.Slots)
			continue
		case r.Accepting && !r.Cold && !r.Halted:
			warm += float64(r.Slots)
		}
		targets += float64(r.Slots)
	}
	return percent * warm / max(1, neededSlots*max(targets, others))
}

// drained reports whether no old instance that reports has work or will get any.
func (f fleet) drained(target identifier.ServiceVersion, since timer.Millis) bool {
	for _, r := range f {
		if r.Version == target {
			continue
		}
		moved := r.Phase == router.RolloutDraining || r.Phase == router.RolloutCompleted
		if r.at < since || r.Running > 0 || r.IdleForMs < idleBefore || !moved {
			return false
		}
	}
	return true
}
