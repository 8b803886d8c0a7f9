package registrar_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/verifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

var _ = Describe("the order of readers", func() {
	node := func(i int) identifier.InstanceID { return identifier.InstanceID(fmt.Sprintf("vm-%d", i)) }
	// places returns the places of the members of a fleet. Lost members are silent; cut
	// members report that they cannot reach the store.
	places := func(count int, cut, lost func(int) bool) map[int]verifier.Place {
		found := map[int]verifier.Place{}
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
			found[self] = table.Place(10*timer.Second, own)
		}
		return found
	}
	none := func(int) bool { return false }
	all := func(int) bool { return true }

	cases := []struct {
		name      string
		count     int
		cut, lost func(int) bool
		running   int
	}{
		{"a single daemon", 1, none, none, 1},
		{"a small fleet", 4, none, none, 4},
		{"a large fleet", 100, none, none, 100},
		{"lost members", 100, none, func(i int) bool { return i%2 == 0 }, 50},
		{"members that cannot reach the store", 100, func(i int) bool { return i%3 > 0 }, none, 100},
		{"no member reaches the store", 100, all, none, 100},
	}
	for _, c := range cases {
		It("guards against a fleet without a first reader, and against two with the same rank: "+c.name, func() {
			found := places(c.count, c.cut, c.lost)
			Expect(found).To(HaveLen(c.running))
			byRank := map[int]int{}
			for i, place := range found {
				Expect(place.Candidates).To(Equal(c.running))
				byRank[place.Rank] = i
			}
			Expect(byRank).To(HaveLen(c.running))
			connected := 0
			for rank := range c.running {
				if !c.cut(byRank[rank]) {
					Expect(connected).To(Equal(rank), "a member that cannot reach the store is before one that does")
					connected++
				}
			}
		})
	}

	It("guards against first ranks that are all in one failure domain", func() {
		domains := []string{"atl-a", "atl-b", "atl-c", "zone-aalborg", "zone-aarhus"}
		for _, kind := range []string{"sidecar-%s-%d", "%s-vm%d"} {
			firsts := map[string]int{}
			for fleet := range 200 {
				best, first := "", ""
				for _, domain := range domains {
					for i := range 4 {
						name := fmt.Sprintf(kind, domain, 4*fleet+i)
						table := registrar.New(identifier.InstanceID(name))
						table.Observe(10*timer.Second, member(identifier.InstanceID(best), 1, 1))
						if best == "" || table.Place(10*timer.Second, member(identifier.InstanceID(name), 1, 1)).Rank == 0 {
							best, first = name, domain
						}
					}
				}
				firsts[first]++
			}
			Expect(firsts).To(HaveLen(len(domains)))
			for domain, count := range firsts {
				Expect(count).To(BeNumerically("<=", 70), "of 200 fleets: "+domain)
			}
		}
	})
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

	It("guards against none or several that decide, and against one that is not the first reader", func() {
		members := fleet(60, func(i int, m *registrar.Member) { m.StoreUnreachable = i%2 == 0 })
		chosen, asked := deciding(members, heard)
		Expect(chosen).To(HaveLen(1))
		Expect(asked).To(BeZero())
		Expect(chosen[0]%2).To(Equal(1), "it does not reach the store")
		table := registrar.New(members[chosen[0]].Node)
		for i := range members {
			table.Observe(now, members[i])
		}
		Expect(table.Place(now, members[chosen[0]]).Rank).To(BeZero())
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
