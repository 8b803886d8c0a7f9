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
