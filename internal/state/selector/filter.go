package selector

import (
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// firstTrialDelay is the time from ejection to the first trial; it doubles
	// with each trial. Admission of a restarted daemon answers within a second.
	firstTrialDelay timer.Millis = 500
	maxTrialDelay                = 30 * timer.Second
	// trialInterval is the minimum time between two trials of a service. Without
	// it the loss of a failure domain costs one request for each of its instances
	// at nearly the same time.
	trialInterval timer.Millis = 100
)

// ejection is one ejected instance.
type ejection struct {
	instance identifier.InstanceID
	trialAt  timer.Millis
	delay    timer.Millis
}

// ejections are the ejected instances in the order of ejection.
type ejections struct {
	list []ejection
	set  map[identifier.InstanceID]struct{}
	// nextTrial is the earliest time of the next trial of any instance.
	nextTrial timer.Millis
}

func (e *ejections) has(instance identifier.InstanceID) bool {
	if e == nil || len(e.set) == 0 {
		return false
	}
	_, found := e.set[instance]
	return found
}

func (e *ejections) add(now timer.Millis, instance identifier.InstanceID) {
	if e.has(instance) {
		return
	}
	e.set[instance] = struct{}{}
	e.list = append(e.list, ejection{instance: instance, trialAt: now + firstTrialDelay, delay: firstTrialDelay})
}

func (e *ejections) remove(instance identifier.InstanceID) {
	if !e.has(instance) {
		return
	}
	delete(e.set, instance)
	e.list = slices.DeleteFunc(e.list, func(x ejection) bool { return x.instance == instance })
}

// due returns the ejected instance whose trial has been due the longest, or nil,
// and schedules the next trial.
func (e *ejections) due(now timer.Millis) *ejection {
	if e.nextTrial > now+trialInterval {
		e.nextTrial = now // The clock has jumped back.
	}
	if now < e.nextTrial {
		return nil
	}
	var first *ejection
	for i := range e.list {
		x := &e.list[i]
		// A trial later than its delay from now means that the clock has jumped back.
		x.trialAt = min(x.trialAt, now+x.delay)
		if x.trialAt <= now && (first == nil || x.trialAt < first.trialAt) {
			first = x
		}
	}
	if first != nil {
		first.delay = min(2*first.delay, maxTrialDelay)
		first.trialAt = now + first.delay
		e.nextTrial = now + trialInterval
	}
	return first
}

// Filter wraps a policy and excludes ejected instances from its picks. It sends
// one first attempt as a trial to each of them after a growing delay, and picks
// them if no other instance remains.
type Filter struct {
	policy   Policy
	ejected  ejections
	members  map[identifier.InstanceID]struct{}
	position int
}

// NewFilter wraps a policy that has no instances yet.
func NewFilter(policy Policy) *Filter {
	return &Filter{policy: policy, ejected: ejections{set: map[identifier.InstanceID]struct{}{}}}
}

// Step processes an event and passes it to the policy. A complete attempt ends
// the ejection of its instance.
func (f *Filter) Step(now timer.Millis, event Event) {
	switch e := event.(type) {
	case InstancesChanged:
		f.replace(e.Instances)
	case InstanceEjected:
		if _, member := f.members[e.Instance]; member {
			f.ejected.add(now, e.Instance)
		}
	case InstanceUsable:
		f.ejected.remove(e.Instance)
	case AttemptEnded:
		if e.Result == Complete {
			f.ejected.remove(e.Instance)
		}
	}
	f.policy.Step(now, event)
}

func (f *Filter) replace(instances []Instance) {
	f.members = make(map[identifier.InstanceID]struct{}, len(instances))
	for _, instance := range instances {
		f.members[instance.ID] = struct{}{}
	}
	for _, x := range slices.Clone(f.ejected.list) {
		if _, member := f.members[x.instance]; !member {
			f.ejected.remove(x.instance)
		}
	}
}

// Pick returns false only if every instance is in Tried.
func (f *Filter) Pick(now timer.Millis, exclusions Exclusions) (identifier.InstanceID, bool) {
	exclusions.ejected = nil
	if len(exclusions.Tried) == 0 {
		if trial := f.ejected.due(now); trial != nil {
			return trial.instance, true
		}
	}
	untried := exclusions
	exclusions.ejected = &f.ejected
	if picked, found := f.policy.Pick(now, exclusions); found {
		return picked, true
	}
	for range f.ejected.list {
		f.position = (f.position + 1) % len(f.ejected.list)
		if instance := f.ejected.list[f.position].instance; !untried.Has(instance) {
			return instance, true
		}
	}
	return "", false
}
