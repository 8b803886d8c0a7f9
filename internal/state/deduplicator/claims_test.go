package deduplicator_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestDeduplicator(t *testing.T) { tester.RunSpecs(t, "deduplicator") }

var _ = Describe("claims of one owner", func() {
	const wall = timer.Millis(1_800_000_000_000)
	request := func(key, token string) deduplicator.Request {
		return deduplicator.Request{
			Key:   deduplicator.Key{Service: "payouts", Key: identifier.IdempotencyKey(key)},
			Token: deduplicator.Token(token), Window: 10 * timer.Minute,
		}
	}
	other := request("k", "t2")
	other.Fingerprint[0] = 1
	settle := func(outcome deduplicator.Outcome) func(*deduplicator.Claims) {
		return func(c *deduplicator.Claims) { c.Settle(request("k", "t1").Key, "t1", outcome, []byte("paid")) }
	}
	cases := []struct {
		name   string
		settle func(*deduplicator.Claims)
		second deduplicator.Request
		want   deduplicator.Verdict
		answer string
	}{
		{"resend while the first runs", nil, request("k", "t2"), deduplicator.InProgress, ""},
		{"claim repeated because its answer was lost", nil, request("k", "t1"), deduplicator.Granted, ""},
		{"resend after completion", settle(deduplicator.OutcomeComplete), request("k", "t2"), deduplicator.Done, "paid"},
		{"resend after an unknown outcome", settle(deduplicator.OutcomeUnknown), request("k", "t2"), deduplicator.InProgress, ""},
		{"resend after a request that certainly did not run", settle(deduplicator.OutcomeNotRun), request("k", "t2"), deduplicator.Granted, ""},
		{"key used with another request", nil, other, deduplicator.Mismatch, ""},
		{"another key", nil, request("other", "t2"), deduplicator.Granted, ""},
	}
	for _, c := range cases {
		It("guards against a second run: "+c.name, func() {
			claims := deduplicator.NewClaims(nil)
			claims.BeginOwnership(1, wall, 0, false)
			verdict, _ := claims.Claim(1, wall, request("k", "t1"))
			Expect(verdict).To(Equal(deduplicator.Granted))
			if c.settle != nil {
				c.settle(claims)
			}
			verdict, answer := claims.Claim(2, wall+1, c.second)
			Expect(verdict).To(Equal(c.want))
			Expect(string(answer)).To(Equal(c.answer))
		})
	}

	dated := []struct {
		name string
		key  string
		lost bool
		want deduplicator.Verdict
	}{
		// 1_800_000_000_000 ms is 0x01a3185c5000.
		{"undated key after a lost owner", "k", true, deduplicator.OwnerLost},
		{"key from before the takeover", "01a3185c-4fff-7000-8000-000000000000", true, deduplicator.OwnerLost},
		{"key from after the takeover", "01a3185d-5000-7000-8000-000000000000", true, deduplicator.Granted},
		{"key older than the window", "01a30000-4fff-7000-8000-000000000000", false, deduplicator.OwnerLost},
		{"undated key without a lost owner", "k", false, deduplicator.Granted},
	}
	for _, c := range dated {
		It("guards against a run that a lost owner may have granted: "+c.name, func() {
			claims := deduplicator.NewClaims(nil)
			claims.BeginOwnership(1, wall, 0, c.lost)
			verdict, _ := claims.Claim(2, wall+1, request(c.key, "t1"))
			Expect(verdict).To(Equal(c.want))
		})
	}
})
