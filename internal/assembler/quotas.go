package assembler

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"

	"github.com/magnoliaknot/magnoliaknot/internal/state/apportioner"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/state/throttler"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// coordinatorTimeout is the time without an answer after which another coordinator is
	// named.
	coordinatorTimeout = timer.Second
	// claimTimeout bounds the store calls of a claim, claimInterval is the time between
	// two claims.
	claimTimeout  = 800 * timer.Millis(1)
	claimInterval = 500 * timer.Millis(1)
	// fleetInterval is the time between counts of the daemons.
	fleetInterval = timer.Second
)

// quotasConfig holds what quotas need.
type quotasConfig struct {
	Node        identifier.InstanceID
	Incarnation func() identifier.Incarnation
	// Address receives the reports of other daemons.
	Address identifier.Address
	Clock   timer.Clock
	// Store may be nil: this daemon names no coordinator then.
	Store ControlStore
	// Deciding reports whether this daemon names a coordinator if one is needed.
	Deciding func() bool
	// Daemons returns the number of daemons, silent ones included: those that are cut off
	// admit requests too.
	Daemons   func() int
	SendUse   func(identifier.Address, throttler.UseReport)
	SendGrant func(netip.AddrPort, throttler.Grant)
	// Learned is called with the contents of the store.
	Learned func(router.Control)
	Logger  *slog.Logger
}

// quotas apply the quotas of client accounts at one daemon, which may also be the
// coordinator. They are safe for concurrent use.
type quotas struct {
	config quotasConfig

	mu          sync.Mutex
	throttler   *throttler.Throttler
	limited     bool
	coordinator router.Coordinator
	// apportioner is nil unless this daemon is the coordinator.
	apportioner *apportioner.Apportioner
	accounts    []router.Account
	daemons     int
	// coordinatorSince is when the coordinator became known, or when one was needed first.
	coordinatorSince timer.Millis
	countedAt        timer.Millis
	claiming         bool
	claimedAt        timer.Millis
}

func newQuotas(config quotasConfig) *quotas {
	return &quotas{config: config, throttler: throttler.New(config.Clock.Now())}
}

// Admit decides on a request of an account. If it is refused, the caller may try again
// after the time returned. A request that is admitted and does not run is returned
// with Refund.
func (q *quotas) Admit(account identifier.AccountName) (bool, timer.Millis) {
	now := q.config.Clock.Now()
	q.mu.Lock()
	ok, retryAfter := q.throttler.Admit(now, account)
	surging := q.throttler.Surging(now)
	q.mu.Unlock()
	if surging {
		go q.report() // At most every 20 ms; sending takes longer than the decision.
	}
	return ok, retryAfter
}

// Refund returns the token of an admitted request that did not run.
func (q *quotas) Refund(account identifier.AccountName) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.throttler.Refund(q.config.Clock.Now(), account)
}

// apply applies the accounts and the coordinator of a snapshot.
func (q *quotas) apply(snapshot *router.Snapshot) {
	daemons := q.config.Daemons()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.daemons = daemons
	now := q.config.Clock.Now()
	if !sameAccounts(q.accounts, snapshot.Accounts) {
		q.accounts = snapshot.Accounts
		q.throttler.SetAccounts(now, q.accounts, daemons)
		if q.apportioner != nil {
			q.apportioner.SetAccounts(now, q.accounts)
		}
	}
	if limited := q.throttler.Limited(); limited != q.limited {
		q.limited, q.coordinatorSince = limited, now
	}
	q.follow(now, snapshot.Control.Coordinator)
}

// sameAccounts reports whether two snapshots share their accounts: those that differ
// in other parts only have the same slice.
func sameAccounts(a, b []router.Account) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// follow takes or gives up the role of the coordinator. The lock must be held.
func (q *quotas) follow(now timer.Millis, next router.Coordinator) {
	own := next.Epoch > 0 && next.Node == q.config.Node && next.Incarnation == q.config.Incarnation()
	if next != q.coordinator {
		q.coordinator, q.coordinatorSince = next, now
		q.apportioner = nil
		q.throttler.SetEpoch(next.Epoch)
		q.config.Logger.Info("coordinator of quotas", "coordinator", next.Node, "epoch", next.Epoch, "own", own)
	}
	switch {
	case !own || !q.limited:
		q.apportioner = nil
	case q.apportioner == nil:
		q.apportioner = apportioner.New(now, next.Epoch)
		q.apportioner.SetAccounts(now, q.accounts)
		q.apportioner.SetDaemons(q.daemons)
	}
}

// tick sends a report that is due and names a coordinator if one is needed. Without
// quotas it does nothing.
func (q *quotas) tick(ctx context.Context) {
	q.mu.Lock()
	limited, now := q.limited, q.config.Clock.Now()
	counting := limited && now-q.countedAt >= fleetInterval
	if counting {
		q.countedAt = now
	}
	q.mu.Unlock()
	if !limited {
		return
	}
	if counting {
		daemons := q.config.Daemons()
		q.mu.Lock()
		q.daemons = daemons
		q.throttler.SetDaemons(daemons)
		if q.apportioner != nil {
			q.apportioner.SetDaemons(daemons)
		}
		q.mu.Unlock()
	}
	q.report()
	if q.config.Store != nil && q.coordinatorNeeded() && q.config.Deciding() && q.beginClaim() {
		go q.claim(ctx)
	}
}

// report sends the next report to the coordinator if one is due.
func (q *quotas) report() {
	q.mu.Lock()
	now := q.config.Clock.Now()
	report, due := q.throttler.Report(now)
	if !due {
		q.mu.Unlock()
		return
	}
	report.Node, report.Incarnation = throttler.NodeKeyOf(q.config.Node), q.config.Incarnation()
	to := q.coordinator.Address
	if q.apportioner != nil {
		q.throttler.Grant(now, q.apportioner.Use(now, report))
		to = ""
	}
	q.mu.Unlock()
	if to != "" {
		q.config.SendUse(to, report)
	}
}

// used answers a report of another daemon if this one is the coordinator. A daemon that
// knows a later coordinator gets no answer.
func (q *quotas) used(report throttler.UseReport, from netip.AddrPort) {
	q.mu.Lock()
	if q.apportioner == nil || report.Epoch > q.coordinator.Epoch {
		q.mu.Unlock()
		return
	}
	grant := q.apportioner.Use(q.config.Clock.Now(), report)
	q.mu.Unlock()
	q.config.SendGrant(from, grant)
}

// granted applies an answer of the coordinator.
func (q *quotas) granted(grant throttler.Grant) {
	if grant.Incarnation != q.config.Incarnation() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.throttler.Grant(q.config.Clock.Now(), grant)
}

// coordinatorNeeded reports whether no coordinator is named or it does not answer.
func (q *quotas) coordinatorNeeded() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.config.Clock.Now()
	switch {
	case q.apportioner != nil:
		return false
	case q.coordinator.Epoch == 0:
		return true
	default:
		return min(q.throttler.Waiting(now), now-q.coordinatorSince) >= coordinatorTimeout
	}
}

// beginClaim reports whether a claim may begin.
func (q *quotas) beginClaim() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.config.Clock.Now()
	if q.claiming || q.claimedAt > 0 && now-q.claimedAt < claimInterval {
		return false
	}
	q.claiming, q.claimedAt = true, now
	return true
}

// claim names this daemon as the coordinator, unless the store names a later one than
// the one that is known.
func (q *quotas) claim(ctx context.Context) {
	defer func() {
		q.mu.Lock()
		q.claiming = false
		q.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout.Duration())
	defer cancel()
	control, err := q.config.Store.Read(ctx)
	if err != nil {
		q.config.Logger.Warn("reading the coordinator of quotas failed", "error", err.Error())
		return
	}
	q.mu.Lock()
	known := q.coordinator
	q.mu.Unlock()
	// After a daemon was paused, the coordinator may have answered in the meantime.
	if control.Coordinator.Epoch <= known.Epoch && q.coordinatorNeeded() {
		next := router.Coordinator{
			Node: q.config.Node, Incarnation: q.config.Incarnation(), Address: q.config.Address,
			Epoch: max(control.Coordinator.Epoch, known.Epoch) + 1,
		}
		end, err := q.config.Store.WriteCoordinator(ctx, next, control.Position())
		if err != nil {
			// The write may be stored, or another daemon was first: the next claim reads it.
			q.config.Logger.Warn("naming the coordinator of quotas failed", "epoch", next.Epoch, "error", err.Error())
			return
		}
		control.Coordinator, control.Era, control.Offset = next, end.Era, end.Offset
	}
	q.config.Learned(control)
}

// newQuotas connects the quotas with the other components.
func (d *Daemon) newQuotas() *quotas {
	return newQuotas(quotasConfig{
		Node: d.config.Node, Incarnation: func() identifier.Incarnation { return identifier.Incarnation(d.incarnation.Load()) },
		Address: d.config.Addresses.Reports, Clock: d.clock, Store: d.config.Control,
		Deciding:  func() bool { return d.gossiper.Deciding() },
		Daemons:   func() int { return max(d.gossiper.ActiveCount(), len(d.gossiper.Members())+1) },
		SendUse:   func(to identifier.Address, report throttler.UseReport) { d.gossiper.SendUse(to, report) },
		SendGrant: func(to netip.AddrPort, grant throttler.Grant) { d.gossiper.SendGrant(to, grant) },
		Learned:   func(control router.Control) { d.adopt(&router.Snapshot{Control: control}) },
		Logger:    d.config.Logger,
	})
}
