// Package selector picks the instance for each attempt of one service.
//
// The main policy is PowerOfChoices, after Wydrowski et al., "Load is not what
// you should balance" (NSDI 2024): a few results of a pool of recent probes are
// drawn and ranked; instances with many requests in flight are hot and rank
// last, the others rank by latency. Unlike in the paper, probes are driven by a
// timer (Prober), so that their number does not depend on the request rate.
// Random, RoundRobin and LeastReported are baselines.
//
// LeastExpectedTime is for fleets in which admissions push their load on each
// change: it compares all instances by the expected time of an attempt.
//
// Filter wraps a policy and excludes ejected instances from its picks.
//
// # Usage
//
//	policy := selector.NewFilter(selector.NewPowerOfChoices(selector.Config{Domain: "aarhus"}, rng))
//	policy.Step(now, selector.InstancesChanged{Instances: instances})
//	instance, found := policy.Pick(now, selector.Exclusions{Tried: tried})
//	policy.Step(now, selector.AttemptSent{Instance: instance})
//	...
//	policy.Step(now, selector.AttemptEnded{Instance: instance, Latency: latency, Result: selector.Complete})
//
// The types of this package are not safe for concurrent use; their owner
// serialises calls.
package selector

import (
	"time"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Policy picks instances of one service.
type Policy interface {
	// Step processes an event.
	Step(now timer.Millis, event Event)
	// Pick returns an instance that is not excluded, or false if there is none.
	Pick(now timer.Millis, exclusions Exclusions) (identifier.InstanceID, bool)
}

// Exclusions are the instances that a pick must not return.
type Exclusions struct {
	// Tried lists the instances to which the request was already sent.
	Tried []identifier.InstanceID

	ejected *ejections
}

// Has reports whether an instance is excluded.
func (e Exclusions) Has(instance identifier.InstanceID) bool {
	for _, tried := range e.Tried {
		if tried == instance {
			return true
		}
	}
	return e.ejected.has(instance)
}

// Instance is a member of the service.
type Instance struct {
	ID     identifier.InstanceID
	Domain identifier.FailureDomain
	Slots  identifier.Slots
}

// Load is the load of a backend server as reported by admission.
type Load struct {
	// InFlight and Queued count requests of all senders.
	InFlight int32
	Queued   int32
	// Limit is the number of requests that admission lets run at once. Zero
	// means that it is not known.
	Limit int32
	Cold  bool
	// SlowdownPercent is the time that work takes on the VM relative to the
	// usual time, which is 100. Zero means that it is not known.
	SlowdownPercent int32
	// StartDelay is the time from the report until another start is allowed.
	StartDelay timer.Millis
	// MeanLatency is a moving average. Zero means that it is not known.
	MeanLatency time.Duration
	// ReceivedAt is the local time at which the report arrived.
	ReceivedAt timer.Millis
}

// Result says how an attempt ended.
type Result uint8

// Results of attempts.
const (
	Complete Result = iota
	NotRun
	Unknown
)

// Event is a change of the service, its instances or the daemon's attempts.
type Event interface{ event() }

// Events. AttemptSent and AttemptEnded count the daemon's own attempts.
type (
	// InstancesChanged lists the members of the service. The state of instances
	// that remain is kept.
	InstancesChanged struct{ Instances []Instance }
	// LoadReported carries the load from a probe result or from the load field
	// of an answer.
	LoadReported struct {
		Instance identifier.InstanceID
		Load     Load
	}
	// AttemptSent says that an attempt was sent to an instance.
	AttemptSent struct{ Instance identifier.InstanceID }
	// AttemptEnded says that an attempt is no longer outstanding.
	AttemptEnded struct {
		Instance identifier.InstanceID
		Latency  time.Duration
		Result   Result
	}
	// InstanceEjected says that an instance should not be picked for now.
	InstanceEjected struct{ Instance identifier.InstanceID }
	// InstanceUsable ends the ejection of an instance.
	InstanceUsable struct{ Instance identifier.InstanceID }
)

func (InstancesChanged) event() {}
func (LoadReported) event()     {}
func (AttemptSent) event()      {}
func (AttemptEnded) event()     {}
func (InstanceEjected) event()  {}
func (InstanceUsable) event()   {}
