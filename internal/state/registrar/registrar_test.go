package registrar_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestRegistrar(t *testing.T) { tester.RunSpecs(t, "registrar") }

func member(node identifier.InstanceID, incarnation identifier.Incarnation, revision uint64) registrar.Member {
	return registrar.Member{Node: node, Incarnation: incarnation, Revision: revision, Service: "s", Slots: 4, Accepting: true}
}

var _ = Describe("a table of members", func() {
	var table *registrar.Registrar
	BeforeEach(func() { table = registrar.New("self") })

	reports := []struct {
		name   string
		m      registrar.Member
		change registrar.Change
	}{
		{"a late report", member("a", 5, 3), registrar.Stale},
		{"a report of an earlier incarnation", member("a", 4, 9), registrar.Stale},
		{"a later report", member("a", 5, 8), registrar.LoadChanged},
		{"a new incarnation", member("a", 6, 1), registrar.Restarted},
		{"another member", member("b", 1, 1), registrar.Joined},
		{"its own report", member("self", 9, 9), registrar.Stale},
	}
	for _, c := range reports {
		It("guards against an older report that replaces a newer one: "+c.name, func() {
			Expect(table.Observe(1, member("a", 5, 7))).To(Equal(registrar.Joined))
			Expect(table.Observe(2, c.m)).To(Equal(c.change))
		})
	}

	It("guards against attempts to a member that only the store names", func() {
		Expect(table.Learn(1, member("a", 5, 1))).To(BeTrue())
		Expect(table.Instances(2, "s")).To(BeEmpty())
		Expect(table.Members()).To(HaveLen(1))
		table.Observe(3, member("a", 5, 2))
		Expect(table.Instances(4, "s")).To(HaveLen(1))
	})

	It("guards against a stored entry that replaces a later report", func() {
		table.Observe(1, member("a", 5, 1))
		Expect(table.Learn(2, member("a", 5, 9))).To(BeFalse())
		Expect(table.Instances(3, "s")).To(HaveLen(1))
	})

	It("guards against attempts to a silent member while others report, and against no member at all", func() {
		table.Observe(1, member("a", 5, 1))
		table.Observe(1, member("b", 5, 1))
		later := 2 * timer.Second
		table.Observe(later, member("b", 5, 2))
		Expect(table.Instances(later, "s")).To(HaveLen(1))
		Expect(table.Instances(later, "s")[0].Node).To(BeEquivalentTo("b"))
		Expect(table.Instances(2*later, "s")).To(HaveLen(2), "all members are silent")
		Expect(table.ActiveCount(2 * later)).To(BeZero())
	})

	It("guards against a status update of an unknown incarnation or another state", func() {
		table.Observe(1, member("a", 5, 1))
		update := registrar.StatusUpdate{Incarnation: 5, Revision: 2, Accepting: true, Load: registrar.Load{Running: 3}}
		m, known := table.ObserveStatus(2, update)
		Expect(known).To(BeTrue())
		Expect(m.Load.Running).To(BeEquivalentTo(3))
		update.Accepting = false
		_, known = table.ObserveStatus(3, update)
		Expect(known).To(BeFalse())
		update.Accepting, update.Incarnation = true, 6
		_, known = table.ObserveStatus(3, update)
		Expect(known).To(BeFalse())
	})

	It("guards against a late status update that restores an older load", func() {
		table.Observe(1, member("a", 5, 7))
		m, known := table.ObserveStatus(2, registrar.StatusUpdate{Incarnation: 5, Revision: 6, Accepting: true, Load: registrar.Load{Running: 9}})
		Expect(known).To(BeTrue())
		Expect(m.Load.Running).To(BeZero())
	})

	It("guards against attempts to a lost member at an address that another one has taken over", func() {
		lost, next := member("a", 5, 1), member("b", 6, 1)
		lost.Peer, next.Peer = "10.0.0.1:1", "10.0.0.1:1"
		table.Observe(1, lost)
		table.Observe(2, next)
		Expect(table.Members()).To(HaveLen(1))
		Expect(table.Members()[0].Node).To(BeEquivalentTo("b"))
		Expect(table.Learn(3, lost)).To(BeFalse(), "a stored entry must not add it again")
	})

	It("guards against members that are never removed", func() {
		table.Observe(1, member("a", 5, 1))
		Expect(table.Expire(timer.Minute)).To(BeFalse())
		Expect(table.Expire(3 * timer.Minute)).To(BeTrue())
		Expect(table.Members()).To(BeEmpty())
	})
})

// Guards against a member that was silent while something was sent once and is not known to
// have returned.
func TestTakeReturned(t *testing.T) {
	r := registrar.New("self")
	member := func(incarnation identifier.Incarnation, revision uint64) registrar.Member {
		return registrar.Member{Node: "a", Incarnation: incarnation, Revision: revision, Service: "s", Accepting: true}
	}
	status := func(revision uint64) registrar.StatusUpdate {
		return registrar.StatusUpdate{Incarnation: 2, Revision: revision, Accepting: true}
	}
	cases := []struct {
		name     string
		observe  func()
		returned int
	}{
		{"learned from another source", func() { r.Learn(0, member(1, 1)) }, 0},
		{"its first report", func() { r.Observe(10, member(1, 2)) }, 1},
		{"another report", func() { r.Observe(20, member(1, 3)) }, 0},
		{"a restart", func() { r.Observe(30, member(2, 1)) }, 1},
		{"a status update", func() { r.ObserveStatus(400, status(2)) }, 0},
		{"a status update after a silence", func() { r.ObserveStatus(3000, status(3)) }, 1},
		{"a late one after a silence", func() { r.ObserveStatus(9000, status(2)) }, 0},
		{"a report after a silence", func() { r.Observe(9000, member(2, 9)) }, 1},
		{"an outdated report", func() { r.Observe(20_000, member(1, 99)) }, 0},
	}
	for _, c := range cases {
		c.observe()
		if got := len(r.TakeReturned()); got != c.returned {
			t.Errorf("%s: %d members returned, want %d", c.name, got, c.returned)
		}
	}
}
