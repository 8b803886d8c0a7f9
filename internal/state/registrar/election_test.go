package registrar_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

var _ = Describe("the election of readers", func() {
	// elected returns the members of a fleet that elect themselves. Lost
	// members are silent; cut members report that they cannot reach the store.
	elected := func(count int, cut, lost func(int) bool) []int {
		node := func(i int) identifier.InstanceID { return identifier.InstanceID(fmt.Sprintf("vm-%d", i)) }
		var chosen []int
		for self := range count {
			if lost(self) {
				continue
			}
			table := registrar.New(node(self))
			for i := range count {
				m := member(node(i), 1, 1)
				m.StoreUnreachable = cut(i)
				at := 10 * timer.Second
				if lost(i) {
					at = timer.Second
				}
				table.Observe(at, m)
			}
			own := member(node(self), 1, 1)
			own.StoreUnreachable = cut(self)
			if table.Elected(10*timer.Second, own) {
				chosen = append(chosen, self)
			}
		}
		return chosen
	}
	none := func(int) bool { return false }
	all := func(int) bool { return true }

	cases := []struct {
		name        string
		count       int
		cut, lost   func(int) bool
		least, most int
	}{
		{"a single daemon reads", 1, none, none, 1, 1},
		{"all daemons of a small fleet read", 4, none, none, 4, 4},
		{"few of a large fleet read", 100, none, none, 5, 5},
		{"others replace lost readers", 100, none, func(i int) bool { return i%2 == 0 }, 5, 5},
		{"others read beside those that are cut off", 100, func(i int) bool { return i%3 > 0 }, none, 5, 8},
		{"some keep trying when all are cut off", 100, all, none, 3, 3},
	}
	for _, c := range cases {
		It("guards against a fleet without a reader and against one in which all read: "+c.name, func() {
			chosen := elected(c.count, c.cut, c.lost)
			Expect(len(chosen)).To(And(BeNumerically(">=", c.least), BeNumerically("<=", c.most)))
			if c.name != "some keep trying when all are cut off" {
				connected := 0
				for _, i := range chosen {
					if !c.cut(i) {
						connected++
					}
				}
				Expect(connected).To(BeNumerically(">", 0))
			}
		})
	}
})

var _ = Describe("the deciding daemon", func() {
	const now = 10 * timer.Second
	fleet := func(count int, change func(i int, m *registrar.Member)) []registrar.Member {
		members := make([]registrar.Member, count)
		for i := range members {
			members[i] = member(identifier.InstanceID(fmt.Sprintf("vm-%d", i)), identifier.Incarnation(i+1), 1)
			members[i].Peer = ""
			change(i, &members[i])
		}
		return members
	}
	deciding := func(members []registrar.Member, lastSeen func(i int) timer.Millis) (chosen []int, asked int) {
		for self := range members {
			table := registrar.New(members[self].Node)
			for i := range members {
				table.Observe(lastSeen(i), members[i])
			}
			first, unheard := table.Deciding(now, members[self])
			if first {
				chosen = append(chosen, self)
				asked += len(unheard)
			}
		}
		return chosen, asked
	}
	heard := func(int) timer.Millis { return now }

	It("guards against none or several that decide, and against one that is not an elected reader", func() {
		members := fleet(60, func(i int, m *registrar.Member) { m.StoreUnreachable = i%2 == 0 })
		chosen, asked := deciding(members, heard)
		Expect(chosen).To(HaveLen(1))
		Expect(asked).To(BeZero())
		Expect(chosen[0]%2).To(Equal(1), "it does not reach the store")
		table := registrar.New(members[chosen[0]].Node)
		for i := range members {
			table.Observe(now, members[i])
		}
		Expect(table.Elected(now, members[chosen[0]])).To(BeTrue())
	})

	It("guards against a roll-out that stops with the deciding daemon", func() {
		members := fleet(20, func(int, *registrar.Member) {})
		first, _ := deciding(members, heard)
		next, asked := deciding(members, func(i int) timer.Millis {
			if i == first[0] {
				return timer.Second
			}
			return now
		})
		Expect(next).To(HaveLen(2)) // The killed one does not know that it is silent.
		Expect(asked).To(Equal(1))
	})

	It("guards against a decision while no daemon reaches the store", func() {
		chosen, _ := deciding(fleet(5, func(_ int, m *registrar.Member) { m.StoreUnreachable = true }), heard)
		Expect(chosen).To(BeEmpty())
	})

	It("guards against questions to the whole fleet", func() {
		table := registrar.New("vm-x")
		for _, m := range fleet(200, func(int, *registrar.Member) {}) {
			table.Learn(now, m)
		}
		_, unheard := table.Deciding(now, member("vm-x", 1000, 1))
		Expect(len(unheard)).To(BeNumerically("<=", 8))
	})
})
