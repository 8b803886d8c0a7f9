package dispatcher

import (
	"github.com/magnoliaknot/magnoliaknot/internal/state/exposer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/state/selector"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// versions divides the requests of a service between the instances of the old versions and
// those of the target version of a roll-out. Its owner serialises calls.
type versions struct {
	domain  identifier.FailureDomain
	rollout *router.Rollout // Nil without a roll-out.
	// policy picks instances of the target version; nil without a roll-out.
	policy  selector.Policy
	exposer *exposer.Exposer
}

// roleOf returns the role of a version. Without a roll-out every version is a baseline.
func roleOf(rollout *router.Rollout, version identifier.ServiceVersion) router.VersionRole {
	if rollout == nil {
		return router.BaselineVersion
	}
	return rollout.Role(version)
}

// set sets the roll-out and the instances of its target.
func (v *versions) set(now timer.Millis, rollout *router.Rollout, targets []selector.Instance) {
	if rollout == nil {
		v.rollout, v.policy = nil, nil
		return
	}
	if v.rollout == nil || v.rollout.Target != rollout.Target {
		v.policy = newPolicy(v.domain)
		v.exposer.Reset()
	}
	v.rollout = rollout
	v.policy.Step(now, selector.InstancesChanged{Instances: targets})
}

// pick chooses an instance of the old versions by a policy, or one of the target. Version
// is the target version if the instance was picked for it. Repeated attempts go to the old
// versions while both are in service, so that they do not add to the exposure.
func (v *versions) pick(
	now timer.Millis, baseline selector.Policy, tried []identifier.InstanceID,
) (instance identifier.InstanceID, version identifier.ServiceVersion, found bool) {
	exclusions := selector.Exclusions{Tried: tried}
	switch {
	case v.rollout == nil:
	case v.rollout.Phase == router.RolloutDraining || v.rollout.Phase == router.RolloutCompleted:
		instance, found = v.policy.Pick(now, exclusions)
		return instance, v.rollout.Target, found
	case v.rollout.Phase == router.RolloutRunning && len(tried) == 0 && !v.exposer.Halted() && v.exposer.Take(v.rollout.Percent):
		if instance, found = v.policy.Pick(now, exclusions); found {
			return instance, v.rollout.Target, true
		}
	}
	instance, found = baseline.Pick(now, exclusions)
	return instance, "", found
}

// record records the end of an attempt for a target version and reports whether this
// daemon stops sending to it from now on.
func (v *versions) record(version identifier.ServiceVersion, failed bool) (halted bool) {
	if v.rollout == nil || v.rollout.Target != version || v.rollout.Phase != router.RolloutRunning || v.exposer.Halted() {
		return false
	}
	v.exposer.Observe(failed)
	return v.exposer.Halted()
}
