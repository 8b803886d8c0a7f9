package dispatcher

import (
	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Quotas bounds the requests of client accounts over all daemons. It is safe for
// concurrent use.
type Quotas interface {
	// Admit counts a request of an account and reports whether it is within the quota, or
	// else when the account may send another one.
	Admit(account identifier.AccountName) (admitted bool, retryAfter timer.Millis)
	// Refund takes back a request that was admitted and did not run.
	Refund(account identifier.AccountName)
}

// credential is the key of a request. It is read once, before the key is removed.
type credential struct {
	digest router.KeyDigest
	read   bool
	usable bool
}

func (i *Ingress) readCredential(header *fasthttp.RequestHeader) credential {
	key, valid := i.config.Dialect.Key(header)
	if !valid || len(key) == 0 {
		return credential{read: true}
	}
	return credential{digest: router.DigestKey(key), read: true, usable: true}
}

// accountOf returns the account of a request, or nil if there is none. It is not allowed
// without one unless the route is public. Backend servers' own calls have no key; their
// routes are public.
func (i *Ingress) accountOf(
	header *fasthttp.RequestHeader, key *credential, snapshot *router.Snapshot, route *router.Route,
) (account *router.Account, allowed bool) {
	if !snapshot.HasAccounts() {
		return nil, true
	}
	if !key.read {
		*key = i.readCredential(header)
	}
	if key.usable {
		if account, found := snapshot.Account(key.digest); found {
			return account, true
		}
	}
	return nil, route.Public
}

// limited reports whether a quota bounds the requests of an account.
func (i *Ingress) limited(account *router.Account) bool {
	return account != nil && account.Quota.PerSecond > 0 && i.config.Quotas != nil
}

// admitAccount applies the quota of an account. Requests without an account have none.
func (i *Ingress) admitAccount(account *router.Account) (encoder.Refusal, bool) {
	if !i.limited(account) {
		return encoder.Refusal{}, true
	}
	admitted, retryAfter := i.config.Quotas.Admit(account.Name)
	if !admitted {
		return encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.OverQuota, RetryAfterMs: retryAfter}, false
	}
	return encoder.Refusal{}, true
}

// refundAccount returns a request that did not run to the quota of its account.
func (i *Ingress) refundAccount(account *router.Account, refusal encoder.Refusal, answered bool) {
	if !i.limited(account) || answered || refusal.Outcome != encoder.NotRun {
		return
	}
	i.config.Quotas.Refund(account.Name)
}

// accountHash returns the hash by which daemons name an account to each other; 0 means none.
func accountHash(account *router.Account) uint32 {
	if account == nil {
		return 0
	}
	return account.Name.Hash()
}

// nameOf returns the name of an account, or an empty one.
func nameOf(account *router.Account) identifier.AccountName {
	if account == nil {
		return ""
	}
	return account.Name
}
