// Package quarantiner decides which requests may run when some of them crash
// backend servers. There is one Quarantiner per daemon, for the service of its
// backend server.
//
// All times are Unix milliseconds, since entries travel between daemons.
//
// # Usage
//
// The owner asks Verdict for each arriving fingerprint before it hands the
// attempt to the admitter:
//
//	verdict, left := q.Verdict(wall, fingerprint)
//
// The admitter's BackendCrash action is passed as Crash, the end of an attempt that ran
// alone as Complete, entries of other daemons as Remote. Each Broadcast action is
// sent to the other daemons of the service and appended to the quarantine
// stream. Each VerdictChanged action is passed to the admitter as Restrict, for
// attempts that were queued before the verdict changed.
//
// # Convergence
//
// An entry is a fingerprint, a kind and the time until which it counts. For each
// fingerprint the latest time per kind is kept, so the order and number of
// messages do not matter. A quarantine wins until it ends, also over a clear
// that crosses it, because it was seen to crash a server alone. A suspicion
// counts only if it ends later than the latest clear; a crash after a clear
// therefore ends its suspicion later than that clear.
package quarantiner

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Config bounds the table. Zero fields take their default.
type Config struct {
	// Entries is the number of fingerprints kept.
	Entries int
	// Period is the quarantine_ms of the service until Settings changes it.
	Period timer.Millis
}

const (
	defaultEntries = 4096
	defaultPeriod  = 5 * timer.Minute
	// maxAhead bounds the end of a remote entry, so that a wrong clock elsewhere
	// cannot block a fingerprint for ever.
	maxAhead = timer.Day
)

// Quarantiner holds the suspect, cleared and quarantined fingerprints of one
// service. It is not safe for concurrent use.
type Quarantiner struct {
	config Config
	table  map[identifier.Fingerprint]times
}

// New returns a Quarantiner without entries.
func New(config Config) *Quarantiner {
	if config.Entries <= 0 {
		config.Entries = defaultEntries
	}
	if config.Period <= 0 {
		config.Period = defaultPeriod
	}
	return &Quarantiner{config: config, table: make(map[identifier.Fingerprint]times)}
}

// Verdict says whether an arriving request may run, and for Refuse how much
// time of the quarantine is left.
func (q *Quarantiner) Verdict(wall timer.Millis, fingerprint identifier.Fingerprint) (Verdict, timer.Millis) {
	return q.table[fingerprint].verdict(wall)
}

// Entries appends the entries that count at the given time to a buffer, for
// daemons that start.
func (q *Quarantiner) Entries(wall timer.Millis, entries []Entry) []Entry {
	for fingerprint, t := range q.table {
		for kind, until := range t {
			if until > wall {
				entries = append(entries, Entry{Fingerprint: fingerprint, Kind: Kind(kind), Expires: until})
			}
		}
	}
	return entries
}

// Size returns the number of fingerprints kept.
func (q *Quarantiner) Size() int { return len(q.table) }

// Step handles one event and appends the actions to a buffer of the caller.
func (q *Quarantiner) Step(wall timer.Millis, event Event, actions []Action) []Action {
	switch e := event.(type) {
	case Crash:
		return q.crash(wall, e, actions)
	case Complete:
		return q.complete(wall, e, actions)
	case Remote:
		entry := e.Entry
		entry.Expires = min(entry.Expires, wall+maxAhead)
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

// crash makes the running requests suspects. A suspect that ran alone is
// quarantined: one crash may have another cause, such as a lost VM, and the
// fingerprint of a popular request must not be refused for that.
func (q *Quarantiner) crash(wall timer.Millis, e Crash, actions []Action) []Action {
	alone := !e.Uncertain && same(e.Running)
	// Several running requests may have one fingerprint. They are judged by what
	// was known before, or one crash would count once for each of them.
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

// same reports whether all running requests have one fingerprint, so that no
// other request can have caused the crash.
func same(running []Running) bool {
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

// merge keeps the later end per kind and reports a changed verdict.
func (q *Quarantiner) merge(wall timer.Millis, entry Entry, actions []Action) []Action {
	t := q.table[entry.Fingerprint]
	if entry.Kind >= kinds || entry.Expires <= wall || entry.Expires <= t[entry.Kind] {
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
		q.shrink(wall)
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

// shrink drops expired entries, or else the one that protects least: cleared
// ones first, then suspects, then quarantines, each by the earliest end.
func (q *Quarantiner) shrink(wall timer.Millis) {
	q.expire(wall)
	if len(q.table) <= q.config.Entries {
		return
	}
	var least identifier.Fingerprint
	var lowest times
	first := true
	for fingerprint, t := range q.table {
		if first || t.less(lowest, wall) {
			least, lowest, first = fingerprint, t, false
		}
	}
	delete(q.table, least)
}
