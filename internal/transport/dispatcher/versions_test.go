package dispatcher

import (
	"fmt"
	"testing"

	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/state/selector"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// fleetOfVersions returns a fleet with three instances of the versions v1, v2 and v0.
func fleetOfVersions(rollout *router.Rollout) *fleet {
	f := newFleet("here", (&Ingress{config: IngressConfig{Members: soleMember{}}}).retryWindow(), 0)
	var members []registrar.Member
	for _, version := range []identifier.ServiceVersion{"v1", "v2", "v0"} {
		for n := range 3 {
			members = append(members, registrar.Member{
				Node: identifier.InstanceID(fmt.Sprintf("%s-%d", version, n)), Version: version, Slots: 4, Accepting: true,
			})
		}
	}
	f.setMembers(0, fleetBasis{}, members, rollout)
	return f
}

// soleMember is a membership of one daemon.
type soleMember struct{ Members }

func (soleMember) ActiveCount() int { return 1 }

// Guards against requests to a version that the phase of a roll-out does not allow, and
// against a share above the one in force.
func TestFleetVersions(t *testing.T) {
	const requests = 200
	cases := []struct {
		name       string
		rollout    *router.Rollout
		least, max map[identifier.ServiceVersion]int
	}{
		{"no roll-out", nil, map[identifier.ServiceVersion]int{"v0": 1, "v1": 1, "v2": 1}, map[identifier.ServiceVersion]int{"v0": 200, "v1": 200, "v2": 200}},
		{"pending", &router.Rollout{RolloutProgress: router.RolloutProgress{Target: "v2", Phase: router.RolloutPending}}, map[identifier.ServiceVersion]int{"v1": 1}, map[identifier.ServiceVersion]int{"v0": 200, "v1": 200}},
		{"running", &router.Rollout{RolloutProgress: router.RolloutProgress{Target: "v2", Phase: router.RolloutRunning, Percent: 8, Rejected: []identifier.ServiceVersion{"v0"}}}, map[identifier.ServiceVersion]int{"v1": 184, "v2": 15}, map[identifier.ServiceVersion]int{"v1": 200, "v2": 16}},
		{"draining", &router.Rollout{RolloutProgress: router.RolloutProgress{Target: "v2", Phase: router.RolloutDraining}}, map[identifier.ServiceVersion]int{"v2": 200}, map[identifier.ServiceVersion]int{"v2": 200}},
		{"completed", &router.Rollout{RolloutProgress: router.RolloutProgress{Target: "v2", Phase: router.RolloutCompleted}}, map[identifier.ServiceVersion]int{"v2": 200}, map[identifier.ServiceVersion]int{"v2": 200}},
		{"rolled back", &router.Rollout{RolloutProgress: router.RolloutProgress{Target: "v2", Phase: router.RolloutRolledBack}}, map[identifier.ServiceVersion]int{"v1": 1}, map[identifier.ServiceVersion]int{"v0": 200, "v1": 200}},
	}
	for _, c := range cases {
		f := fleetOfVersions(c.rollout)
		got := map[identifier.ServiceVersion]int{}
		for n := range requests {
			picked, found := f.pick(timer.Millis(n), nil)
			if !found {
				t.Fatalf("%s: no instance", c.name)
			}
			if marked := picked.version != ""; marked != (c.rollout != nil && picked.member.Version == c.rollout.Target) {
				t.Fatalf("%s: %s was marked %v", c.name, picked.member.Node, marked)
			}
			got[picked.member.Version]++
			f.recordAttemptEnd(timer.Millis(n), picked.member.Node, 0, selector.Complete)
		}
		for _, version := range []identifier.ServiceVersion{"v0", "v1", "v2"} {
			if got[version] < c.least[version] || got[version] > c.max[version] {
				t.Errorf("%s: %s got %d requests, want %d to %d", c.name, version, got[version], c.least[version], c.max[version])
			}
		}
	}
}

// Guards against repeated attempts that add to the exposure, and against a daemon that
// goes on sending to a version that it sees failing.
func TestFleetSparesTarget(t *testing.T) {
	running := &router.Rollout{RolloutProgress: router.RolloutProgress{Target: "v2", Phase: router.RolloutRunning, Percent: 50}}
	f := fleetOfVersions(running)
	for n := range 100 {
		if picked, found := f.pick(timer.Millis(n), []identifier.InstanceID{"v1-0"}); !found || picked.version != "" {
			t.Fatalf("repeated attempt %d went to %s", n, picked.member.Node)
		}
	}
	halted := 0
	for n := range 100 {
		picked, _ := f.pick(timer.Millis(n), nil)
		if picked.version == "" {
			continue
		}
		if halted > 0 {
			t.Fatalf("request %d went to the target after the halt", n)
		}
		if f.recordVersion(picked.version, true) {
			halted = n
		}
	}
	if halted == 0 {
		t.Fatal("never halted")
	}
	f.setMembers(0, fleetBasis{}, nil, &router.Rollout{RolloutProgress: router.RolloutProgress{Target: "v3", Phase: router.RolloutRunning, Percent: 50}})
	if f.versions.exposer.Halted() {
		t.Fatal("the halt holds for another order")
	}
}
