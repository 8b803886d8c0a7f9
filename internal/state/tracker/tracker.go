// Package tracker holds the membership table: which instances announced
// themselves, and which of them this daemon can use.
//
// The table is a fold of the membership stream. Its content depends only on the
// records, so every daemon that has folded the same offsets has the same table:
//
//   - per instance the record with the highest incarnation wins;
//   - at equal incarnation a leave wins over a join and a renewal;
//   - at equal incarnation the join with the highest revision wins.
//
// A leave stays in the table as a tombstone for one retention, so that a join
// that arrives late cannot undo it. The fold does not depend on time: an entry
// that was not renewed for the retention is removed by a leave that a log
// reader appends. The retention is counted only while the log is confirmed
// readable, since entries cannot be renewed while the log is down.
//
// Local liveness is kept separate from the fold and never changes it.
//
// # Usage
//
//	t := tracker.New(tracker.Config{Self: "m-17", FailureDomain: "aarhus", Retention: timer.Hour})
//	err := t.Apply(offset, payload)
//	for _, member := range t.Instances("materials") {
//		if t.Usable(member.Instance, now) { ... }
//	}
//	actions := t.Step(now, tracker.Observed{Instance: "m-3", Alive: false})
//
// A Tracker is not safe for concurrent use. The slices it returns are shared
// and never written again, so they may be read after the owner's lock is
// released.
package tracker

import (
	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Classes of errors of this package.
var (
	// Error is the class of errors in records and checkpoints.
	Error = errs.Class("tracker")
	// Gap is the class of errors for a record that does not follow the last
	// folded one.
	Gap = errs.Class("tracker gap")
)

// Config configures a Tracker.
type Config struct {
	// Self is the instance beside which this daemon runs.
	Self identifier.InstanceID
	// FailureDomain is the failure domain of this daemon.
	FailureDomain identifier.FailureDomain
	// Retention is the time for which the log keeps records.
	Retention timer.Millis
}

// Tracker is the membership table and the local liveness of its members.
type Tracker struct {
	config Config
	table  *table

	// next is the offset of the next record to fold. The last folded offset is
	// next-1; nothing has been folded while next is 0.
	next       identifier.Offset
	checkpoint Checkpoint
	malformed  uint64

	readableTime timer.Millis
	lastTick     timer.Millis
	lastScan     timer.Millis
	health       map[identifier.InstanceID]health
	suspicions   map[identifier.InstanceID]suspicion
	// remote caches the members of other failure domains that remoteOf checks.
	remote        []Member
	remoteOf      identifier.InstanceID
	remoteVersion uint64
	ranks         []identifier.InstanceID
	rankVersion   uint64
}

// New returns an empty tracker.
func New(config Config) *Tracker {
	return &Tracker{
		config:     config,
		table:      newTable(),
		health:     make(map[identifier.InstanceID]health),
		suspicions: make(map[identifier.InstanceID]suspicion),
	}
}

// Folded returns the offset of the last folded record. It reports false while
// nothing has been folded or restored.
func (t *Tracker) Folded() (identifier.Offset, bool) {
	if t.next == 0 {
		return 0, false
	}
	return t.next - 1, true
}

// Malformed counts folded payloads and records that were skipped because they
// could not be decoded or checked.
func (t *Tracker) Malformed() uint64 { return t.malformed }

// Len returns the number of members.
func (t *Tracker) Len() int { return t.table.live }

// DomainLen returns the number of members of a failure domain.
func (t *Tracker) DomainLen(domain identifier.FailureDomain) int {
	id, ok := t.table.domainNames.ids[domain]
	if !ok || int(id) >= len(t.table.domains) {
		return 0
	}
	return len(t.table.domains[id].ring)
}

// Instances returns the members of a service, ordered by instance.
func (t *Tracker) Instances(service identifier.ServiceName) []Member {
	return t.table.instances(service)
}

// Lookup returns the entry of an instance, or false if it is not a member.
func (t *Tracker) Lookup(instance identifier.InstanceID) (Entry, bool) {
	r := t.table.find(instance)
	if r == nil || r.left {
		return Entry{}, false
	}
	return Entry{Member: t.table.member(r), RenewedOffset: r.offset, RenewedAge: t.readableTime - r.renewed}, true
}

// Present reports whether an incarnation of an instance is a member.
func (t *Tracker) Present(instance identifier.InstanceID, incarnation identifier.Incarnation) bool {
	r := t.table.find(instance)
	return r != nil && !r.left && r.incarnation == incarnation
}

// Removed reports whether an incarnation of an instance was removed from the
// membership, and the incarnation that the next one must exceed. A daemon
// calls it for its own instance.
func (t *Tracker) Removed(instance identifier.InstanceID, incarnation identifier.Incarnation) (identifier.Incarnation, bool) {
	r := t.table.find(instance)
	if r == nil || r.incarnation < incarnation {
		return 0, false
	}
	return r.incarnation, r.left || r.incarnation > incarnation
}
