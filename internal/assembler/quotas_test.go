package assembler

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/state/throttler"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

var errUnavailable = errors.New("store is unavailable")

// quotaFleet is daemons with quotas that share a store and a configuration.
type quotaFleet struct {
	ControlStore

	mu       sync.Mutex
	control  router.Control
	refuse   bool
	accounts []router.Account
	daemons  map[identifier.Address]*quotas
	silent   map[identifier.Address]bool
	deciding identifier.Address
	sent     int
}

func (f *quotaFleet) contents() (control router.Control, available bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.control, !f.refuse
}

func (f *quotaFleet) Read(context.Context) (router.Control, error) {
	control, available := f.contents()
	if !available {
		return router.Control{}, errUnavailable
	}
	return control, nil
}

func (f *quotaFleet) WriteCoordinator(_ context.Context, next router.Coordinator, since router.Position) (router.Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse || since != f.control.Position() {
		return router.Position{}, errUnavailable
	}
	f.control.Coordinator = next
	f.control.Offset++
	return f.control.Position(), nil
}

// add starts a daemon. Its address is its name with a port.
func (f *quotaFleet) add(clock timer.Clock, address identifier.Address, incarnation identifier.Incarnation) *quotas {
	q := newQuotas(quotasConfig{
		Node: identifier.InstanceID(address), Incarnation: func() identifier.Incarnation { return incarnation }, Address: address,
		Clock: clock, Store: f, Deciding: func() bool { return f.deciding == address }, Daemons: func() int { return 3 },
		SendUse: func(to identifier.Address, report throttler.UseReport) {
			f.mu.Lock()
			f.sent++
			f.mu.Unlock()
			if !f.silent[to] && !f.silent[address] {
				f.daemons[to].used(report, netip.MustParseAddrPort(string(address)))
			}
		},
		SendGrant: func(to netip.AddrPort, grant throttler.Grant) {
			f.daemons[identifier.Address(to.String())].granted(grant)
		},
		Learned: func(router.Control) {}, Logger: slog.New(slog.DiscardHandler),
	})
	f.daemons[address] = q
	return q
}

// run ticks the daemons as Run does, and distributes the store's contents.
func (f *quotaFleet) run(span time.Duration, request func(*quotas)) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(tickInterval.Duration()) {
		synctest.Wait()
		for address, q := range f.daemons {
			if f.silent[address] {
				continue
			}
			control, _ := f.contents()
			q.apply(&router.Snapshot{Accounts: f.accounts, Control: control})
			request(q)
			q.tick(context.Background())
		}
	}
	synctest.Wait()
}

const (
	first  identifier.Address = "127.0.0.1:1"
	second identifier.Address = "127.0.0.1:2"
	third  identifier.Address = "127.0.0.1:3"
)

// newQuotaFleet starts three daemons, of which the first is the deciding one.
func newQuotaFleet() *quotaFleet {
	f := &quotaFleet{daemons: map[identifier.Address]*quotas{}, silent: map[identifier.Address]bool{}, deciding: first}
	f.accounts = []router.Account{{Name: "a", Quota: router.Quota{PerSecond: 30, Burst: 30}}}
	clock := timer.NewSystem()
	for i, address := range []identifier.Address{first, second, third} {
		f.add(clock, address, identifier.Incarnation(10+i))
	}
	return f
}

func request(q *quotas) { q.Admit("a") }

// Guards against a fleet without a coordinator, against one that is replaced while it
// answers, and against a lost one that is not replaced or replaced by one of the same epoch.
func TestCoordinatorIsNamedAndReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuotaFleet()
		f.run(3*time.Second, request)
		if c := f.control.Coordinator; c.Node != identifier.InstanceID(first) || c.Epoch != 1 || c.Incarnation != 10 {
			t.Fatalf("coordinator %+v after 3 s", c)
		}
		f.silent[first], f.deciding = true, second
		f.run(900*time.Millisecond, request)
		if c := f.control.Coordinator; c.Epoch != 1 {
			t.Fatalf("coordinator %+v named while the one before may only be slow", c)
		}
		f.run(600*time.Millisecond, request)
		if c := f.control.Coordinator; c.Node != identifier.InstanceID(second) || c.Epoch != 2 {
			t.Fatalf("coordinator %+v 1.5 s after the one before was lost", c)
		}
		f.silent[first] = false
		f.run(3*time.Second, request)
		if c := f.control.Coordinator; c.Epoch != 2 || f.daemons[first].apportioner != nil {
			t.Fatalf("coordinator %+v after the one before is back, which is still one: %v", c, f.daemons[first].apportioner != nil)
		}
		if waiting := f.daemons[third].throttler.Waiting(timer.Millis(time.Hour.Milliseconds())); waiting > 0 {
			t.Errorf("a daemon has had no answer of the later coordinator")
		}
	})
}

// Guards against a restarted coordinator that answers as if it were the earlier run, and
// against one that is never named again.
func TestRestartedCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuotaFleet()
		f.run(time.Second, request)
		f.add(timer.NewSystem(), first, 20)
		f.run(100*time.Millisecond, request)
		if f.daemons[first].apportioner != nil {
			t.Fatal("the restarted daemon coordinates without being named")
		}
		f.run(2*time.Second, request)
		if c := f.control.Coordinator; c.Incarnation != 20 || c.Epoch != 2 {
			t.Fatalf("coordinator %+v", c)
		}
	})
}

// Guards against calls of the store in a row while it is unavailable, and against a
// coordinator that stops because of it.
func TestCoordinatorWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuotaFleet()
		f.run(time.Second, request)
		f.refuse = true
		f.run(3*time.Second, request)
		if f.daemons[first].apportioner == nil {
			t.Fatal("the coordinator stopped")
		}
		f.silent[first], f.deciding = true, second
		f.run(4*time.Second, request)
		f.refuse = false
		f.run(time.Second, request)
		if c := f.control.Coordinator; c.Node != identifier.InstanceID(second) || c.Epoch != 2 {
			t.Fatalf("coordinator %+v after the store is back", c)
		}
	})
}

// Guards against datagrams or store calls in deployments without quotas, and after the
// last quota is withdrawn.
func TestNothingIsSentWithoutQuotas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuotaFleet()
		limited := f.accounts
		f.accounts = []router.Account{{Name: "a"}}
		f.run(3*time.Second, request)
		if f.sent > 0 || f.control.Coordinator.Epoch > 0 {
			t.Fatalf("%d datagrams, coordinator %+v", f.sent, f.control.Coordinator)
		}
		f.accounts = limited
		f.run(time.Second, request)
		if f.sent == 0 {
			t.Fatal("no datagram with a quota")
		}
		f.accounts = nil
		f.run(100*time.Millisecond, request)
		f.sent = 0
		f.run(3*time.Second, request)
		if f.sent > 0 {
			t.Fatalf("%d datagrams after the quota was withdrawn", f.sent)
		}
	})
}

// Guards against a quota that each daemon applies alone: three times the rate would run.
func TestQuotaOverDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuotaFleet()
		f.run(2*time.Second, request)
		admitted := 0
		f.run(5*time.Second, func(q *quotas) { // 3 daemons x 20 ticks x 4 = 240 a second.
			for range 4 {
				if ok, _ := q.Admit("a"); ok {
					admitted++
				}
			}
		})
		if admitted < 5*30*19/20 || admitted > (5*30+30)*11/10+20 {
			t.Fatalf("%d requests admitted in 5 s", admitted)
		}
	})
}
