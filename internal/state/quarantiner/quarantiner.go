// Package quarantiner decides which requests may run when some of them crash
// backend servers. There is one Quarantiner per daemon, for the service of its
// backend server.
//
// All times are Unix milliseconds, since entries travel between daemons.
//
// # Usage
//
// The owner calls Verdict for each arriving fingerprint before it passes the
// attempt to the admitter:
//
//	verdict, left := q.Verdict(wall, fingerprint)
//
// The admitter's BackendCrash action is passed as Crash, the end of an attempt that ran
// alone as Complete, entries of other daemons as Remote. Each Broadcast action is
// sent to the other daemons of the service; quarantines are stored. A daemon that starts
// gets what InForce returns at the others. Each VerdictChanged action is passed to the
// admitter as Restrict, for attempts that were queued before the verdict changed.
//
// # Convergence
//
// An entry consists of a fingerprint, a kind and an expiry. For each fingerprint
// the latest expiry per kind is kept, so the order and number of messages do not
// matter. A quarantine takes precedence until it expires, also over a concurrent
// clear, because the request was seen to crash a server on its own. A suspect
// entry counts only if it expires later than the latest clear; a crash after a
// clear therefore creates a suspect entry that expires later than that clear.
package quarantiner

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Config bounds the table. Zero fields take their default.
type Config struct {
	// Entries is the maximum number of fingerprints kept.
	Entries int
	// Period is the quarantine_ms of the service until Settings changes it.
	Period timer.Millis
}

const (
	defaultEntries = 4096
	defaultPeriod  = 5 * timer.Minute
	// maxRemoteExpiry bounds how far ahead a remote entry may expire, so that a
	// wrong clock on another VM cannot block a fingerprint forever.
	maxRemoteExpiry = timer.Day
)

// Quarantiner holds the suspect, cleared and quarantined fingerprints of one
// service. It is not safe for concurrent use.
type Quarantiner struct {
	config Config
	table  map[identifier.Fingerprint]expiries
}

// New returns a Quarantiner without entries.
func New(config Config) *Quarantiner {
	if config.Entries <= 0 {
		config.Entries = defaultEntries
	}
	if config.Period <= 0 {
		config.Period = defaultPeriod
	}
	return &Quarantiner{config: config, table: make(map[identifier.Fingerprint]expiries)}
}

// Verdict returns whether an arriving request may run and, for Refuse, the
// remaining time of the quarantine.
func (q *Quarantiner) Verdict(wall timer.Millis, fingerprint identifier.Fingerprint) (Verdict, timer.Millis) {
	return q.table[fingerprint].verdict(wall)
}

// InForce returns up to limit entries that restrict a request at the given time, for
// daemons that do not have them: quarantines first, then those that expire last.
func (q *Quarantiner) InForce(wall timer.Millis, limit int) []Entry {
	var entries []Entry
	for fingerprint, t := range q.table {
		switch verdict, _ := t.verdict(wall); verdict {
		case Refuse:
			entries = append(entries, Entry{Fingerprint: fingerprint, Kind: Quarantined, Expires: t[Quarantined]})
		case RunSolo:
			entries = append(entries, Entry{Fingerprint: fingerprint, Kind: Suspect, Expires: t[Suspect]})
		case Run:
		}
	}
	slices.SortFunc(entries, func(x, y Entry) int {
		return cmp.Or(cmp.Compare(y.Kind, x.Kind), cmp.Compare(y.Expires, x.Expires), bytes.Compare(x.Fingerprint[:], y.Fingerprint[:]))
	})
	return entries[:min(limit, len(entries))]
}

// Size returns the number of fingerprints kept.
func (q *Quarantiner) Size() int { return len(q.table) }

// Step handles one event and appends the resulting actions to the given slice.
func (q *Quarantiner) Step(wall timer.Millis, event Event, actions []Action) []Action {
	switch e := event.(type) {
	case Crash:
		return q.crash(wall, e, actions)
	case Complete:
		return q.complete(wall, e, actions)
	case Remote:
		entry := e.Entry
		entry.Expires = min(entry.Expires, wall+maxRemoteExpiry)
		return q.merge(wall, entry, actions)
	case Settings:
		if e.Period > 0 {
			q.config.Period = e.Period
		}
	case Tick:
		q.expire(wall)
	}
	return actions
}

// crash marks the running requests as suspects and quarantines a suspect that ran
// alone. A first crash does not quarantine: it may have another cause, such as a
// lost VM, and the fingerprint of a popular request must not be refused for that.
func (q *Quarantiner) crash(wall timer.Millis, e Crash, actions []Action) []Action {
	alone := !e.Uncertain && sameFingerprint(e.Running)
	// Several running requests may have the same fingerprint. The verdicts before
	// the crash are used for all, or one crash would count once for each of them.
	before := make([]Verdict, len(e.Running))
	for i, r := range e.Running {
		before[i], _ = q.Verdict(wall, r.Fingerprint)
	}
	for i, r := range e.Running {
		if !r.HasFingerprint {
			continue
		}
		entry := Entry{Fingerprint: r.Fingerprint, Kind: Suspect, Expires: wall + q.config.Period}
		if before[i] != Run && (r.Solo || alone) {
			entry.Kind = Quarantined
		} else {
			entry.Expires = max(entry.Expires, q.table[r.Fingerprint][Cleared]+1)
		}
		actions = append(q.merge(wall, entry, actions), Broadcast{entry})
	}
	return actions
}

// sameFingerprint reports whether all running requests have the same fingerprint,
// so that no other request can have caused the crash.
func sameFingerprint(running []Running) bool {
	for _, r := range running {
		if !r.HasFingerprint || r.Fingerprint != running[0].Fingerprint {
			return false
		}
	}
	return true
}

func (q *Quarantiner) complete(wall timer.Millis, e Complete, actions []Action) []Action {
	t, known := q.table[e.Fingerprint]
	if !known || !e.Good || !e.Solo || t[Suspect] <= wall {
		return actions
	}
	entry := Entry{Fingerprint: e.Fingerprint, Kind: Cleared, Expires: max(wall+q.config.Period, t[Suspect])}
	return append(q.merge(wall, entry, actions), Broadcast{entry})
}

// merge keeps the later expiry per kind and reports a changed verdict.
func (q *Quarantiner) merge(wall timer.Millis, entry Entry, actions []Action) []Action {
	t := q.table[entry.Fingerprint]
	if entry.Kind >= kindCount || entry.Expires <= wall || entry.Expires <= t[entry.Kind] {
		return actions
	}
	before, _ := t.verdict(wall)
	t[entry.Kind] = entry.Expires
	q.table[entry.Fingerprint] = t
	after, left := t.verdict(wall)
	if before != after {
		actions = append(actions, VerdictChanged{Fingerprint: entry.Fingerprint, Verdict: after, TimeLeft: left})
	}
	if len(q.table) > q.config.Entries {
		q.evict(wall)
	}
	return actions
}

func (q *Quarantiner) expire(wall timer.Millis) {
	for fingerprint, t := range q.table {
		if t.last() <= wall {
			delete(q.table, fingerprint)
		}
	}
}

// evict removes expired entries, or if there are none the least important one:
// cleared entries first, then suspects, then quarantines, each by the earliest
// expiry.
func (q *Quarantiner) evict(wall timer.Millis) {
	q.expire(wall)
	if len(q.table) <= q.config.Entries {
		return
	}
	var least identifier.Fingerprint
	var lowest expiries
	first := true
	for fingerprint, t := range q.table {
		if first || t.less(lowest, wall) {
			least, lowest, first = fingerprint, t, false
		}
	}
	delete(q.table, least)
}
