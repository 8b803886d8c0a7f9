package gossiper

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/state/throttler"
)

// Guards against a report of quotas that does not reach the coordinator, an answer that
// does not reach its daemon, and malformed datagrams that are passed on.
func TestUseAndGrant(t *testing.T) {
	granted := make(chan throttler.Grant, 1)
	limits := []throttler.Limit{{Account: 7, Share: 3}}
	type received struct {
		report throttler.UseReport
		from   netip.AddrPort
	}
	reports := make(chan received, 1)
	a := newConfiguredDaemon(t, "a", 1, func(c *Config) { c.Granted = func(grant throttler.Grant) { granted <- grant } })
	b := newConfiguredDaemon(t, "b", 2, func(c *Config) {
		c.Used = func(report throttler.UseReport, from netip.AddrPort) { reports <- received{report, from} }
	})
	before := a.traffic.other[trafficUse].datagrams.Get()
	a.SendUse("no address", throttler.UseReport{})
	a.SendUse(b.config.Address, throttler.UseReport{Incarnation: 1, Sequence: 4})
	select {
	case r := <-reports:
		b.SendGrant(r.from, throttler.Grant{Incarnation: r.report.Incarnation, Sequence: r.report.Sequence, Epoch: 5, Limits: limits})
	case <-time.After(testTimeout):
		t.Fatal("no report")
	}
	select {
	case grant := <-granted:
		if grant.Sequence != 4 || grant.Epoch != 5 || !slices.Equal(grant.Limits, limits) {
			t.Errorf("answer %+v", grant)
		}
	case <-time.After(testTimeout):
		t.Fatal("no answer")
	}
	if got := a.traffic.other[trafficUse].datagrams.Get() - before; got != 1 {
		t.Errorf("%d datagrams counted", got)
	}
	for _, data := range []string{"u", "U", "u\x01", "U\x01\x01\x01\x09"} {
		if err := a.receive([]byte(data), netip.AddrPort{}); err == nil {
			t.Errorf("%q was accepted", data)
		}
	}
}
