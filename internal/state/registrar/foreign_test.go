package registrar_test

import (
	"math"
	"strings"
	"testing"

	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// goodMember is a description that passes its check.
func goodMember() registrar.Member {
	return registrar.Member{
		Node: "a", Incarnation: identifier.NewIncarnation(1_700_000_000_000), Revision: 3, Service: "s", Slots: 4, Accepting: true,
		Peer: "10.0.0.1:8300", Report: "10.0.0.1:7620",
	}
}

// Guards against an entry of another writer that is taken for a daemon.
func TestCheck(t *testing.T) {
	cases := []struct {
		name   string
		change func(*registrar.Member)
		valid  bool
	}{
		{"a daemon", func(*registrar.Member) {}, true},
		{"no node", func(m *registrar.Member) { m.Node = "" }, false},
		{"no service", func(m *registrar.Member) { m.Service = "" }, false},
		{"a long node", func(m *registrar.Member) { m.Node = identifier.InstanceID(strings.Repeat("n", 257)) }, false},
		{"a long backend", func(m *registrar.Member) { m.Backend = identifier.BackendID(strings.Repeat("n", 257)) }, false},
		{"a port out of range", func(m *registrar.Member) { m.Peer = "10.0.0.1:99999" }, false},
		{"port zero", func(m *registrar.Member) { m.Report = "10.0.0.1:0" }, false},
		{"a negative port", func(m *registrar.Member) { m.Report = "10.0.0.1:-1" }, false},
		{"no port", func(m *registrar.Member) { m.Peer = "10.0.0.1" }, false},
		{"no address", func(m *registrar.Member) { m.Report = "" }, false},
		{"a host name", func(m *registrar.Member) { m.Peer = "host:80" }, false},
		{"no incarnation", func(m *registrar.Member) { m.Incarnation = 0 }, false},
		{"the highest incarnation", func(m *registrar.Member) { m.Incarnation = math.MaxUint64 }, false},
		{"the one below it", func(m *registrar.Member) { m.Incarnation = math.MaxUint64 - 1 }, false},
		{"negative slots", func(m *registrar.Member) { m.Slots = -1 }, false},
		{"too many slots", func(m *registrar.Member) { m.Slots = math.MaxInt32 }, false},
		{"a negative load", func(m *registrar.Member) { m.Load.Queued = -1 }, false},
	}
	for _, c := range cases {
		m := goodMember()
		c.change(&m)
		if err := m.Check(); (err == nil) != c.valid {
			t.Errorf("%s: error %v", c.name, err)
		}
	}
}

// Guards against an entry of another writer that hides a daemon which reports, or one that
// reports later.
func TestForeignEntries(t *testing.T) {
	own := goodMember()
	cases := []struct {
		name   string
		change func(*registrar.Member)
	}{
		{"a later run of it elsewhere", func(m *registrar.Member) { m.Incarnation, m.Peer = m.Incarnation+1, "10.9.9.9:8300" }},
		{"a far later run of it elsewhere", func(m *registrar.Member) { m.Incarnation, m.Peer = 2*m.Incarnation, "10.9.9.9:8300" }},
		{"another daemon at its address", func(m *registrar.Member) { m.Incarnation, m.Node = m.Incarnation+1, "b" }},
		{"another daemon of another service at its address", func(m *registrar.Member) { m.Incarnation, m.Node, m.Service = m.Incarnation+1, "b", "t" }},
	}
	for _, c := range cases {
		for _, first := range []bool{false, true} {
			r := registrar.New("self")
			foreign := own
			c.change(&foreign)
			if first {
				r.Learn(0, foreign)
			}
			r.Observe(100, own)
			if !first {
				r.Learn(200, foreign)
			}
			next := own
			next.Revision++
			r.Observe(500, next)
			instances := r.Instances(600, "s")
			if len(instances) != 1 || instances[0].Node != own.Node || instances[0].Peer != own.Peer {
				t.Errorf("%s, known first %v: instances %+v", c.name, first, instances)
			}
		}
	}
}
