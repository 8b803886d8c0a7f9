package assembler

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/magnoliaknot/magnoliaknot/internal/state/comparer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	testTimeout = 10 * time.Second
	service     = "s"
)

var errNoAnswer = errors.New("no answer")

// fakeStore keeps records in memory for several daemons.
type fakeStore struct {
	mu      sync.Mutex
	control router.Control
	status  rolloutState
	calls   int
	writes  int
	// lostAnswers is the number of writes that are carried out without an answer.
	lostAnswers int
	// beforePublish, if any, is called instead of the next update of the status, which fails.
	beforePublish func()
}

func (f *fakeStore) Read(context.Context) (router.Control, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	return f.control, nil
}

func (f *fakeStore) WriteRollout(_ context.Context, p router.RolloutProgress, since router.Position) (router.Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if since != f.control.Position() {
		return router.Position{}, ErrConflict
	}
	f.writes++
	f.control = f.control.With(p, router.Position{Era: since.Era, Offset: since.Offset + 1})
	if f.lostAnswers > 0 {
		f.lostAnswers--
		return router.Position{}, errNoAnswer
	}
	return f.control.Position(), nil
}

func (f *fakeStore) WriteCoordinator(context.Context, router.Coordinator, router.Position) (router.Position, error) {
	return router.Position{}, errNoAnswer
}

func (f *fakeStore) PublishRollout(_ context.Context, p router.RolloutProgress) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if before := f.beforePublish; before != nil {
		f.beforePublish = nil
		before()
		return errNoAnswer
	}
	f.status = stateOf(p)
	return nil
}

func (f *fakeStore) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *fakeStore) stored() (router.RolloutProgress, rolloutState, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	progress, _ := f.control.Progress(service)
	return progress, f.status, f.writes
}

// logs keeps log lines. It is safe for concurrent use.
type logs struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logs) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logs) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

// testDaemon is the part of a daemon around its roll-outs.
type testDaemon struct {
	*rollouts
	holder   *router.Holder
	deciding atomic.Bool
	asked    atomic.Int64
	kill     context.CancelFunc
	logs     logs
}

func newTestDaemon(t *testing.T, store ControlStore, deciding bool) *testDaemon {
	t.Helper()
	d := &testDaemon{holder: router.NewHolder()}
	d.deciding.Store(deciding)
	d.rollouts = newRollouts(rolloutsConfig{
		Store: store, Clock: timer.NewBoot(), Snapshot: d.holder.Snapshot, Adopt: d.adopt,
		Deciding: d.deciding.Load, Reachable: func() bool { return true },
		Ask:    func(identifier.ServiceName, identifier.ServiceVersion, bool) { d.asked.Add(1) },
		Logger: slog.New(slog.NewTextHandler(&d.logs, nil)),
	})
	ctx, cancel := context.WithCancel(t.Context())
	d.kill = cancel
	t.Cleanup(cancel)
	d.Start(ctx)
	return d
}

func (d *testDaemon) adopt(s *router.Snapshot) {
	if d.holder.Adopt(s) {
		d.SnapshotChanged()
	}
}

func (d *testDaemon) isRunning() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running
}

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, testTimeout)
		}
	}
}

// ordered returns a snapshot with an order for a version, which is final at once if the
// control has rejected that version.
func ordered(target identifier.ServiceVersion, control router.Control) *router.Snapshot {
	return (&router.Snapshot{
		Version: 1, Era: 1, Offset: 1, Control: control,
		Orders: []router.RolloutOrder{{Service: service, Target: target, Duration: 15 * timer.Second}},
	}).Index()
}

// rejected is a control in which v2 was rejected before v1 was completed.
func rejected() router.Control {
	return router.Control{Era: 1, Offset: 5, Rollouts: []router.RolloutProgress{
		{Service: service, Target: "v1", Phase: router.RolloutCompleted, Rejected: []identifier.ServiceVersion{"v2"}},
	}}
}

var rolledBack = rolloutState{"v2", router.RolloutRolledBack}

// Guards against work, in particular calls to the store, while there is no order or after
// its end.
func TestNoWorkWithoutOrder(t *testing.T) {
	store := &fakeStore{control: rejected()}
	d := newTestDaemon(t, store, true)
	d.adopt((&router.Snapshot{Version: 1, Era: 1, Offset: 1}).Index())
	if d.isRunning() || store.callCount() > 0 {
		t.Fatalf("running %v with %d calls", d.isRunning(), store.callCount())
	}
	order := *ordered("v2", router.Control{})
	order.Offset = 2
	d.adopt(order.Index())
	waitFor(t, "the end is published", func() bool { _, status, _ := store.stored(); return status == rolledBack })
	waitFor(t, "the work ends", func() bool { return !d.isRunning() })
	calls := store.callCount()
	time.Sleep(3 * rolloutInterval.Duration())
	if d.isRunning() || store.callCount() > calls {
		t.Errorf("running %v, %d calls after the end", d.isRunning(), store.callCount()-calls)
	}
}

// Guards against calls to the store of a daemon that does not decide.
func TestOthersDoNotCall(t *testing.T) {
	store := &fakeStore{control: rejected()}
	d := newTestDaemon(t, store, false)
	d.adopt(ordered("v2", router.Control{}))
	time.Sleep(3 * rolloutInterval.Duration())
	if !d.isRunning() || store.callCount() > 0 || d.asked.Load() > 0 {
		t.Errorf("running %v, %d calls, %d questions", d.isRunning(), store.callCount(), d.asked.Load())
	}
}

// Guards against a status that stays behind the progress when the deciding daemon is
// killed between them.
func TestKilledBeforeStatus(t *testing.T) {
	store := &fakeStore{control: rejected(), status: rolloutState{"v2", router.RolloutRunning}}
	first, next := newTestDaemon(t, store, true), newTestDaemon(t, store, false)
	killed := make(chan struct{})
	store.beforePublish = func() {
		first.kill()
		first.deciding.Store(false)
		close(killed)
	}
	first.adopt(ordered("v2", router.Control{}))
	next.adopt(ordered("v2", router.Control{}))
	select {
	case <-killed:
	case <-time.After(testTimeout):
		t.Fatal("the first daemon did not publish")
	}
	progress, status, _ := store.stored()
	if stateOf(progress) != rolledBack || status.phase != router.RolloutRunning {
		t.Fatalf("progress %+v, status %v", progress, status)
	}
	next.adopt(first.holder.Snapshot()) // As fetched before it was killed.
	next.deciding.Store(true)
	waitFor(t, "the status is completed", func() bool { _, status, _ := store.stored(); return status == rolledBack })
	if _, _, writes := store.stored(); writes != 1 {
		t.Errorf("%d records of the progress", writes)
	}
}

// Guards against progress that is lost, stored twice or never published when writes meet
// faults, and against one that goes back in the snapshot in force.
func TestWritesWithFaults(t *testing.T) {
	cases := []struct {
		name     string
		deciding int
		lost     int
	}{
		{"no fault", 1, 0},
		{"a write without an answer", 1, 1},
		{"two daemons that decide", 2, 0},
		{"two daemons that decide and a write without an answer", 2, 1},
	}
	for _, c := range cases {
		store := &fakeStore{control: rejected(), lostAnswers: c.lost}
		var daemons []*testDaemon
		for range c.deciding {
			d := newTestDaemon(t, store, true)
			d.adopt(ordered("v2", router.Control{}))
			daemons = append(daemons, d)
		}
		waitFor(t, c.name, func() bool { _, status, _ := store.stored(); return status == rolledBack })
		if _, _, writes := store.stored(); writes != 1 {
			t.Errorf("%s: %d records", c.name, writes)
		}
		for _, d := range daemons {
			waitFor(t, c.name+": in force", func() bool { return d.holder.Snapshot().Control.Offset == 6 })
			d.adopt(ordered("v2", rejected()))
			if got := d.holder.Snapshot().Control; got.Offset != 6 {
				t.Errorf("%s: back at %v", c.name, got.Position())
			}
			d.kill()
		}
	}
}

// Guards against a restored store that stays without the end of a roll-out.
func TestRestoredStoreGetsProgressAgain(t *testing.T) {
	store := &fakeStore{control: rejected()}
	d := newTestDaemon(t, store, true)
	d.adopt(ordered("v2", router.Control{}))
	waitFor(t, "the end is published", func() bool { _, status, _ := store.stored(); return status == rolledBack })
	waitFor(t, "the work ends", func() bool { return !d.isRunning() })
	store.mu.Lock()
	store.control, store.status = router.Control{Era: 2}, rolloutState{}
	store.mu.Unlock()
	d.adopt(&router.Snapshot{Control: router.Control{Era: 2}})
	waitFor(t, "the end is stored again", func() bool {
		progress, status, _ := store.stored()
		return stateOf(progress) == rolledBack && status == rolledBack
	})
	if got := d.holder.Snapshot().Control.Position(); got != (router.Position{Era: 2, Offset: 1}) {
		t.Errorf("position in force %v", got)
	}
}

// Guards against an order that never begins although an instance of its target accepts
// requests, and against an operator who cannot see the share.
func TestOrderBegins(t *testing.T) {
	store := &fakeStore{control: router.Control{Era: 1}}
	d := newTestDaemon(t, store, true)
	d.adopt(ordered("v2", router.Control{}))
	waitFor(t, "instances are asked", func() bool { return d.asked.Load() > 0 })
	sequence := uint64(0)
	waitFor(t, "a share is in force", func() bool {
		sequence++
		d.Counted(comparer.Report{
			Node: "n", Incarnation: 1, Sequence: sequence, Service: service, Version: "v2", Target: "v2",
			Phase: router.RolloutPending, Accepting: true, Slots: 4,
		})
		state, _ := d.holder.Snapshot().Rollout(service)
		return state.Phase == router.RolloutRunning && state.Percent > 0
	})
	var text bytes.Buffer
	metrics.WritePrometheus(&text, false)
	if !strings.Contains(text.String(), "magnoliaknot_rollout_share_percent{service=\"s\"} 4") {
		t.Errorf("metrics without the share:\n%s", text.String())
	}
	for _, line := range []string{`"roll-out: order seen"`, `"roll-out: progress stored"`, "target_runs=0", `"roll-out in force"`} {
		if !d.logs.contains(line) {
			t.Errorf("no log line with %s", line)
		}
	}
	waitFor(t, "the status is published", func() bool {
		_, status, _ := store.stored()
		return status.phase == router.RolloutRunning || status.phase == router.RolloutPending
	})
}
