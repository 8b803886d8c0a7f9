// Package selector picks the instance that an attempt goes to, for one service.
//
// The main policy is PowerOfChoices, after Wydrowski et al., "Load is not what
// you should balance" (NSDI 2024): a few results of a pool of recent probes are
// drawn and ranked; instances with many requests in flight are hot and rank
// last, the others rank by latency. Unlike in the paper, probes are driven by a
// timer (Prober), so that their number does not depend on the request rate.
// Random, RoundRobin and LeastReported are baselines.
//
// LeastExpected is for fleets whose admissions push their load on each change:
// it compares all instances by the time that an attempt is expected to take.
//
// Filter wraps a policy and keeps ejected instances away from it.
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
	// Step takes in what has happened.
	Step(now timer.Millis, event Event)
	// Pick returns an instance that is not excluded, or false if there is none.
	Pick(now timer.Millis, exclusions Exclusions) (identifier.InstanceID, bool)
}

// Exclusions are the instances that a pick must not return.
type Exclusions struct {
	// Tried lists the instances that the request was already sent to.
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

// Load is what admission reports of its backend server.
type Load struct {
	// InFlight and Queued count requests of all senders.
	InFlight int32
	Queued   int32
	// Limit is the number of requests admission lets run. Zero means that it
	// is not known.
	Limit int32
	Cold  bool
	// SlowdownPercent is how long work takes on the VM; 100 is as usual. Zero
	// means that it is not known.
	SlowdownPercent int32
	// MeanLatency is a moving mean. Zero means that it is not known.
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

// Event is something that has happened to the service.
type Event interface{ event() }

// Events. AttemptSent and AttemptEnded count the daemon's own attempts.
type (
	// InstancesChanged gives the members of the service. What is known of
	// instances that stay is kept.
	InstancesChanged struct{ Instances []Instance }
	// LoadReported gives a probe result or the load field of an answer.
	LoadReported struct {
		Instance identifier.InstanceID
		Load     Load
	}
	// AttemptSent says that an attempt went to an instance.
	AttemptSent struct{ Instance identifier.InstanceID }
	// AttemptEnded says that an attempt is no longer outstanding.
	AttemptEnded struct {
		Instance identifier.InstanceID
		Latency  time.Duration
		Result   Result
	}
	// InstanceEjected says that an instance should not be picked for now.
	InstanceEjected struct{ Instance identifier.InstanceID }
	// InstanceUsable says that an ejected instance works again.
	InstanceUsable struct{ Instance identifier.InstanceID }
)

func (InstancesChanged) event() {}
func (LoadReported) event()     {}
func (AttemptSent) event()      {}
func (AttemptEnded) event()     {}
func (InstanceEjected) event()  {}
func (InstanceUsable) event()   {}
