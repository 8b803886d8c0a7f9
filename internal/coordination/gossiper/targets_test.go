package gossiper

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// newFleet returns a gossiper with a number of members.
func newFleet(t *testing.T, members int) *Gossiper {
	t.Helper()
	g, err := Listen(Config{
		Address: "127.0.0.1:0", Clock: timer.NewBoot(), Logger: slog.New(slog.DiscardHandler),
		Self: func() registrar.Member { return registrar.Member{Node: "self"} },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.conn.Close() })
	for i := range members {
		g.table.Observe(g.config.Clock.Now(), registrar.Member{
			Node: identifier.InstanceID(fmt.Sprintf("vm-%d", i)), Incarnation: identifier.Incarnation(i + 1), Revision: 1,
			Report: identifier.Address(fmt.Sprintf("127.0.0.1:%d", 1000+i)),
		})
	}
	return g
}

// Guards against load changes that reach the users of an instance late in a large
// fleet, and against a number of datagrams that grows with the fleet.
func TestTargets(t *testing.T) {
	cases := []struct {
		name           string
		members, users int
		due, all       bool
		least, most    int
	}{
		{"a small fleet receives each load change", smallFleet, 0, false, false, smallFleet, smallFleet},
		{"a large fleet receives a change of a member", 100, 3, false, true, 100, 100},
		{"the users of an instance receive each load change", 100, 3, false, false, 3, 3},
		{"a random sample also receives the datagram at the interval", 100, 3, true, false, 3, 3 + sampleSize},
		{"of many users only maxUsers receive a load change", 300, 200, false, false, smallFleet, smallFleet},
	}
	for _, c := range cases {
		g := newFleet(t, c.members)
		for i := range c.users {
			g.RecordAttemptFrom(identifier.Incarnation(i + 1))
		}
		targets := g.targets(c.due, c.all)
		if len(targets) < c.least || len(targets) > c.most {
			t.Errorf("%s: %d targets, want %d to %d", c.name, len(targets), c.least, c.most)
		}
	}
}
