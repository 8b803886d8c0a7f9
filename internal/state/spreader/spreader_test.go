package spreader_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/spreader"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

const seed = 20261204

// fleet returns members in four failure domains and three services.
func fleet(count int) []registrar.Member {
	members := make([]registrar.Member, count)
	for i := range members {
		members[i] = registrar.Member{
			Node: identifier.InstanceID(fmt.Sprintf("vm-%d", i)), Incarnation: identifier.Incarnation(i + 1),
			FailureDomain: identifier.FailureDomain(fmt.Sprintf("domain-%d", i%4)), Service: identifier.ServiceName(fmt.Sprintf("service-%d", i%3)),
		}
	}
	return members
}

// Guards against load changes that reach the users of an instance late, against a
// number of datagrams that grows with the fleet, and against datagrams that leave the
// failure domain without need.
func TestTargets(t *testing.T) {
	cases := []struct {
		name           string
		members, users int
		kind           spreader.Kind
		least, most    int
		// mostOther bounds the targets in other failure domains.
		mostOther int
	}{
		{"a small fleet receives each load change", 32, 0, spreader.Load, 32, 32, 24},
		{"a small fleet receives each change", 32, 0, spreader.Change, 32, 32, 24},
		{"the users of an instance receive each load change", 100, 3, spreader.Load, 3, 3, 3},
		{"a random sample also receives the datagram of the interval", 100, 3, spreader.Periodic, 4, 9, 5},
		{"a change reaches a larger sample", 100, 3, spreader.Change, 8, 15, 7},
		{"a change in a fleet ten times as large", 1000, 3, spreader.Change, 8, 15, 7},
		{"a change in a fleet of 34,000", 34_000, 3, spreader.Change, 8, 15, 7},
		{"of many users some receive a load change, those of the own failure domain first", 300, 200, spreader.Load, 32, 32, 0},
	}
	for _, c := range cases {
		s := spreader.New("domain-0", rand.New(rand.NewPCG(seed, 0)))
		s.SetMembers(fleet(c.members))
		users := func(m registrar.Member) bool { return int(m.Incarnation) <= c.users }
		for range 20 {
			targets := s.Targets(c.kind, users)
			seen, other := map[identifier.InstanceID]bool{}, 0
			for _, m := range targets {
				if seen[m.Node] {
					t.Errorf("%s: %s twice", c.name, m.Node)
				}
				seen[m.Node] = true
				if m.FailureDomain != "domain-0" {
					other++
				}
			}
			if len(targets) < c.least || len(targets) > c.most || other > c.mostOther {
				t.Errorf("%s: %d targets, want %d to %d; %d in other failure domains, want at most %d", c.name, len(targets), c.least, c.most, other, c.mostOther)
			}
		}
	}
}

// Guards against a new daemon that sends its report to the whole fleet, and against one
// that has no instance of some service because it introduced itself to none of them.
func TestIntroduction(t *testing.T) {
	for _, count := range []int{1, 32, 33, 300, 3000} {
		s := spreader.New("domain-0", rand.New(rand.NewPCG(seed, 0)))
		s.SetMembers(fleet(count))
		targets := s.Introduction()
		perService := map[identifier.ServiceName]int{}
		for _, m := range targets {
			perService[m.Service]++
		}
		if len(targets) > 32 || len(targets) < min(count, 20) || len(perService) != min(3, count) {
			t.Errorf("%d members: %d targets, services %v", count, len(targets), perService)
		}
	}
}

// Guards against a table that grows with the fleet, and against one without instances
// of a service in use.
func TestWanted(t *testing.T) {
	cases := []struct {
		ofService, inAll int
		used, want       bool
	}{
		{0, 0, false, true},
		{0, 200, true, true},
		{0, 200, false, false},
		{100, 200, true, false},
	}
	for _, c := range cases {
		if got := spreader.Wanted(c.ofService, c.inAll, c.used); got != c.want {
			t.Errorf("%+v: wanted %v", c, got)
		}
	}
}
