package admitter

import (
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Load is the content of a load report.
type Load struct {
	// InFlight counts running attempts and requests of a previous daemon.
	InFlight int
	Queued   int
	Limit    int
	Cold     bool
	// StartDelay is the time until the rate that the backend server takes allows
	// another start.
	StartDelay timer.Millis
	// MeanLatency is the moving mean latency of good answers in ms.
	MeanLatency timer.Millis
}

// Load returns the load after the last event.
func (a *Admitter) Load() Load {
	return Load{
		InFlight:    len(a.running) + a.predecessorRunning(),
		Queued:      a.queue.len(),
		Limit:       a.limit(),
		Cold:        a.ramp.cold,
		StartDelay:  a.allowance.wait(a.now, a.queue.len()+1),
		MeanLatency: timer.Millis(a.ramp.mean + 0.5),
	}
}

// RecentStarts returns the number of starts within the second before the last event.
func (a *Admitter) RecentStarts() int { return a.startRate.recent(a.now) }

// Status is the state shown to operators.
type Status struct {
	Load        Load
	Backend     BackendState
	Incarnation identifier.Incarnation
	Slots       int
	Version     identifier.Version
	// Closed is why new attempts are refused; empty if they are not.
	Closed classifier.Reason
	// Paused means that the current DomainState has not been received after a pause.
	Paused bool
	// Predecessor counts requests of a previous daemon that may still be running.
	Predecessor int
	// SoloQueued counts queued attempts that must run alone.
	SoloQueued int
	// Accounts counts the accounts in each priority for which the queue holds state;
	// attempts without an account count as one.
	Accounts int
}

// Status returns the state after the last event.
func (a *Admitter) Status() Status {
	return Status{
		Load:        a.Load(),
		Backend:     a.backend.state,
		Incarnation: a.backend.incarnation,
		Slots:       a.backend.slots,
		Version:     a.limits.Version,
		Closed:      a.closedReason(),
		Paused:      a.paused,
		Predecessor: a.predecessorRunning(),
		SoloQueued:  a.queue.soloCount,
		Accounts:    len(a.queue.order.flows),
	}
}
