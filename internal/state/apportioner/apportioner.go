// Package apportioner divides the quotas of client accounts among the daemons. It is the
// coordinator's side of package throttler.
//
// An account has a token bucket that is charged with the requests that daemons report
// as admitted. If the requests offered exceed what the bucket allows, each daemon may admit the
// same share of its own. A daemon that falls silent is charged with what it may admit
// without an answer, until its next report says what it did.
//
// # Usage
//
//	a := apportioner.New(now, epoch)
//	a.SetAccounts(now, snapshot.Accounts)
//	a.SetDaemons(daemons)
//	grant := a.Use(now, report)
//
// An Apportioner is not safe for concurrent use; its owner serialises calls.
package apportioner

import (
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/state/throttler"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// silenceTimeout is the time without a report after which a daemon counts as cut off.
	// Three reports in a row are missing then, as unanswered ones are repeated after 100 ms.
	silenceTimeout = 500 * timer.Millis(1)
	// idleTimeout is the same for a daemon without requests, which reports more rarely.
	idleTimeout = 900 * timer.Millis(1)
	// growthSpan is the time after its last report for which a silent daemon's charge follows
	// the growth of the requests of others: up to 1 s until it limits itself, and as long
	// until all of the growth is reported.
	growthSpan = 2 * timer.Second
	// forgetAfter is how long a silent daemon is charged. It is the time after which
	// members are removed.
	forgetAfter = 2 * timer.Minute
	// settleInterval is the time between checks for silent daemons.
	settleInterval = 100 * timer.Millis(1)
	// learnSpan is how long a new coordinator sets no looser limits than its predecessor.
	// All daemons in contact learn of it in this time; until then it knows only a part of
	// the requests, and the predecessor grants the rest.
	learnSpan = 2500 * timer.Millis(1)
)

// Apportioner is the coordinator's state.
type Apportioner struct {
	epoch     identifier.Epoch
	started   timer.Millis
	usedAt    timer.Millis
	settledAt timer.Millis
	accounts  map[throttler.AccountKey]*account
	// offered holds the accounts with requests.
	offered map[throttler.AccountKey]*account
	daemons map[throttler.NodeKey]*daemon
	// fleetSize is the number of daemons that may run, and fleet how many have reported.
	fleetSize int
	fleet     *contact
}

// New returns the state of a coordinator that has just started.
func New(now timer.Millis, epoch identifier.Epoch) *Apportioner {
	return &Apportioner{
		epoch: epoch, started: now, usedAt: now, settledAt: now,
		accounts: map[throttler.AccountKey]*account{}, offered: map[throttler.AccountKey]*account{},
		daemons: map[throttler.NodeKey]*daemon{}, fleet: &contact{},
	}
}

// SetDaemons sets the number of daemons that may run, silent ones included.
func (a *Apportioner) SetDaemons(count int) {
	a.fleetSize = count
	a.countUnheard()
}

func (a *Apportioner) countUnheard() {
	if a.fleetSize > 0 {
		a.fleet.unheard = max(0, 1-float64(len(a.daemons))/float64(a.fleetSize))
	}
}

// SetAccounts sets the quotas. Accounts with the same key share the smaller quota.
func (a *Apportioner) SetAccounts(now timer.Millis, accounts []router.Account) {
	next := map[throttler.AccountKey]*account{}
	for _, configured := range accounts {
		if configured.Quota.PerSecond <= 0 {
			continue
		}
		key, quota := throttler.KeyOf(configured.Name), configured.Quota
		if shared, found := next[key]; found {
			quota.PerSecond, quota.Burst = min(quota.PerSecond, shared.quota.PerSecond), min(quota.Burst, shared.quota.Burst)
		}
		known, found := a.accounts[key]
		if !found {
			known = newAccount(now, quota, a.fleet)
		}
		known.setQuota(now, quota)
		next[key] = known
	}
	a.accounts = next
	for key := range a.offered {
		if _, found := next[key]; !found {
			delete(a.offered, key)
		}
	}
	for _, d := range a.daemons {
		for key := range d.uses {
			if _, found := next[key]; !found {
				delete(d.uses, key)
			}
		}
	}
}

// Use records a report and returns the answer to it.
func (a *Apportioner) Use(now timer.Millis, report throttler.UseReport) throttler.Grant {
	a.settle(now)
	d, known := a.daemons[report.Node]
	if !known || report.Incarnation > d.incarnation {
		if known {
			a.drop(now, d)
		}
		d = &daemon{incarnation: report.Incarnation, since: now, uses: map[throttler.AccountKey]*use{}}
		a.daemons[report.Node] = d
		a.countUnheard()
	}
	if report.Incarnation == d.incarnation && report.Sequence > d.sequence {
		d.sequence, d.heard, d.idle = report.Sequence, now, len(report.Uses) == 0
		a.resume(now, d)
		a.record(now, d, report)
	}
	return throttler.Grant{
		Incarnation: report.Incarnation, Sequence: report.Sequence, Epoch: a.epoch, Limits: a.limits(now),
	}
}

// record applies the uses of a report.
func (a *Apportioner) record(now timer.Millis, d *daemon, report throttler.UseReport) {
	for _, reported := range report.Uses {
		account, found := a.accounts[reported.Account]
		if !found {
			continue
		}
		if report.Epoch < a.epoch {
			account.held = min(account.held, reported.Held)
		}
		u, known := d.uses[reported.Account]
		admitted := int32(reported.Unacknowledged)
		if known {
			admitted = int32(reported.Admitted - u.admitted)
		} else {
			u = &use{meanAt: now}
			d.uses[reported.Account] = u
		}
		account.charge(now, float64(admitted))
		u.observe(now, float64(admitted))
		u.admitted, u.sequence = reported.Admitted, report.Sequence
		a.offer(reported.Account, account, reported.Offered.PerSecond()-u.offered)
		u.offered = reported.Offered.PerSecond()
	}
	if len(report.Uses) >= throttler.MaxUses {
		return // Accounts that are not named may have requests.
	}
	for key, u := range d.uses {
		if u.sequence == report.Sequence {
			continue
		}
		a.offer(key, a.accounts[key], -u.offered)
		u.offered = 0
		if u.idle(now) {
			delete(d.uses, key)
		}
	}
}

// offer changes the requests offered of an account.
func (a *Apportioner) offer(key throttler.AccountKey, account *account, change float64) {
	account.offered += change
	if account.offered > minRate {
		a.offered[key] = account
		return
	}
	account.offered = 0
	delete(a.offered, key)
}

// limits returns the accounts that are metered.
func (a *Apportioner) limits(now timer.Millis) []throttler.Limit {
	var limits []throttler.Limit
	for key, account := range a.offered {
		share := account.share(now)
		if now-a.started < learnSpan {
			share = min(share, account.held)
		}
		if share < throttler.FullShare && len(limits) < throttler.MaxLimits {
			limits = append(limits, throttler.Limit{Account: key, Share: share})
		}
	}
	return limits
}

// settle notices daemons that have fallen silent. A pause of the coordinator itself
// does not make the others silent.
func (a *Apportioner) settle(now timer.Millis) {
	gap := now - a.usedAt
	a.usedAt = now
	if gap > silenceTimeout/2 {
		for _, d := range a.daemons {
			d.heard += gap
		}
	}
	if now-a.settledAt < settleInterval {
		return
	}
	a.settledAt = now
	var lost []*daemon
	for node, d := range a.daemons {
		timeout := silenceTimeout
		if d.idle {
			timeout = idleTimeout
		}
		switch silent := now - d.heard; {
		case silent > forgetAfter || len(d.uses) == 0 && silent > timeout:
			a.drop(now, d)
			delete(a.daemons, node)
			a.countUnheard()
		case silent > timeout && !d.silent:
			a.reserve(now, d)
			lost = append(lost, d)
		case d.silent && silent <= growthSpan:
			a.follow(now, d)
		}
	}
	// The charges above depend on what is offered, and must not depend on their order.
	for _, d := range lost {
		a.withdraw(d)
	}
}

// reserve charges a silent daemon's accounts with what it may admit without an answer.
func (a *Apportioner) reserve(now timer.Millis, d *daemon) {
	d.silent = true
	for key, u := range d.uses {
		account := a.accounts[key]
		u.decay(now)
		u.lost = u.mean / d.observed()
		u.reservedAt, u.reserved, u.advance = now, growthWithoutAnswer*u.lost, account.advance(u.lost)
		account.charge(now, u.advance)
		account.reserve(now, u.reserved)
	}
}

// follow raises the charges of a silent daemon if the requests of others have grown since.
// Its own may have grown as much before it noticed that answers are missing.
func (a *Apportioner) follow(now timer.Millis, d *daemon) {
	for key, u := range d.uses {
		account := a.accounts[key]
		if more := account.advance(u.lost) - u.advance; more > 0 {
			account.charge(now, more)
			u.advance += more
		}
	}
}

// withdraw removes what a silent daemon offers.
func (a *Apportioner) withdraw(d *daemon) {
	for key, u := range d.uses {
		a.offer(key, a.accounts[key], -u.offered)
		u.offered = 0
	}
}

// resume returns what a silent daemon was charged with. Its report has the actual
// number.
func (a *Apportioner) resume(now timer.Millis, d *daemon) {
	if !d.silent {
		return
	}
	d.silent = false
	for key, u := range d.uses {
		account := a.accounts[key]
		account.reserve(now, -u.reserved)
		account.charge(now, -u.advance-u.reserved*float64(now-u.reservedAt)/float64(timer.Second))
	}
}

// drop removes what a daemon offers and reserves.
func (a *Apportioner) drop(now timer.Millis, d *daemon) {
	for key, u := range d.uses {
		account := a.accounts[key]
		a.offer(key, account, -u.offered)
		if d.silent {
			account.reserve(now, -u.reserved)
		}
	}
}
