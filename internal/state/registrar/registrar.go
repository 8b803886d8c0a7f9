// Package registrar holds a daemon's table of the other daemons, with what each
// reports about the backend server beside it.
//
// There is no list of members elsewhere. A daemon learns of others from the
// platform's store when it starts and from the reports that daemons send each
// other; a report of a later incarnation or revision replaces an earlier one.
//
// # Usage
//
//	table := registrar.New(self)
//	change := table.Observe(now, report)
//	for _, m := range table.Instances(service) { ... }
//
// A Registrar is not safe for concurrent use; its owner serialises calls.
package registrar

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Load is the load of a backend server as its admission sees it at the time of a
// report.
type Load struct {
	Running int32 `json:"running"`
	Queued  int32 `json:"queued"`
	// Limit is the number of requests that admission currently lets run at once.
	Limit int32 `json:"limit"`
	// SlowdownPercent is the duration of work on the VM relative to the usual one;
	// 100 is as usual.
	SlowdownPercent int32 `json:"slowdown_percent"`
	// Cold reports whether the backend server is cold, so that starts are limited.
	Cold bool `json:"cold,omitempty"`
	// StartDelayMs is the time until the rate that the backend server takes allows
	// another start, in ms.
	StartDelayMs int32 `json:"start_delay_ms,omitempty"`
}

// Member is a daemon with the backend server beside it.
type Member struct {
	// Node names the VM; the daemon and its backend server share it.
	Node identifier.InstanceID `json:"node"`
	// Incarnation is higher for a daemon that started later.
	Incarnation identifier.Incarnation `json:"incarnation"`
	// Revision orders the reports of one incarnation.
	Revision      uint64                   `json:"revision"`
	FailureDomain identifier.FailureDomain `json:"failure_domain"`
	Region        identifier.Region        `json:"region,omitempty"`
	// Peer is the address for attempts, Report the UDP address for reports.
	Peer    identifier.Address     `json:"peer"`
	Report  identifier.Address     `json:"report"`
	Service identifier.ServiceName `json:"service"`
	// Version is that of the backend server. It is empty unless there is a roll-out of
	// the service.
	Version identifier.ServiceVersion `json:"version,omitempty"`
	Slots   identifier.Slots          `json:"slots"`
	// Backend and BackendStart identify the run of the backend server.
	Backend      identifier.BackendID   `json:"backend,omitempty"`
	BackendStart identifier.Incarnation `json:"backend_start,omitempty"`
	// Presumed says that BackendStart is the time of the leave of a run whose start is not
	// known.
	Presumed bool `json:"presumed,omitempty"`
	// Leaving reports whether the backend server takes no more work in this run.
	Leaving bool `json:"leaving,omitempty"`
	// Accepting reports whether admission accepts attempts.
	Accepting bool `json:"accepting"`
	// Generation counts the changes of the fields other than Revision, Load and
	// StoreUnreachable in one incarnation. Zero means that it is not counted.
	Generation uint64 `json:"generation,omitempty"`
	// StoreUnreachable reports whether the daemon cannot reach the platform's store.
	StoreUnreachable bool `json:"cut,omitempty"`
	Load             Load `json:"load"`
}

const (
	// silenceTimeout is the time without a report after which a member is
	// selected only if no other is left. Reports arrive at least every 400 ms.
	silenceTimeout = 1500 * timer.Millis(1)
	// removeAfter is the time without a report after which a member is removed.
	// It outlasts the network partitions that faults cause on a working day.
	removeAfter = 2 * timer.Minute
)

// Change is the effect of a report on the table.
type Change uint8

// Effects of a report.
const (
	// Stale means that the report was ignored, since a later one is known or it
	// is the daemon's own.
	Stale Change = iota
	// LoadChanged means that at most the load and StoreUnreachable changed.
	LoadChanged
	// MemberChanged means that other fields changed, or that this is the first
	// report of a member that was silent or known only from another source.
	MemberChanged
	// Joined means that the member was not known.
	Joined
	// Restarted means that a new incarnation replaced the known one.
	Restarted
)

// StatusUpdate is the part of a member's report that changes often.
type StatusUpdate struct {
	Incarnation      identifier.Incarnation
	Revision         uint64
	Accepting        bool
	StoreUnreachable bool
	Load             Load
	// Generation is that of the newest report; zero if the sender does not count it.
	Generation uint64
	// Service is the key of the sender's service; zero if the sender does not say.
	Service ServiceKey
	// Fleet is the number of daemons that the sender assumes; zero if it does not say.
	Fleet uint32
}

// ServiceKey is a short hash of a service's name. Two services may share one, which
// only makes their members look like those of one service to a daemon that does not
// know them.
type ServiceKey uint32

// KeyOf returns the key of a service. It is never zero.
func KeyOf(service identifier.ServiceName) ServiceKey {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service)) // A hash does not fail.
	return max(1, ServiceKey(h.Sum32()))
}

type entry struct {
	member   Member
	key      ServiceKey
	lastSeen timer.Millis
	// reported is false while only another source, such as the store, named the
	// member.
	reported bool
}

// Registrar is the table of members.
type Registrar struct {
	self    identifier.InstanceID
	entries map[identifier.InstanceID]*entry
	// byIncarnation finds the entry for a status update.
	byIncarnation map[identifier.Incarnation]*entry
	version       uint64
	// returned are the members that TakeReturned returns.
	returned []Member
}

// New returns an empty table. It ignores reports of self.
func New(self identifier.InstanceID) *Registrar {
	return &Registrar{self: self, entries: map[identifier.InstanceID]*entry{}, byIncarnation: map[identifier.Incarnation]*entry{}}
}

// Version increases with each change of the table other than of load.
func (r *Registrar) Version() uint64 { return r.version }

// TakeReturned returns the members that have joined, restarted or reported again after a
// silence since the last call, and may have missed what others sent.
func (r *Registrar) TakeReturned() []Member {
	returned := r.returned
	r.returned = nil
	return returned
}

// Observe applies a member's own report.
func (r *Registrar) Observe(now timer.Millis, m Member) Change {
	if m.Node == r.self {
		return Stale
	}
	r.dropPredecessors(m)
	known, found := r.entries[m.Node]
	if !found {
		r.add(&entry{member: m, key: KeyOf(m.Service), lastSeen: now, reported: true})
		r.version++
		r.returned = append(r.returned, m)
		return Joined
	}
	old := known.member
	// An entry of another address that only another source named, and that has never reported,
	// does not hold against a report.
	foreign := !known.reported && old.Peer != m.Peer
	if m.Incarnation < old.Incarnation && !foreign || m.Incarnation == old.Incarnation && m.Revision <= old.Revision && known.reported {
		return Stale
	}
	revived := !known.reported || now-known.lastSeen > silenceTimeout
	delete(r.byIncarnation, old.Incarnation)
	known.member, known.key, known.lastSeen, known.reported = m, KeyOf(m.Service), now, true
	r.byIncarnation[m.Incarnation] = known
	if revived || m.Incarnation > old.Incarnation {
		r.returned = append(r.returned, m)
	}
	if m.Incarnation > old.Incarnation {
		r.version++
		return Restarted
	}
	old.Revision, old.Load, old.StoreUnreachable = m.Revision, m.Load, m.StoreUnreachable
	if old != m || revived {
		r.version++
		return MemberChanged
	}
	return LoadChanged
}

// ObserveStatus applies a status update. It returns false if no member that has
// reported matches its incarnation, its Accepting and its Generation, so that a full
// report is needed. A late update changes nothing.
func (r *Registrar) ObserveStatus(now timer.Millis, u StatusUpdate) (Member, bool) {
	e := r.byIncarnation[u.Incarnation]
	if e == nil || !e.reported || e.member.Accepting != u.Accepting || u.Generation > e.member.Generation {
		return Member{}, false
	}
	if u.Revision > e.member.Revision {
		e.member.StoreUnreachable = u.StoreUnreachable
		if now-e.lastSeen > silenceTimeout {
			r.version++
			r.returned = append(r.returned, e.member)
		}
		e.member.Revision, e.member.Load, e.lastSeen = u.Revision, u.Load, now
	}
	return e.member, true
}

// dropPredecessors removes members of an earlier incarnation with the peer
// address of m.
func (r *Registrar) dropPredecessors(m Member) {
	for node, e := range r.entries {
		if node != m.Node && e.member.Peer == m.Peer && m.Peer != "" && e.member.Incarnation < m.Incarnation {
			r.drop(e)
			r.version++
		}
	}
}

func (r *Registrar) add(e *entry) {
	if known, found := r.entries[e.member.Node]; found {
		r.drop(known)
	}
	r.entries[e.member.Node] = e
	r.byIncarnation[e.member.Incarnation] = e
}

func (r *Registrar) drop(e *entry) {
	delete(r.entries, e.member.Node)
	delete(r.byIncarnation, e.member.Incarnation)
}

// superseded reports whether a member of a later incarnation has the peer
// address of m.
func (r *Registrar) superseded(m Member) bool {
	for node, e := range r.entries {
		if node != m.Node && e.member.Peer == m.Peer && m.Peer != "" && e.member.Incarnation > m.Incarnation {
			return true
		}
	}
	return false
}

// Learn adds a member that another source named. The member is not selected
// before its own report. It replaces no member that reports, since the source may hold an
// entry of another writer.
func (r *Registrar) Learn(now timer.Millis, m Member) bool {
	known, found := r.entries[m.Node]
	if m.Node == r.self || found && (m.Incarnation <= known.member.Incarnation || r.reports(now, known)) || r.superseded(m) {
		return false
	}
	for _, e := range r.entries {
		if e.member.Peer == m.Peer && r.reports(now, e) {
			return false
		}
	}
	r.dropPredecessors(m)
	m.Accepting = false
	r.add(&entry{member: m, key: KeyOf(m.Service), lastSeen: now})
	r.version++
	return true
}

// reports reports whether a member has sent a report within silenceTimeout.
func (r *Registrar) reports(now timer.Millis, e *entry) bool {
	return e.reported && now-e.lastSeen <= silenceTimeout
}

// Expire removes members without a report for removeAfter and reports whether it
// removed any.
func (r *Registrar) Expire(now timer.Millis) bool {
	changed := false
	for _, e := range r.entries {
		if now-e.lastSeen > removeAfter {
			r.drop(e)
			changed = true
		}
	}
	if changed {
		r.version++
	}
	return changed
}

// Lookup returns the member with a node name, or false if there is none.
func (r *Registrar) Lookup(node identifier.InstanceID) (Member, bool) {
	e, found := r.entries[node]
	if !found {
		return Member{}, false
	}
	return e.member, true
}

// Silent reports whether a member has not sent a report within silenceTimeout.
func (r *Registrar) Silent(now timer.Millis, node identifier.InstanceID) bool {
	e, found := r.entries[node]
	return !found || !e.reported || now-e.lastSeen > silenceTimeout
}

// Instances returns the members of a service that accept attempts, ordered by
// node. It leaves out silent members unless all are silent.
func (r *Registrar) Instances(now timer.Millis, service identifier.ServiceName) []Member {
	var active, silent []Member
	for _, e := range r.entries {
		switch {
		case e.member.Service != service || !e.member.Accepting:
		case now-e.lastSeen > silenceTimeout:
			silent = append(silent, e.member)
		default:
			active = append(active, e.member)
		}
	}
	if len(active) == 0 {
		active = silent
	}
	slices.SortFunc(active, byNode)
	return active
}

// Members returns all members, ordered by node.
func (r *Registrar) Members() []Member {
	members := make([]Member, 0, len(r.entries))
	for _, e := range r.entries {
		members = append(members, e.member)
	}
	slices.SortFunc(members, byNode)
	return members
}

// Knows reports whether a member has an incarnation.
func (r *Registrar) Knows(incarnation identifier.Incarnation) bool {
	_, found := r.byIncarnation[incarnation]
	return found
}

// ActiveOf returns the number of members with a service key that reported within
// silenceTimeout.
func (r *Registrar) ActiveOf(now timer.Millis, key ServiceKey) int {
	count := 0
	for _, e := range r.entries {
		if e.key == key && r.reports(now, e) {
			count++
		}
	}
	return count
}

// Size returns the number of members.
func (r *Registrar) Size() int { return len(r.entries) }

// ActiveCount returns the number of members that reported within silenceTimeout.
func (r *Registrar) ActiveCount(now timer.Millis) int {
	count := 0
	for _, e := range r.entries {
		if r.reports(now, e) {
			count++
		}
	}
	return count
}

func byNode(x, y Member) int { return cmp.Compare(x.Node, y.Node) }
