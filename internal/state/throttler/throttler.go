// Package throttler limits the requests of client accounts at one daemon so that their
// quotas hold over all daemons together.
//
// A daemon reports the requests of each account to a coordinator, whose answers name the
// accounts that exceed their quota and the share of their requests that is admitted.
// All others are open. Without an answer, accounts are limited to the rates they had.
//
// # Usage
//
//	t := throttler.New(now)
//	t.SetAccounts(now, snapshot.Accounts, daemons)
//	if ok, retryAfter := t.Admit(now, account); !ok { ... }
//	if report, due := t.Report(now); due { ... } // every ReportInterval
//	t.Grant(now, answer)
//
// A Throttler is not safe for concurrent use; its owner serialises calls.
package throttler

import (
	"math/rand/v2"

	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// ReportInterval is the time between reports, and minReportInterval that between
	// reports of an account whose requests have increased.
	ReportInterval    = 200 * timer.Millis(1)
	minReportInterval = 20 * timer.Millis(1)
	// surgeRequests and surgeFactor are how far an account's requests since the last
	// report exceed those expected if a report is sent at once.
	surgeRequests = 3
	surgeFactor   = 2
	// Bounds of the time after which a refused caller is told to return.
	minRetryAfter = 200 * timer.Millis(1)
	maxRetryAfter = 2 * timer.Second
	// repeatInterval is the time after which a report without an answer is followed by
	// the next, for repeatSpan. Half of ReportInterval keeps requests from being limited
	// without an answer when two datagrams are lost.
	repeatInterval = 100 * timer.Millis(1)
	repeatSpan     = 2 * timer.Second
	// keepAliveInterval is the time between reports without requests. A daemon learns from
	// the answers which accounts are metered before the first request of one: one request
	// at every daemon may exceed a small quota.
	keepAliveInterval = 500 * timer.Millis(1)
	// sentReports is the number of reports whose times are kept. Later ones are
	// sent at least every ReportInterval, so an answer to an earlier one is of no use.
	sentReports = 16
)

// Throttler is the limits of all accounts at one daemon.
type Throttler struct {
	byName  map[identifier.AccountName]*entry
	byKey   map[AccountKey]*entry
	active  []*entry // With requests that are not reported or acknowledged.
	metered []*entry
	daemons int

	epoch    identifier.Epoch
	sequence uint64
	// answeredSequence is the latest report that was answered.
	answeredSequence uint64
	reportedAt       timer.Millis
	// waitingSince is when the first report was sent that no answer has followed. Zero
	// means that none is missing.
	waitingSince timer.Millis
	sentAt       [sentReports]timer.Millis
	surge        bool
	random       *rand.Rand
}

// New returns a Throttler without accounts.
func New(now timer.Millis) *Throttler {
	return &Throttler{
		byName: map[identifier.AccountName]*entry{}, byKey: map[AccountKey]*entry{}, daemons: 1, reportedAt: now,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Limited reports whether any account has a quota.
func (t *Throttler) Limited() bool { return len(t.byName) > 0 }

// SetAccounts sets the quotas and the number of daemons that share them. Accounts with
// the same key share the smaller quota.
func (t *Throttler) SetAccounts(now timer.Millis, accounts []router.Account, daemons int) {
	t.SetDaemons(daemons)
	before := t.byKey
	t.byName, t.byKey = map[identifier.AccountName]*entry{}, map[AccountKey]*entry{}
	for i := range accounts {
		if accounts[i].Quota.PerSecond > 0 {
			t.add(now, before, &accounts[i])
		}
	}
	known := func(list []*entry) []*entry {
		kept := list[:0]
		for _, e := range list {
			if t.byKey[e.key] == e {
				kept = append(kept, e)
			}
		}
		clear(list[len(kept):])
		return kept
	}
	t.active, t.metered = known(t.active), known(t.metered)
}

// SetDaemons sets the number of daemons that share the quotas.
func (t *Throttler) SetDaemons(daemons int) { t.daemons = max(1, daemons) }

func (t *Throttler) add(now timer.Millis, before map[AccountKey]*entry, account *router.Account) {
	key, quota := KeyOf(account.Name), account.Quota
	if e, shared := t.byKey[key]; shared {
		e.quota.PerSecond, e.quota.Burst = min(e.quota.PerSecond, quota.PerSecond), min(e.quota.Burst, quota.Burst)
		t.byName[account.Name] = e
		return
	}
	e, found := before[key]
	if !found {
		// A random credit spreads the first request admitted over the daemons.
		e = &entry{key: key, quota: quota, share: FullShare, credit: t.random.Float64(), windowStart: now, meanAt: now}
	}
	if quota.PerSecond < e.quota.PerSecond {
		// A daemon without an answer keeps to the lowered quota too.
		e.mean *= quota.PerSecond / e.quota.PerSecond
	}
	e.quota = quota
	t.byName[account.Name], t.byKey[key] = e, e
}

// SetEpoch sets the epoch of the coordinator that is named. Answers of earlier ones are
// ignored from then on.
func (t *Throttler) SetEpoch(epoch identifier.Epoch) { t.epoch = max(t.epoch, epoch) }

// Epoch returns the latest epoch known.
func (t *Throttler) Epoch() identifier.Epoch { return t.epoch }

// Waiting returns for how long reports have not been answered.
func (t *Throttler) Waiting(now timer.Millis) timer.Millis {
	if t.waitingSince == 0 {
		return 0
	}
	return max(0, now-t.waitingSince)
}

// Admit decides on a request of an account and counts it. If it is refused, retryAfter
// is when the caller may try again.
func (t *Throttler) Admit(now timer.Millis, account identifier.AccountName) (ok bool, retryAfter timer.Millis) {
	e, limited := t.byName[account]
	if !limited {
		return true, 0
	}
	e.count(now)
	t.activate(e)
	answered := !t.cutOff(e, now)
	if answered {
		ok = e.follow(now, t.Waiting(now) <= repeatInterval)
	} else {
		e.refill(now, t.waitingSince, t.daemons)
		ok = e.draw(t.random.Float64())
	}
	if !ok {
		wait := e.retryAfter(now, answered, t.daemons)
		return false, wait + timer.Millis(t.random.Int64N(int64(wait)/2+1))
	}
	e.admitted++
	if pending := e.admitted - e.reported; pending > surgeRequests && !t.surge {
		expected := e.mean * float64(now-t.reportedAt) / float64(timer.Second)
		t.surge = float64(pending) > surgeFactor*expected
	}
	return true, 0
}

// cutOff reports whether an account is limited without an answer. It stays so until an
// answer arrives, also if the clock goes back.
func (t *Throttler) cutOff(e *entry, now timer.Millis) bool {
	return t.waitingSince > 0 && e.cutOff == t.waitingSince || t.Waiting(now) > e.patience()
}

func (t *Throttler) activate(e *entry) {
	if !e.active {
		e.active = true
		t.active = append(t.active, e)
	}
}

// Surging reports whether a report is due at once because of increased requests.
func (t *Throttler) Surging(now timer.Millis) bool {
	return t.surge && now-t.reportedAt >= minReportInterval
}

// Refund returns the token of an admitted request that did not run.
func (t *Throttler) Refund(now timer.Millis, account identifier.AccountName) {
	e, limited := t.byName[account]
	if !limited || e.admitted == 0 {
		return
	}
	e.admitted--
	t.activate(e)
	if t.cutOff(e, now) {
		e.tokens++ // The next refill bounds it by the capacity.
		return
	}
	if e.share < FullShare {
		e.credit = min(e.credit+1, 1)
	}
}

// due reports whether a report is sent now.
func (t *Throttler) due(now timer.Millis) bool {
	passed := now - t.reportedAt
	switch {
	case t.Surging(now):
		return true
	case t.waitingSince > 0 && now-t.waitingSince < repeatSpan:
		return passed >= repeatInterval
	case len(t.active) > 0:
		return passed >= ReportInterval
	default:
		return passed >= keepAliveInterval
	}
}

// Report returns the next report if one is due: ReportInterval after the last one, or
// sooner if requests have increased or the last one was not answered, and later if there
// are none. None is due while no account has a quota. The caller sets node and incarnation.
func (t *Throttler) Report(now timer.Millis) (report UseReport, due bool) {
	if !t.Limited() || !t.due(now) {
		return UseReport{}, false
	}
	t.sequence++
	t.sentAt[t.sequence%sentReports] = now
	t.reportedAt, t.surge = now, false
	if t.waitingSince == 0 {
		t.waitingSince = now
	}
	report = UseReport{Epoch: t.epoch, Sequence: t.sequence}
	kept, later := t.active[:0], []*entry(nil)
	for _, e := range t.active {
		offered := RateOf(e.offered(now))
		switch {
		case offered == 0 && e.admitted == e.acknowledged:
			e.active = false
			continue
		case len(report.Uses) == maxUses:
			later = append(later, e) // First in the next report.
			continue
		}
		kept = append(kept, e)
		e.reported, e.sequence = e.admitted, t.sequence
		report.Uses = append(report.Uses, Use{
			Account: e.key, Offered: offered, Admitted: e.admitted, Unacknowledged: e.admitted - e.acknowledged, Held: e.share,
		})
	}
	clear(t.active[len(kept)+len(later):])
	t.active = append(later, kept...)
	return report, true
}

// Grant applies an answer. One of an earlier epoch or to an earlier report than the last
// one answered is ignored.
func (t *Throttler) Grant(_ timer.Millis, grant Grant) {
	if grant.Epoch < t.epoch || grant.Sequence <= t.answeredSequence || grant.Sequence > t.sequence {
		return
	}
	t.epoch, t.answeredSequence = grant.Epoch, grant.Sequence
	t.waitingSince = 0
	if next := grant.Sequence + 1; next <= t.sequence {
		t.waitingSince = t.sentAt[max(next, t.sequence-min(t.sequence, sentReports-1))%sentReports]
	}
	for _, e := range t.active {
		if e.sequence > 0 && e.sequence <= grant.Sequence {
			e.acknowledged = e.reported
		}
	}
	for _, e := range t.metered {
		e.share = FullShare
	}
	t.metered = t.metered[:0]
	for _, limit := range grant.Limits {
		if e, found := t.byKey[limit.Account]; found && limit.Share < FullShare {
			e.share = limit.Share
			t.metered = append(t.metered, e)
		}
	}
}
