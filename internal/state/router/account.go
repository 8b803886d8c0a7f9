package router

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// Error is the class of errors of this package.
var Error = errs.Class("router")

// KeyDigest is the SHA-256 digest of a key of a client account. Keys themselves are not
// kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key []byte) KeyDigest { return sha256.Sum256(key) }

// MarshalText encodes the digest in hexadecimal.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText decodes 64 hexadecimal digits.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(d) {
		return Error.New("key digest of %d characters is not %d hexadecimal digits", len(text), 2*len(d))
	}
	copy(d[:], decoded)
	return nil
}

// Quota bounds the requests of a client account over all daemons. A rate of zero means no
// bound.
type Quota struct {
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst"`
}

// Account is a client account.
type Account struct {
	Name identifier.AccountName `json:"name"`
	Keys []KeyDigest            `json:"keys"`
	// Priority replaces the priority of routes if Ranked is set.
	Priority int   `json:"priority,omitempty"`
	Ranked   bool  `json:"ranked,omitempty"`
	Quota    Quota `json:"quota,omitzero"`
}

// Rank returns the priority of the account's requests on a route.
func (a *Account) Rank(route *Route) int {
	if a == nil || !a.Ranked {
		return route.Priority
	}
	return a.Priority
}

// HasAccounts reports whether requests need the key of a client account.
func (s *Snapshot) HasAccounts() bool { return len(s.Accounts) > 0 }

// Account returns the client account of a key.
func (s *Snapshot) Account(key KeyDigest) (*Account, bool) {
	account, found := s.accounts[key]
	return account, found
}

// indexAccounts finds the accounts by key. A key that two accounts claim is left out.
func indexAccounts(accounts []Account) map[KeyDigest]*Account {
	if len(accounts) == 0 {
		return nil
	}
	byKey := map[KeyDigest]*Account{}
	for i := range accounts {
		for _, key := range accounts[i].Keys {
			if other, claimed := byKey[key]; claimed && (other == nil || other.Name != accounts[i].Name) {
				byKey[key] = nil
				continue
			}
			byKey[key] = &accounts[i]
		}
	}
	for key, account := range byKey {
		if account == nil {
			delete(byKey, key)
		}
	}
	return byKey
}
