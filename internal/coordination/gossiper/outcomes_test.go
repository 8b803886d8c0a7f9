package gossiper

import (
	"fmt"
	"sync"
	"testing"

	"github.com/magnoliaknot/magnoliaknot/internal/state/comparer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

func memberOf(i int, service identifier.ServiceName, version identifier.ServiceVersion) registrar.Member {
	return registrar.Member{
		Node: identifier.InstanceID(fmt.Sprintf("%s-%s-%d", service, version, i)), Incarnation: identifier.Incarnation(1000*len(version) + i + 1),
		Revision: 1, Service: service, Version: version,
	}
}

// Guards against questions to more instances than allowed or to another service, and
// against instances of a large service that are never asked.
func TestChooseInstances(t *testing.T) {
	cases := []struct {
		name                      string
		targets, others           int
		askedTargets, askedOthers int
		callsForAll               int
	}{
		{"a small service", 3, 4, 3, 4, 1},
		{"a large service", 70, 40, 32, 16, 3},
		{"no instance of the target", 0, 5, 0, 5, 1},
	}
	for _, c := range cases {
		var members []registrar.Member
		for i := range c.targets {
			members = append(members, memberOf(i, "s", "v2"))
		}
		for i := range c.others {
			members = append(members, memberOf(i, "s", ""))
		}
		members = append(members, memberOf(0, "other", "v2"))
		o := newOutcomes()
		asked := map[identifier.InstanceID]bool{}
		for range c.callsForAll {
			targets, others := 0, 0
			for _, m := range o.choose(members, "s", "v2") {
				asked[m.Node] = true
				if m.Version == "v2" {
					targets++
				} else {
					others++
				}
				if m.Service != "s" {
					t.Errorf("%s: service %s asked", c.name, m.Service)
				}
			}
			if targets != c.askedTargets || others != c.askedOthers {
				t.Errorf("%s: %d and %d asked", c.name, targets, others)
			}
		}
		if len(asked) != c.targets+c.others {
			t.Errorf("%s: %d of %d asked in %d calls", c.name, len(asked), c.targets+c.others, c.callsForAll)
		}
	}
}

// Guards against an instance of the target that counts as another one for a daemon that
// knows its version from its answer only.
func TestVersionFromAnswer(t *testing.T) {
	var members []registrar.Member
	for i := range 40 {
		members = append(members, memberOf(i, "s", ""))
	}
	o := newOutcomes()
	for _, m := range members[:20] {
		o.versions[m.Incarnation] = "v2"
	}
	if asked := len(o.choose(members, "s", "v2")); asked != 20+maxAskedOthers {
		t.Errorf("%d asked", asked)
	}
	o.retain(func(i identifier.Incarnation) bool { return i == members[0].Incarnation })
	if len(o.versions) != 1 {
		t.Errorf("%d versions of unknown members kept", len(o.versions))
	}
}

// Guards against a deciding daemon that does not learn the counts of an instance or its
// own, and against a halt of an instance of another version.
func TestAskOutcomes(t *testing.T) {
	const service, target = "s", "v2"
	var mu sync.Mutex
	halted := map[identifier.InstanceID]bool{}
	counted := map[identifier.InstanceID]uint64{}
	start := func(node identifier.InstanceID, incarnation identifier.Incarnation, version identifier.ServiceVersion) *daemon {
		return newConfiguredDaemon(t, node, incarnation, func(c *Config) {
			self := c.Self
			c.Self = func() registrar.Member {
				m := self()
				m.Version = version
				return m
			}
			c.Outcomes = func(key registrar.ServiceKey, halt bool) (comparer.Report, bool) {
				mu.Lock()
				defer mu.Unlock()
				halted[node] = halted[node] || halt
				return comparer.Report{
					Node: node, Incarnation: incarnation, Service: service, Version: version, Sequence: 1,
					Routes: []comparer.RouteCounts{{Route: "r", Runs: uint64(incarnation), Failed: 1}},
				}, key == registrar.KeyOf(service)
			}
			c.Counted = func(r comparer.Report) {
				mu.Lock()
				defer mu.Unlock()
				if len(r.Routes) == 1 {
					counted[r.Node] = r.Routes[0].Runs
				}
			}
		})
	}
	a, old, updated := start("a", 11, ""), start("old", 12, "v1"), start("new", 13, target)
	a.AddMembers([]registrar.Member{old.own(), updated.own()})
	a.AskOutcomes(service, target, true)
	eventually(t, "all counts are known", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return counted["a"] == 11 && counted["old"] == 12 && counted["new"] == 13
	})
	mu.Lock()
	defer mu.Unlock()
	if halted["a"] || halted["old"] || !halted["new"] {
		t.Errorf("halted: %v", halted)
	}
}

// Guards against an invalid answer that is taken for counts.
func TestInvalidOutcomes(t *testing.T) {
	d := newConfiguredDaemon(t, "a", 1, func(c *Config) {
		c.Counted = func(r comparer.Report) { t.Errorf("counted %+v", r) }
	})
	for _, text := range []string{"", "{", `{}`, `{"node":"n"}`, `{"node":"n","service":"s","running":-1}`, `{"node":"n","service":"s","routes":[{"route":"r","runs":1,"failed":2}]}`} {
		if err := d.receiveOutcomes([]byte(text)); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}

// Guards against two daemons of a large fleet that both decide because the better ranked
// one does not report to the other, and against a fleet in which none decides.
func TestDeciding(t *testing.T) {
	eventually(t, "a daemon alone decides", newDaemon(t, "alone", 3).Deciding)
	a, b := newDaemon(t, "a", 1), newDaemon(t, "b", 2)
	// As in a large fleet: each has read the other's entry, and hears nothing.
	a.learn(b.own())
	b.learn(a.own())
	if a.Deciding() && b.Deciding() {
		t.Error("both decide before the better ranked one could answer")
	}
	deciding := map[bool]int{}
	eventually(t, "one of two decides", func() bool {
		deciding = map[bool]int{}
		deciding[a.Deciding()]++
		deciding[b.Deciding()]++
		return deciding[true] == 1
	})
	if first, _ := a.table.Deciding(a.config.Clock.Now(), a.own()); first {
		a, b = b, a
	}
	b.stop()
	eventually(t, "the other one takes over", a.Deciding)
}
