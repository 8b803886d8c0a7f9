package deduplicator

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Event is an input of Lease. The variants are below.
type Event interface{ isEvent() }

// Tick lets time pass; it is due every RenewInterval.
type Tick struct{}

// RecordApplied tells that a record of the ownership stream took effect.
type RecordApplied struct{ Record Record }

// LogConfirmed tells that the ownership stream was read to its end.
type LogConfirmed struct{}

// PromiseAnswered carries a successor's promises and the time of the request.
type PromiseAnswered struct {
	Successor Claimant
	SentAt    timer.Millis
	Duration  timer.Millis
	Granted   []ShardEpoch
}

// Appended tells that this daemon's records are in the log.
type Appended struct{ Records []Record }

// AppendRefused tells that this daemon's records are certainly not in the log.
type AppendRefused struct{ Records []Record }

// Members lists the daemons that are known to run, this one included.
type Members struct{ List []Member }

// Member is a daemon that can own shards or be a successor.
type Member struct {
	Claimant
	FailureDomain identifier.FailureDomain
}

// Stopping begins a planned stop: the daemon takes nothing over any more.
type Stopping struct{}

// HandoverReceived tells that the owner gave its claims of an epoch to this daemon.
type HandoverReceived struct {
	Shard identifier.Shard
	Epoch identifier.Epoch
}

// Released tells that this daemon gave its claims of an epoch away.
type Released struct {
	Shard identifier.Shard
	Epoch identifier.Epoch
}

func (Tick) isEvent()             {}
func (RecordApplied) isEvent()    {}
func (LogConfirmed) isEvent()     {}
func (PromiseAnswered) isEvent()  {}
func (Appended) isEvent()         {}
func (AppendRefused) isEvent()    {}
func (Members) isEvent()          {}
func (Stopping) isEvent()         {}
func (HandoverReceived) isEvent() {}
func (Released) isEvent()         {}

// ShardEpoch names one epoch of one shard.
type ShardEpoch struct {
	Shard identifier.Shard
	Epoch identifier.Epoch
}

// Action is an output of Lease. The variants are below.
type Action interface{ isAction() }

// RequestPromises asks a successor to renew its promises.
type RequestPromises struct {
	Successor Claimant
	Shards    []ShardEpoch
}

// Append adds a batch of records to the ownership stream.
type Append struct{ Records []Record }

// OwnershipStarted tells that this daemon's ownership of a shard began. Lost is set if
// the claims of an earlier owner are not known.
type OwnershipStarted struct {
	Shard      identifier.Shard
	Epoch      identifier.Epoch
	ClaimsLost bool
}

// OwnershipEnded tells that another daemon owns a shard now.
type OwnershipEnded struct{ Shard identifier.Shard }

func (RequestPromises) isAction()  {}
func (Append) isAction()           {}
func (OwnershipStarted) isAction() {}
func (OwnershipEnded) isAction()   {}
