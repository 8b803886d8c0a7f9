package assembler

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/dispatcher"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// memorySource is a source that never provides a configuration.
type memorySource struct{}

func (memorySource) Follow(context.Context, func(*router.Snapshot)) {}
func (memorySource) SetSchedule(Schedule)                           {}
func (memorySource) Reachable() bool                                { return true }
func (memorySource) Refresh()                                       {}

// memoryDirectory keeps entries as the platform's store does: one for each node, of the
// highest incarnation that has written. It is safe for concurrent use.
type memoryDirectory struct {
	// delay is how long each write takes.
	delay time.Duration

	mu      sync.Mutex
	away    bool
	entries map[identifier.InstanceID][]byte
	epochs  map[identifier.InstanceID]identifier.Incarnation
}

func newMemoryDirectory() *memoryDirectory {
	return &memoryDirectory{entries: map[identifier.InstanceID][]byte{}, epochs: map[identifier.InstanceID]identifier.Incarnation{}}
}

func (d *memoryDirectory) setAway(away bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away = away
}

// fence refuses all further writes of runs of a node up to now, as if they were killed.
func (d *memoryDirectory) fence(node identifier.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epochs[node]++
}

func (d *memoryDirectory) Register(_ context.Context, m Description) error {
	time.Sleep(d.delay)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.away:
		return Error.New("away")
	case m.Incarnation < d.epochs[m.Node]:
		return Error.Wrap(ErrSuperseded)
	}
	data, err := json.Marshal(m)
	d.epochs[m.Node], d.entries[m.Node] = m.Incarnation, data
	return err
}

func (d *memoryDirectory) Members(context.Context) ([]Description, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.away {
		return nil, Error.New("away")
	}
	var members []Description
	for _, data := range d.entries {
		var m Description
		if err := json.Unmarshal(data, &m); err != nil {
			return nil, err
		}
		members = append(members, m)
	}
	return members, nil
}

// testVM is a VM on which daemons run one after the other.
type testVM struct {
	t         *testing.T
	node      identifier.InstanceID
	addresses Addresses
	directory *memoryDirectory
}

// vmCount counts the VMs of this process. Each has an address of its own, so that the ports
// of daemons that run one after the other are free.
var vmCount atomic.Uint32

func newTestVM(t *testing.T, node identifier.InstanceID, directory *memoryDirectory) *testVM {
	t.Helper()
	n := vmCount.Add(1)
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, (os.Getpid()/200)%250, n%250+1)
	address := func(port int) identifier.Address { return identifier.Address(fmt.Sprintf("%s:%d", ip, port)) }
	return &testVM{t: t, node: node, directory: directory, addresses: Addresses{
		Reports: address(7620), Peers: address(8300), Backend: address(8301), Callers: address(8304), Metrics: address(7621),
	}}
}

// start starts a daemon without its servers. The returned function ends it at once.
func (v *testVM) start() (*Daemon, func()) {
	v.t.Helper()
	d, err := New(Config{
		Node: v.node, Service: "orders", Addresses: v.addresses, Source: memorySource{}, Directory: v.directory, Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		v.t.Fatal(err)
	}
	d.callerServer = exchanger.NewServer(exchanger.ServerConfig{})
	d.adopt((&router.Snapshot{Version: 1}).Index())
	ctx, cancel := context.WithCancel(context.Background())
	gossipDone := make(chan struct{})
	go func() {
		defer close(gossipDone)
		d.gossiper.Run(ctx)
	}()
	go d.join(ctx)
	end := sync.OnceFunc(func() {
		v.directory.fence(v.node)
		cancel()
		<-gossipDone
	})
	v.t.Cleanup(end)
	return d, end
}

func awaitTrue(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

func registered(v *testVM) func() bool {
	return func() bool {
		v.directory.mu.Lock()
		defer v.directory.mu.Unlock()
		return v.directory.entries[v.node] != nil
	}
}

func accepting(d *Daemon) bool {
	_, accepting := d.admission.Member()
	return accepting
}

// Guards against a leave that was acknowledged and is forgotten by a daemon that was
// killed right after the acknowledgement, also several times: a heartbeat from before the
// leave that arrives late would bring the backend server back into use.
func TestLeaveSurvivesKills(t *testing.T) {
	born := identifier.Incarnation(time.Now().UnixMilli() - 60_000)
	ready := dispatcher.Backend{ID: "b", Incarnation: born, Sequence: 7, Slots: 4, State: admitter.Ready}
	late := ready
	late.Sequence = 8
	cases := []struct {
		name  string
		first []dispatcher.Backend
		leave dispatcher.Backend
	}{
		{"draining", []dispatcher.Backend{ready}, dispatcher.Backend{ID: "b", Incarnation: born, Sequence: 9, Slots: 4, State: admitter.Draining}},
		{"deregistration", []dispatcher.Backend{ready}, dispatcher.Backend{ID: "b", Incarnation: born, Sequence: math.MaxUint64, State: admitter.Draining}},
		{"deregistration without a start", []dispatcher.Backend{ready}, dispatcher.Backend{ID: "b", Sequence: math.MaxUint64, State: admitter.Draining}},
		{"deregistration of a run that is not known", nil, dispatcher.Backend{ID: "b", Sequence: math.MaxUint64, State: admitter.Draining}},
	}
	for _, c := range cases {
		for _, kills := range []int{1, 3} {
			for _, lateFirst := range []bool{false, true} {
				late := late
				t.Run(fmt.Sprintf("%s, %d kills, late heartbeat first %v", c.name, kills, lateFirst), func(t *testing.T) {
					t.Parallel()
					v := newTestVM(t, "vm-1", newMemoryDirectory())
					v.directory.delay = 30 * time.Millisecond
					d, kill := v.start()
					awaitTrue(t, "registered", registered(v))
					for _, b := range c.first {
						d.Announce(b)
					}
					if len(c.first) > 0 {
						awaitTrue(t, "accepting", func() bool { return accepting(d) })
					}
					d.Announce(c.leave)
					for range kills {
						kill()
						if lateFirst {
							v.directory.setAway(true)
						}
						d, kill = v.start()
						if lateFirst {
							d.Announce(late)
							v.directory.setAway(false)
						}
						time.Sleep(directoryRetry.Duration() + directoryJitter.Duration() + 3*v.directory.delay)
						for range 3 {
							late.Sequence++
							d.Announce(late)
						}
						if accepting(d) {
							t.Fatal("a late heartbeat has brought a backend server back that had left")
						}
					}
					next := dispatcher.Backend{ID: "b", Incarnation: identifier.Incarnation(time.Now().UnixMilli()), Sequence: 1, Slots: 4, State: admitter.Ready}
					d.Announce(next)
					awaitTrue(t, "the next run of the backend server is accepted", func() bool { return accepting(d) })
				})
			}
		}
	}
}

// Guards against a restarted daemon that forgets an acknowledged leave while the directory
// is away: the other daemons have heard of the leave.
func TestPeersReturnLeave(t *testing.T) {
	directory := newMemoryDirectory()
	v, other := newTestVM(t, "vm-1", directory), newTestVM(t, "vm-2", directory)
	d, kill := v.start()
	awaitTrue(t, "registered", registered(v))
	peer, _ := other.start()
	awaitTrue(t, "known to the other", func() bool { return len(peer.gossiper.Members()) == 1 && len(d.gossiper.Members()) == 1 })
	born := identifier.Incarnation(time.Now().UnixMilli() - 60_000)
	ready := dispatcher.Backend{ID: "b", Incarnation: born, Sequence: 7, Slots: 4, State: admitter.Ready}
	d.Announce(ready)
	directory.setAway(true)
	d.Announce(dispatcher.Backend{ID: "b", Incarnation: born, Sequence: math.MaxUint64, State: admitter.Draining})
	awaitTrue(t, "the other has heard of the leave", func() bool {
		members := peer.gossiper.Members()
		return len(members) == 1 && members[0].Leaving
	})
	kill()
	d, _ = v.start()
	awaitTrue(t, "the leave came back", func() bool { m, _ := d.admission.Member(); return m.Leaving })
	ready.Sequence++
	d.Announce(ready)
	if accepting(d) {
		t.Error("a late heartbeat has brought a backend server back that had left")
	}
}

// storedBy reports whether the stored entry is that of a daemon.
func (v *testVM) storedBy(d *Daemon) bool {
	v.directory.mu.Lock()
	defer v.directory.mu.Unlock()
	return uint64(v.directory.epochs[v.node]) == d.incarnation.Load()
}

// crash makes a daemon learn that a request has crashed its backend server.
func crash(d *Daemon, entry quarantiner.Entry) {
	d.admission.AddQuarantineEntries([]quarantiner.Entry{entry})
	d.broadcastQuarantine([]quarantiner.Entry{entry})
}

// knows reports whether a daemon has an entry, which it has afterwards.
func knows(d *Daemon, entry quarantiner.Entry) bool {
	return len(d.admission.AddQuarantineEntries([]quarantiner.Entry{entry})) == 0
}

// Guards against a request that crashes backend servers again after a restart of the daemon
// beside one: of one daemon or all, killed once or several times, with and without the
// directory.
func TestQuarantineSurvivesKills(t *testing.T) {
	cases := []struct {
		name string
		kind quarantiner.Kind
		// all says that every daemon is killed, kills how often, away that the directory
		// cannot be reached meanwhile.
		all   bool
		kills int
		away  bool
	}{
		{"the daemon that saw the crash", quarantiner.Quarantined, false, 1, false},
		{"the daemon that saw the crash, three times", quarantiner.Quarantined, false, 3, false},
		{"the daemon that saw the crash, directory away", quarantiner.Quarantined, false, 1, true},
		{"a suspect, directory away", quarantiner.Suspect, false, 1, true},
		{"all", quarantiner.Quarantined, true, 1, false},
		{"all, three times", quarantiner.Quarantined, true, 3, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			directory := newMemoryDirectory()
			vms := []*testVM{newTestVM(t, "vm-1", directory), newTestVM(t, "vm-2", directory)}
			daemons, kills := make([]*Daemon, len(vms)), make([]func(), len(vms))
			for i, v := range vms {
				daemons[i], kills[i] = v.start()
				awaitTrue(t, "stored", func() bool { return v.storedBy(daemons[i]) })
			}
			awaitTrue(t, "known to each other", func() bool {
				return len(daemons[0].gossiper.Members()) == 1 && len(daemons[1].gossiper.Members()) == 1
			})
			entry := quarantiner.Entry{
				Fingerprint: identifier.NewFingerprint("GET", "/poison", nil), Kind: c.kind, Expires: daemons[0].clock.Wall() + timer.Minute,
			}
			crash(daemons[0], entry)
			time.Sleep(reportsPassed.Duration())
			directory.setAway(c.away)
			for range c.kills {
				for i, v := range vms {
					if i > 0 && !c.all {
						continue
					}
					kills[i]()
					daemons[i], kills[i] = v.start()
				}
				for i, v := range vms {
					awaitTrue(t, "joined", func() bool { return c.away || v.storedBy(daemons[i]) })
				}
			}
			time.Sleep(reportsPassed.Duration())
			for i, d := range daemons {
				if !knows(d, entry) {
					t.Errorf("the daemon of %s does not know the entry", vms[i].node)
				}
			}
		})
	}
}

// reportsPassed is a time in which daemons that know each other have exchanged reports.
const reportsPassed = 1500 * timer.Millis(1)

// Guards against one odd entry in the answer of another daemon that costs the other members,
// and against an answer that ends the daemon.
func TestOddAnswersOfMembers(t *testing.T) {
	const good = `{"node":"x","incarnation":5,"revision":1,"service":"s","slots":4,"peer":"127.0.0.1:1","report":"127.0.0.1:2"}`
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	odd := []string{
		"null", "7", `"x"`, "[]", `{"node":7}`, `{"node":"x"}`, strings.Replace(good, ":1\"", ":99999\"", 1),
		strings.Replace(good, `"slots":4`, `"slots":1e400`, 1), strings.Replace(good, `"slots":4`, `"slots":{"a":[[[[]]]]}`, 1),
	}
	members, err := decodeMembers([]byte("[" + strings.Join(append(odd, good), ",") + "]"))
	if err != nil || len(members) != 1 || members[0].Node != "x" {
		t.Errorf("members %+v, error %v", members, err)
	}
	for _, text := range []string{"", "{}", nested, "[" + nested + "]", "\x00\xff", "[" + good} {
		if members, err := decodeMembers([]byte(text)); err == nil {
			t.Errorf("%.20q: members %+v", text, members)
		}
		if _, err := decodeSnapshot([]byte(text)); err == nil {
			t.Errorf("%.20q was taken for a configuration", text)
		}
	}
}
