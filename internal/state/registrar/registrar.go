// Package registrar keeps the table of daemons that a daemon knows and what each
// says of the backend server beside it.
//
// There is no list of members elsewhere. A daemon learns others from the
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
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Load is what admission knows of its backend server at the moment of a report.
type Load struct {
	Running int32 `json:"running"`
	Queued  int32 `json:"queued"`
	// Limit is the number of requests that admission lets run now.
	Limit int32 `json:"limit"`
	// SlowdownPercent is how long work takes on the VM; 100 is as usual.
	SlowdownPercent int32 `json:"slowdown_percent"`
	// Cold says that starts are limited.
	Cold bool `json:"cold,omitempty"`
}

// Member is a daemon with the backend server beside it.
type Member struct {
	// Node names the VM; the daemon and its backend server share it.
	Node identifier.InstanceID `json:"node"`
	// Incarnation is later for a daemon that started later.
	Incarnation identifier.Incarnation `json:"incarnation"`
	// Revision orders the reports of one incarnation.
	Revision      uint64                   `json:"revision"`
	FailureDomain identifier.FailureDomain `json:"failure_domain"`
	Region        identifier.Region        `json:"region,omitempty"`
	// Peer is the address for attempts, Report the one for reports by UDP.
	Peer    identifier.Address     `json:"peer"`
	Report  identifier.Address     `json:"report"`
	Service identifier.ServiceName `json:"service"`
	Slots   identifier.Slots       `json:"slots"`
	// Backend and BackendStart tell the run of the backend server.
	Backend      identifier.BackendID   `json:"backend,omitempty"`
	BackendStart identifier.Incarnation `json:"backend_start,omitempty"`
	// Leaving says that the backend server takes no more work in this run.
	Leaving bool `json:"leaving,omitempty"`
	// Accepting says that admission takes attempts.
	Accepting bool `json:"accepting"`
	// StoreUnreachable says that the daemon does not reach the platform's store.
	StoreUnreachable bool `json:"cut,omitempty"`
	Load             Load `json:"load"`
}

const (
	// silentAfter is the time without a report after which a member is picked
	// only when no other is left. Reports come every 400 ms at least.
	silentAfter = 1500 * timer.Millis(1)
	// forgetAfter is the time without a report after which a member that was
	// heard is dropped. It covers partitions of a working day's faults.
	forgetAfter = 2 * timer.Minute
)

// Change says what a report changed.
type Change uint8

// Changes.
const (
	// Stale means that a later report is known.
	Stale Change = iota
	// LoadChanged means that the member is the same but for its load.
	LoadChanged
	// MemberChanged means that what is known of the member changed.
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
}

type entry struct {
	member  Member
	heardAt timer.Millis
	// heard says that the member itself reported, and not only the store.
	heard bool
}

// Registrar is the table of members.
type Registrar struct {
	self    identifier.InstanceID
	entries map[identifier.InstanceID]*entry
	// runs finds an entry by the incarnation that a pulse names.
	runs    map[identifier.Incarnation]*entry
	version uint64
}

// New returns a table without members. Reports of the named one are ignored.
func New(self identifier.InstanceID) *Registrar {
	return &Registrar{self: self, entries: map[identifier.InstanceID]*entry{}, runs: map[identifier.Incarnation]*entry{}}
}

// Version grows with each change other than of load.
func (r *Registrar) Version() uint64 { return r.version }

// Observe takes in a member's own report.
func (r *Registrar) Observe(now timer.Millis, m Member) Change {
	if m.Node == r.self {
		return Stale
	}
	r.dropPredecessors(m)
	known, found := r.entries[m.Node]
	if !found {
		r.add(&entry{member: m, heardAt: now, heard: true})
		r.version++
		return Joined
	}
	old := known.member
	if m.Incarnation < old.Incarnation || m.Incarnation == old.Incarnation && m.Revision <= old.Revision && known.heard {
		return Stale
	}
	revived := !known.heard || now-known.heardAt > silentAfter
	delete(r.runs, old.Incarnation)
	known.member, known.heardAt, known.heard = m, now, true
	r.runs[m.Incarnation] = known
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

// ObserveStatus takes in the status update of a member. It returns false if no member has
// the incarnation and accepts attempts as the pulse says, so that a full report
// is needed; a late pulse changes nothing.
func (r *Registrar) ObserveStatus(now timer.Millis, p StatusUpdate) (Member, bool) {
	e := r.runs[p.Incarnation]
	if e == nil || !e.heard || e.member.Accepting != p.Accepting {
		return Member{}, false
	}
	if p.Revision > e.member.Revision {
		e.member.StoreUnreachable = p.StoreUnreachable
		if now-e.heardAt > silentAfter {
			r.version++
		}
		e.member.Revision, e.member.Load, e.heardAt = p.Revision, p.Load, now
	}
	return e.member, true
}

// dropPredecessors drops the members whose address a later one has taken over.
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
	r.runs[e.member.Incarnation] = e
}

func (r *Registrar) drop(e *entry) {
	delete(r.entries, e.member.Node)
	delete(r.runs, e.member.Incarnation)
}

// succeeded reports whether a later member has taken over the address of another.
func (r *Registrar) succeeded(m Member) bool {
	for node, e := range r.entries {
		if node != m.Node && e.member.Peer == m.Peer && m.Peer != "" && e.member.Incarnation > m.Incarnation {
			return true
		}
	}
	return false
}

// Learn takes in a member that another source named. It is not picked before its
// own report.
func (r *Registrar) Learn(now timer.Millis, m Member) bool {
	known, found := r.entries[m.Node]
	if m.Node == r.self || found && m.Incarnation <= known.member.Incarnation || r.succeeded(m) {
		return false
	}
	r.dropPredecessors(m)
	m.Accepting = false
	r.add(&entry{member: m, heardAt: now})
	r.version++
	return true
}

// Expire drops members that have been silent for long and reports whether the
// set of members that speak changed.
func (r *Registrar) Expire(now timer.Millis) bool {
	changed := false
	for _, e := range r.entries {
		if now-e.heardAt > forgetAfter {
			r.drop(e)
			changed = true
		}
	}
	if changed {
		r.version++
	}
	return changed
}

// Lookup returns a member.
func (r *Registrar) Lookup(node identifier.InstanceID) (Member, bool) {
	e, found := r.entries[node]
	if !found {
		return Member{}, false
	}
	return e.member, true
}

// Silent reports whether nothing was heard of a member for a while.
func (r *Registrar) Silent(now timer.Millis, node identifier.InstanceID) bool {
	e, found := r.entries[node]
	return !found || !e.heard || now-e.heardAt > silentAfter
}

// Instances returns the members of a service that accept attempts, by node, and
// without the silent ones if others are left.
func (r *Registrar) Instances(now timer.Millis, service identifier.ServiceName) []Member {
	var speaking, silent []Member
	for _, e := range r.entries {
		switch {
		case e.member.Service != service || !e.member.Accepting:
		case now-e.heardAt > silentAfter:
			silent = append(silent, e.member)
		default:
			speaking = append(speaking, e.member)
		}
	}
	if len(speaking) == 0 {
		speaking = silent
	}
	slices.SortFunc(speaking, byNode)
	return speaking
}

// Members returns every member, by node.
func (r *Registrar) Members() []Member {
	members := make([]Member, 0, len(r.entries))
	for _, e := range r.entries {
		members = append(members, e.member)
	}
	slices.SortFunc(members, byNode)
	return members
}

// ReportAddresses returns the addresses for reports of the members that a filter passes,
// in no order.
func (r *Registrar) ReportAddresses(passes func(identifier.Incarnation) bool) []identifier.Address {
	var addresses []identifier.Address
	for incarnation, e := range r.runs {
		if passes(incarnation) {
			addresses = append(addresses, e.member.Report)
		}
	}
	return addresses
}

// Size returns the number of members.
func (r *Registrar) Size() int { return len(r.entries) }

// ActiveCount returns the number of members heard of lately.
func (r *Registrar) ActiveCount(now timer.Millis) int {
	count := 0
	for _, e := range r.entries {
		if e.heard && now-e.heardAt <= silentAfter {
			count++
		}
	}
	return count
}

func byNode(x, y Member) int { return cmp.Compare(x.Node, y.Node) }
