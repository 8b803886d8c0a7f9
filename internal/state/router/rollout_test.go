package router_test

import (
	"testing"

	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// Guards against attempts on a version that the phase of a roll-out does not allow.
func TestRolloutAdmits(t *testing.T) {
	cases := []struct {
		phase                              router.RolloutPhase
		baseline, target, marked, rejected bool
	}{
		{router.RolloutPending, true, false, false, false},
		{router.RolloutRunning, true, false, true, false},
		{router.RolloutDraining, false, true, true, false},
		{router.RolloutCompleted, false, true, true, false},
		{router.RolloutRolledBack, true, false, false, false},
	}
	for _, c := range cases {
		r := router.Rollout{RolloutProgress: router.RolloutProgress{
			Target: "v2", Phase: c.phase, Rejected: []identifier.ServiceVersion{"v0"},
		}}
		for _, got := range []struct {
			name      string
			got, want bool
		}{
			{"baseline", r.Admits("v1", false), c.baseline},
			{"unknown version", r.Admits("", false), c.baseline},
			{"target", r.Admits("v2", false), c.target},
			{"marked target", r.Admits("v2", true), c.marked},
			{"rejected", r.Admits("v0", true), c.rejected},
		} {
			if got.got != got.want {
				t.Errorf("%s, %s: admitted %v", c.phase, got.name, got.got)
			}
		}
	}
}

// Guards against a version that comes back after it was rolled back or replaced, and
// against an order that is taken as another one when it is repeated.
func TestSnapshotRollout(t *testing.T) {
	running := router.RolloutProgress{Service: "s", Target: "v2", Phase: router.RolloutRunning, Percent: 8}
	rolledBack := router.RolloutProgress{Service: "s", Target: "v2", Phase: router.RolloutRolledBack}
	completed := router.RolloutProgress{Service: "s", Target: "v2", Phase: router.RolloutCompleted}
	afterwards := router.RolloutProgress{Service: "s", Target: "v3", Phase: router.RolloutCompleted, Rejected: []identifier.ServiceVersion{"v2"}}
	cases := []struct {
		name     string
		target   identifier.ServiceVersion // Empty without an order.
		progress []router.RolloutProgress
		phase    router.RolloutPhase // Empty if every version is allowed.
		rejects  identifier.ServiceVersion
	}{
		{"nothing", "", nil, "", ""},
		{"an order without progress", "v2", nil, router.RolloutPending, ""},
		{"an order that runs", "v2", []router.RolloutProgress{running}, router.RolloutRunning, ""},
		{"a repeated order after its end", "v2", []router.RolloutProgress{rolledBack}, router.RolloutRolledBack, ""},
		{"a replaced order", "v3", []router.RolloutProgress{running}, router.RolloutPending, "v2"},
		{"the next order after a roll-back", "v3", []router.RolloutProgress{rolledBack}, router.RolloutPending, "v2"},
		{"the next order after a good one", "v3", []router.RolloutProgress{completed}, router.RolloutPending, ""},
		{"an order for a version that was rolled back earlier", "v2", []router.RolloutProgress{afterwards}, router.RolloutRolledBack, ""},
		{"withdrawn while it ran", "", []router.RolloutProgress{running}, router.RolloutRolledBack, ""},
		{"withdrawn after it was rolled back", "", []router.RolloutProgress{rolledBack}, router.RolloutRolledBack, ""},
		{"withdrawn after it was completed", "", []router.RolloutProgress{completed}, "", ""},
	}
	for _, c := range cases {
		snapshot := &router.Snapshot{Control: router.Control{Rollouts: c.progress}}
		if c.target != "" {
			snapshot.Orders = []router.RolloutOrder{{Service: "other", Target: "v9"}, {Service: "s", Target: c.target, Duration: 100}}
		}
		r, found := snapshot.Rollout("s")
		if found != (c.phase != "") || r.Phase != c.phase {
			t.Errorf("%s: found %v in phase %q", c.name, found, r.Phase)
		}
		if c.rejects != "" && r.Role(c.rejects) != router.RejectedVersion {
			t.Errorf("%s: %s is not rejected", c.name, c.rejects)
		}
	}
}

// Guards against progress that goes back, and against a final phase or a coordinator that
// is forgotten when the store has lost their records.
func TestControlOrder(t *testing.T) {
	progress := func(phase router.RolloutPhase) []router.RolloutProgress {
		return []router.RolloutProgress{{Service: "s", Target: "v2", Phase: phase}}
	}
	current := router.Control{Era: 1, Offset: 5, Rollouts: progress(router.RolloutRolledBack), Coordinator: router.Coordinator{Node: "n", Epoch: 3}}
	cases := []struct {
		name    string
		next    router.Control
		adopted bool
		phase   router.RolloutPhase
	}{
		{"an earlier position", router.Control{Era: 1, Offset: 4, Rollouts: progress(router.RolloutRunning)}, false, router.RolloutRolledBack},
		{"the same position", router.Control{Era: 1, Offset: 5, Rollouts: progress(router.RolloutRunning)}, false, router.RolloutRolledBack},
		{"a later position", router.Control{Era: 1, Offset: 6, Rollouts: progress(router.RolloutRunning)}, true, router.RolloutRunning},
		{"a later era without the records", router.Control{Era: 2, Offset: 0}, true, router.RolloutRolledBack},
		{"an earlier era", router.Control{Era: 0, Offset: 90, Rollouts: progress(router.RolloutRunning)}, false, router.RolloutRolledBack},
	}
	for _, c := range cases {
		holder := router.NewHolder()
		holder.Adopt((&router.Snapshot{Version: 1, Control: current}).Index())
		if adopted := holder.Adopt((&router.Snapshot{Version: 1, Control: c.next}).Index()); adopted != c.adopted {
			t.Errorf("%s: adopted %v", c.name, adopted)
		}
		got := holder.Snapshot().Control
		kept, _ := got.Progress("s")
		if kept.Phase != c.phase || got.Coordinator.Epoch != 3 {
			t.Errorf("%s: phase %s, coordinator %+v", c.name, kept.Phase, got.Coordinator)
		}
	}
}
