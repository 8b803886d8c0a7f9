package tracker

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

const (
	// maxTickElapsed bounds the time that one tick counts towards the
	// retention. After a pause of this process, renewals by others may not have
	// been folded yet.
	maxTickElapsed = 5 * timer.Second
	// scansPerRetention is the number of searches for expired entries in one
	// retention.
	scansPerRetention = 64
)

// tick counts time towards the retention. On log readers it returns leaves for
// expired entries.
func (t *Tracker) tick(now timer.Millis, e Ticked) []Action {
	elapsed := now - t.lastTick
	if t.lastTick == 0 {
		elapsed = 0
	}
	t.lastTick = now
	if !e.LogConfirmed {
		return nil
	}
	t.readableTime += min(elapsed, maxTickElapsed)
	if t.readableTime-t.lastScan < t.config.Retention/scansPerRetention {
		return nil
	}
	t.lastScan = t.readableTime
	t.purge(now)
	if _, reader := t.ReaderRank(t.config.Self); !reader {
		return nil
	}
	return t.expired()
}

// expired returns leaves for entries without renewal. Readers of other failure
// domains wait an eighth longer, so that they act only for a failure domain
// that has no reader left.
func (t *Tracker) expired() []Action {
	var actions []Action
	for i := range t.table.rows {
		r := &t.table.rows[i]
		if r.left || r.instance == t.config.Self {
			continue
		}
		limit := t.config.Retention
		if t.table.domainNames.list[r.domain] != t.config.FailureDomain {
			limit += limit / 8
		}
		if t.readableTime-r.renewed > limit {
			actions = append(actions, AppendLeave{Leave: Leave{Instance: r.instance, Incarnation: r.incarnation}})
		}
	}
	return actions
}

// purge deletes tombstones after the retention, and suspicions that were not
// confirmed in time.
func (t *Tracker) purge(now timer.Millis) {
	for _, i := range t.table.index {
		if r := &t.table.rows[i]; r.left && t.readableTime-r.renewed > t.config.Retention {
			t.table.remove(i)
		}
	}
	for instance, s := range t.suspicions {
		if now-s.at > maxSuspicionAge {
			delete(t.suspicions, instance)
		}
	}
}
