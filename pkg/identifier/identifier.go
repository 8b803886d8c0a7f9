// Package identifier defines the named types for ids and units that the layers
// share, so that a service name cannot be passed for an instance id.
//
// # Usage
//
//	attempt := identifier.AttemptID{Origin: incarnation, Sequence: 17}
//	text := attempt.String()
//	parsed, err := identifier.ParseAttemptID(text)
package identifier

import "hash/fnv"

// Names and ids that operators, settings or callers choose.
type (
	// ServiceName names a service of the sheet.
	ServiceName string
	// InstanceID names one backend server and the daemon beside it.
	InstanceID string
	// FailureDomain names a set of VMs that can fail or be taken out together.
	FailureDomain string
	// Region names a set of failure domains.
	Region string
	// BackendID names one run of a backend server that reports an id for it.
	BackendID string
	// InstanceClass names a kind of backend server with the same capacity.
	InstanceClass string
	// OperatorName names a person or program that publishes configuration.
	OperatorName string
	// ChangeID identifies one configuration change; a change with a repeated id is
	// applied once.
	ChangeID string
	// IdempotencyKey is a caller's key for one logical request.
	IdempotencyKey string
	// Address is an IP address and port.
	Address string
	// ServiceVersion names a version of a service's software.
	ServiceVersion string
	// AccountName names a client account.
	AccountName string
)

// Hash returns a short hash of the name, which is never zero. It stands for the account in
// messages between daemons. Two accounts may share one; they are then treated as one there.
func (a AccountName) Hash() uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(a)) // A hash does not fail.
	return max(1, h.Sum32())
}

// Counters and units.
type (
	// Version numbers accepted configurations, starting at 1. Zero means none.
	Version uint64
	// Era numbers the times between losses of acknowledged records of the log. Offsets
	// of different eras cannot be compared.
	Era uint64
	// Offset is a position in a stream of the log.
	Offset uint64
	// Incarnation tells restarts of one process apart; a later one is larger.
	Incarnation uint64
	// Epoch numbers the owners of a key shard.
	Epoch uint64
	// Shard numbers a part of the key space.
	Shard uint32
	// Slots is a number of requests a backend server runs at the same time.
	Slots int32
)
