package gossiper

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const testTimeout = 5 * time.Second

// daemon is a gossiper with the state that it reports.
type daemon struct {
	*Gossiper
	slots      atomic.Int32
	superseded chan registrar.Member
	stop       context.CancelFunc
}

// learn adds a member from another source without an introduction.
func (d *daemon) learn(m registrar.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Learn(d.config.Clock.Now(), m)
}

// newDaemon starts a gossiper on loopback.
func newDaemon(t *testing.T, node identifier.InstanceID, incarnation identifier.Incarnation) *daemon {
	t.Helper()
	return newConfiguredDaemon(t, node, incarnation, func(*Config) {})
}

// newConfiguredDaemon starts a gossiper after a change of its configuration.
func newConfiguredDaemon(t *testing.T, node identifier.InstanceID, incarnation identifier.Incarnation, change func(*Config)) *daemon {
	t.Helper()
	d := &daemon{superseded: make(chan registrar.Member, 16)}
	free, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := identifier.Address(free.LocalAddr().String())
	_ = free.Close() // The gossiper takes the port.
	var revision atomic.Uint64
	config := Config{
		Address: address, Clock: timer.NewBoot(), Logger: slog.New(slog.DiscardHandler),
		Self: func() registrar.Member {
			return registrar.Member{
				Node: node, Incarnation: incarnation, Revision: revision.Add(1), Service: "s", Accepting: true,
				Slots: identifier.Slots(d.slots.Load()), Report: address, Peer: address,
			}
		},
		Position: func() Position { return Position{} }, Ahead: func(registrar.Member) {}, Loaded: func(registrar.Member) {},
		Uses: func(registrar.ServiceKey) bool { return true }, OwnRun: func(m registrar.Member) { d.superseded <- m },
		InForce: func() []quarantiner.Entry { return nil },
	}
	change(&config)
	g, err := Listen(config)
	if err != nil {
		t.Fatal(err)
	}
	d.Gossiper = g
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	t.Cleanup(cancel)
	go g.Run(ctx)
	return d
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, testTimeout)
		}
	}
}

// Guards against a daemon that never learns of a change because the report was lost.
// Only the next status message shows that it missed one.
func TestLostReport(t *testing.T) {
	a, b := newDaemon(t, "a", 1), newDaemon(t, "b", 2)
	a.AddMembers([]registrar.Member{b.own()})
	slots := func() identifier.Slots {
		for _, m := range b.Instances("s") {
			if m.Node == "a" {
				return m.Slots
			}
		}
		return -1
	}
	eventually(t, "b knows a", func() bool { return slots() == 0 })
	a.slots.Store(7)
	a.mu.Lock()
	a.lastSent = a.config.Self() // As if the report of the change was sent, and lost.
	a.mu.Unlock()
	eventually(t, "b knows the change", func() bool { return slots() == 7 })
}

// Guards against a restarted daemon with a lower incarnation, after its clock was set
// back, that is ignored without learning why.
func TestReturnedReport(t *testing.T) {
	a, b := newDaemon(t, "a", 5), newDaemon(t, "b", 2)
	earlier := a.own()
	earlier.Incarnation, earlier.Revision = 9, 100
	b.receiveReport(Report{Member: earlier})
	a.AddMembers([]registrar.Member{b.own()})
	select {
	case m := <-a.superseded:
		if m.Node != "a" || m.Incarnation != 9 {
			t.Fatalf("returned report %+v", m)
		}
	case <-time.After(testTimeout):
		t.Fatal("no report of the earlier run came back")
	}
}

// Guards against a retry budget that is divided by the few daemons that report to this
// one instead of by the fleet: all daemons together would retry too often.
func TestActiveCountOfLargeFleet(t *testing.T) {
	d := newDaemon(t, "a", 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock.Now()
	for i := range 40 {
		d.table.Observe(now, registrar.Member{Node: identifier.InstanceID(fmt.Sprintf("vm-%d", i)), Incarnation: identifier.Incarnation(10 + i), Revision: 1})
	}
	d.fleet.observe(now, 296)
	cases := []struct {
		name string
		at   timer.Millis
		want int
	}{
		{"a member has named a larger fleet", now + 9*timer.Second, 296},
		{"long ago", now + 11*timer.Second, 41},
	}
	for _, c := range cases {
		if got := d.activeCount(c.at); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// Guards against quarantine entries that reach only the daemons which their first
// sender knows, against entries of another service, and against passing one on forever.
func TestQuarantineEntriesArePassedOn(t *testing.T) {
	a, b, c := newDaemon(t, "a", 1), newDaemon(t, "b", 2), newDaemon(t, "c", 3)
	foreign := quarantiner.Entry{Kind: quarantiner.Suspect, Expires: 2}
	received := map[*daemon]*atomic.Int64{}
	for _, d := range []*daemon{a, b, c} {
		count := &atomic.Int64{}
		received[d] = count
		known := false
		d.config.Quarantined = func(entries []quarantiner.Entry) []quarantiner.Entry {
			if slices.Contains(entries, foreign) {
				t.Error("an entry of another service was taken")
			}
			count.Add(1)
			if known {
				return nil
			}
			known = true
			return entries
		}
	}
	b.AddMembers([]registrar.Member{a.own(), c.own()})
	eventually(t, "all know each other over b", func() bool { return len(b.Instances("s")) == 2 })
	a.mu.Lock()
	a.spreadVersion = a.table.Version() + 1 // a sends to b only.
	a.spread.SetMembers([]registrar.Member{{Node: "b", Service: "s", Report: b.config.Address}})
	a.mu.Unlock()
	a.BroadcastQuarantine([]quarantiner.Entry{{Kind: quarantiner.Quarantined, Expires: 1}})
	eventually(t, "c has the entry", func() bool { return received[c].Load() > 0 })
	other := a.own()
	other.Node, other.Incarnation, other.Service = "x", 9, "other"
	b.receiveReport(Report{Member: other, Entries: []quarantiner.Entry{foreign}})
	time.Sleep(3 * broadcastInterval.Duration())
	for d, count := range received {
		if n := count.Load(); n > 3*reportsPerEntry {
			t.Errorf("%s received the entry %d times", d.config.Self().Node, n)
		}
	}
}

// Guards against a daemon that was away while a quarantine entry was sent and never gets it:
// one that starts, restarts or was cut off for a while.
func TestReturnedMembersGetEntries(t *testing.T) {
	entry := quarantiner.Entry{Kind: quarantiner.Quarantined, Expires: 1}
	var received atomic.Int64
	a := newConfiguredDaemon(t, "a", 1, func(c *Config) {
		c.Quarantined = func(entries []quarantiner.Entry) []quarantiner.Entry {
			if slices.Contains(entries, entry) {
				received.Add(1)
			}
			return nil
		}
	})
	b := newConfiguredDaemon(t, "b", 2, func(c *Config) {
		c.InForce = func() []quarantiner.Entry { return []quarantiner.Entry{entry} }
	})
	a.AddMembers([]registrar.Member{b.own()})
	eventually(t, "a daemon that starts has the entry", func() bool { return received.Load() > 0 })
	time.Sleep(broadcastInterval.Duration())
	before := received.Load()
	time.Sleep(3 * broadcastInterval.Duration())
	if received.Load() != before {
		t.Error("the entry is sent again and again")
	}
	restarted := a.own()
	restarted.Incarnation, restarted.Revision = 5, 1
	b.receiveReport(Report{Member: restarted})
	eventually(t, "a daemon that restarts has the entry", func() bool { return received.Load() > before })
}
