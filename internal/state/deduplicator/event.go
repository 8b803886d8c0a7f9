package deduplicator

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Event is an input of Lease. The variants are below.
type Event interface{ isEvent() }

// Tick triggers what depends on time; it is due every RenewInterval.
type Tick struct{}

// RecordApplied reports that a record of the ownership stream took effect.
type RecordApplied struct{ Record Record }

// LogConfirmed reports that the ownership stream was read to its end.
type LogConfirmed struct{}

// PromiseAnswered carries a successor's promises and the time of the request.
type PromiseAnswered struct {
	Successor Claimant
	SentAt    timer.Millis
	Duration  timer.Millis
	Granted   []ShardEpoch
}

// Appended reports that this daemon's records are in the log.
type Appended struct{ Records []Record }

// AppendRefused reports that this daemon's records are certainly not in the
// log.
type AppendRefused struct{ Records []Record }

// Members lists the daemons that are known to be running, including this one.
type Members struct{ List []Member }

// Member is a daemon that can own shards or be a successor.
type Member struct {
	Claimant
	FailureDomain identifier.FailureDomain
}

// Stopping begins a planned stop: from then on the daemon takes over no shard.
type Stopping struct{}

// HandoverReceived reports that the owner handed its claims of an epoch over to
// this daemon.
type HandoverReceived struct {
	Shard identifier.Shard
	Epoch identifier.Epoch
}

// Released reports that this daemon gives up its claims of an epoch for a
// handover and grants no more in it.
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

// ShardEpoch identifies one epoch of one shard.
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

// OwnershipStarted reports that this daemon's ownership of a shard began.
// ClaimsLost is set if the claims of an earlier owner are not known.
type OwnershipStarted struct {
	Shard      identifier.Shard
	Epoch      identifier.Epoch
	ClaimsLost bool
}

// OwnershipEnded reports that another daemon now owns a shard.
type OwnershipEnded struct{ Shard identifier.Shard }

func (RequestPromises) isAction()  {}
func (Append) isAction()           {}
func (OwnershipStarted) isAction() {}
func (OwnershipEnded) isAction()   {}
