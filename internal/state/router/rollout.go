package router

import (
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// RolloutOrder is an operator's order to move a service's requests to the backend servers
// of one version. Service and Target identify it.
type RolloutOrder struct {
	Service identifier.ServiceName    `json:"service"`
	Target  identifier.ServiceVersion `json:"target"`
	// Duration is the time from the order to its deadline.
	Duration timer.Millis `json:"duration_ms"`
}

// RolloutPhase is a step of a roll-out.
type RolloutPhase string

// Phases of a roll-out.
const (
	// RolloutPending means that nothing may be sent to the target yet.
	RolloutPending RolloutPhase = "pending"
	// RolloutRunning means that a share of the requests goes to the target.
	RolloutRunning RolloutPhase = "running"
	// RolloutDraining means that all requests go to the target while runs on other
	// versions end.
	RolloutDraining RolloutPhase = "draining"
	// RolloutCompleted means that the backend servers of other versions may stop.
	RolloutCompleted RolloutPhase = "completed"
	// RolloutRolledBack means that nothing is sent to the target any more.
	RolloutRolledBack RolloutPhase = "rolled_back"
)

// Final reports whether no other phase follows.
func (p RolloutPhase) Final() bool { return p == RolloutCompleted || p == RolloutRolledBack }

// RolloutProgress is the stored progress of a service's roll-out.
type RolloutProgress struct {
	Service identifier.ServiceName    `json:"service"`
	Target  identifier.ServiceVersion `json:"target"`
	Phase   RolloutPhase              `json:"phase"`
	// Percent is the share of first attempts that goes to the target while running.
	Percent float64 `json:"percent"`
	// StartedAt is when the order was first seen, in Unix ms.
	StartedAt timer.Millis `json:"started_at"`
	// Rejected are earlier targets that were rolled back or replaced.
	Rejected []identifier.ServiceVersion `json:"rejected,omitempty"`
}

// Check reports an error if a record cannot be the progress of a roll-out.
func (p RolloutProgress) Check() error {
	switch p.Phase {
	case RolloutPending, RolloutRunning, RolloutDraining, RolloutCompleted, RolloutRolledBack:
	default:
		return Error.New("unknown phase %.20q of %.40q", p.Phase, p.Service)
	}
	if p.Percent < 0 || p.Percent > 100 || p.StartedAt < 0 {
		return Error.New("progress of %.40q with %g percent since %d", p.Service, p.Percent, p.StartedAt)
	}
	return nil
}

// precedes reports whether a restored store holds progress from before a known final one.
func (p RolloutProgress) precedes(final RolloutProgress) bool {
	if p.Target == final.Target {
		return !p.Phase.Final()
	}
	return p.StartedAt < final.StartedAt
}

// Rollout is the state of a service's roll-out as requests are routed by it.
type Rollout struct {
	RolloutProgress
	Duration timer.Millis
}

// VersionRole is what a version of a backend server is in a roll-out.
type VersionRole uint8

// Roles of versions. A version that is not known counts as a baseline: a daemon of the
// target knows the order before its backend server starts and refuses what it may not run.
const (
	BaselineVersion VersionRole = iota
	TargetVersion
	RejectedVersion
)

// Rollout returns the state of a service's roll-out, or false if every version may get
// requests.
func (s *Snapshot) Rollout(service identifier.ServiceName) (Rollout, bool) {
	progress, started := s.Control.Progress(service)
	at := slices.IndexFunc(s.Orders, func(o RolloutOrder) bool { return o.Service == service })
	if at < 0 {
		if !started || progress.Phase == RolloutCompleted {
			return Rollout{}, false
		}
		progress.Phase, progress.Percent = RolloutRolledBack, 0 // The order was withdrawn.
		return Rollout{RolloutProgress: progress}, true
	}
	order := s.Orders[at]
	if started && progress.Target == order.Target {
		return Rollout{RolloutProgress: progress, Duration: order.Duration}, true
	}
	return Rollout{RolloutProgress: order.begin(progress), Duration: order.Duration}, true
}

// begin returns the progress of an order before its first record, given that of the order
// that it replaces.
func (o RolloutOrder) begin(before RolloutProgress) RolloutProgress {
	rejected := before.Rejected
	if before.Target != "" && before.Phase != RolloutCompleted && !slices.Contains(rejected, before.Target) {
		rejected = append(slices.Clone(rejected), before.Target)
	}
	next := RolloutProgress{Service: o.Service, Target: o.Target, Phase: RolloutPending, Rejected: rejected}
	if slices.Contains(rejected, o.Target) {
		next.Phase = RolloutRolledBack // A rolled back version is not brought in again.
	}
	return next
}

// RolloutServices returns the services that have an order or a stored progress.
func (s *Snapshot) RolloutServices() []identifier.ServiceName {
	var services []identifier.ServiceName
	for _, order := range s.Orders {
		services = append(services, order.Service)
	}
	for _, progress := range s.Control.Rollouts {
		if !slices.Contains(services, progress.Service) {
			services = append(services, progress.Service)
		}
	}
	return services
}

// Share returns the share of first attempts that goes to the target in percent.
func (r Rollout) Share() float64 {
	switch r.Phase {
	case RolloutRunning:
		return r.Percent
	case RolloutDraining, RolloutCompleted:
		return 100
	case RolloutPending, RolloutRolledBack:
	}
	return 0
}

// Role returns the role of a version.
func (r Rollout) Role(version identifier.ServiceVersion) VersionRole {
	switch {
	case version == r.Target:
		return TargetVersion
	case slices.Contains(r.Rejected, version):
		return RejectedVersion
	}
	return BaselineVersion
}

// Admits reports whether a backend server of a version may get an attempt. Marked says that
// the sender chose the target version for it.
func (r Rollout) Admits(version identifier.ServiceVersion, marked bool) bool {
	moved := r.Phase == RolloutDraining || r.Phase == RolloutCompleted
	switch r.Role(version) {
	case TargetVersion:
		return moved || marked && r.Phase == RolloutRunning
	case BaselineVersion:
		return !moved
	case RejectedVersion:
	}
	return false
}
