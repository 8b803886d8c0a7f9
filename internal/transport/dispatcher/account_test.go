package dispatcher

import (
	"fmt"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// keyDialect takes the whole Authorization header as the key.
type keyDialect struct{ Dialect }

func (keyDialect) Key(header *fasthttp.RequestHeader) ([]byte, bool) {
	return header.Peek(fasthttp.HeaderAuthorization), len(header.PeekAll(fasthttp.HeaderAuthorization)) < 2
}

func snapshotOf(accounts int) *router.Snapshot {
	s := &router.Snapshot{Version: 1}
	for n := range accounts {
		s.Accounts = append(s.Accounts, router.Account{
			Name: identifier.AccountName(fmt.Sprint("a", n)), Keys: []router.KeyDigest{router.DigestKey(fmt.Append(nil, "key-", n))},
		})
	}
	return s.Index()
}

// Guards against a request that runs without the key of an account, and against keys that
// are asked for where there are no accounts or the route is public.
func TestAccountOf(t *testing.T) {
	i := &Ingress{config: IngressConfig{Dialect: keyDialect{}}}
	cases := []struct {
		name     string
		accounts int
		key      string
		public   bool
		account  identifier.AccountName
		allowed  bool
	}{
		{"no accounts", 0, "key-0", false, "", true},
		{"a known key", 2, "key-1", false, "a1", true},
		{"an unknown key", 2, "key-2", false, "", false},
		{"no key", 2, "", false, "", false},
		{"no key on a public route", 2, "", true, "", true},
		{"a known key on a public route", 2, "key-0", true, "a0", true},
		{"an unknown key on a public route", 2, "key-2", true, "", true},
	}
	for _, c := range cases {
		header := &fasthttp.RequestHeader{}
		if c.key != "" {
			header.Set(fasthttp.HeaderAuthorization, c.key)
		}
		account, allowed := i.accountOf(header, &credential{}, snapshotOf(c.accounts), &router.Route{Public: c.public})
		if nameOf(account) != c.account || allowed != c.allowed {
			t.Errorf("%s: account %q, allowed %v", c.name, nameOf(account), allowed)
		}
	}
}

// The cost of finding the account of a key on the path of a request.
func BenchmarkAccountOf(b *testing.B) {
	for _, accounts := range []int{88, 10_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			i := &Ingress{config: IngressConfig{Dialect: keyDialect{}}}
			snapshot, route, header := snapshotOf(accounts), &router.Route{}, &fasthttp.RequestHeader{}
			header.Set(fasthttp.HeaderAuthorization, "key-7")
			b.ReportAllocs()
			for b.Loop() {
				if _, allowed := i.accountOf(header, &credential{}, snapshot, route); !allowed {
					b.Fatal("not found")
				}
			}
		})
	}
}
