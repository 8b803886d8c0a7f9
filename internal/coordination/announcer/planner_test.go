package announcer_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/announcer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// drive wakes a planner every 10 ms and returns the actions other than Sleep. It
// reports a result for each Append and Forward.
func drive(p *announcer.Planner, now, span timer.Millis, status announcer.MembershipStatus, accepted bool) []announcer.Action {
	var taken []announcer.Action
	for end := now + span; now < end; now += 10 {
		for _, action := range p.Step(now, announcer.Wakeup{Status: status}) {
			switch action.(type) {
			case announcer.Append:
				p.Step(now, announcer.Appended{Succeeded: true})
			case announcer.Forward:
				p.Step(now, announcer.Forwarded{Accepted: accepted})
			case announcer.Sleep:
				continue
			}
			taken = append(taken, action)
		}
	}
	return taken
}

var _ = Describe("the planner", func() {
	var p *announcer.Planner
	reader := announcer.MembershipStatus{Reader: true, Present: true, Members: 9}
	follower := announcer.MembershipStatus{Readers: []identifier.Address{"10.0.0.1:1", "10.0.0.2:1"}, Members: 9}
	BeforeEach(func() { p = announcer.NewPlanner(1000, retention, rand.New(rand.NewPCG(1, 1))) })

	join := tracker.Join{Member: member(7)}
	newer := tracker.Join{Member: member(7)}
	newer.Revision = 1
	leave := tracker.Leave{Instance: "i-7", Incarnation: 1}
	renew := tracker.Renew{Instance: "i-7", Incarnation: 1}
	orders := []struct {
		name          string
		first, second tracker.Record
	}{
		{"a join that a late renewal replaces in a batch", join, renew},
		{"a leave that a late join replaces in a batch", leave, join},
		{"an announcement that an older one replaces in a batch", newer, join},
	}
	for _, c := range orders {
		It("guards against "+c.name, func() {
			p.Step(1000, announcer.Received{Records: []tracker.Record{c.first, c.second}})
			Expect(drive(p, 1000, 200, reader, true)).To(ConsistOf(announcer.Append{Records: []tracker.Record{c.first}}))
		})
	}

	It("guards against appends that grow with the number of announcements", func() {
		appends := 0
		for now := timer.Millis(1000); now < 11_000; now += 10 {
			p.Step(now, announcer.Received{Records: []tracker.Record{tracker.Renew{Instance: member(int(now)).Instance, Incarnation: 1}}})
			appends += len(drive(p, now, 10, reader, true))
		}
		Expect(appends).To(And(BeNumerically(">", 90), BeNumerically("<=", 106)))
	})

	It("guards against a record that is lost with the reader that accepted it", func() {
		p.Step(1000, announcer.Announced{Member: member(7)})
		peers := map[identifier.Address]bool{}
		for _, action := range drive(p, 1000, 6*timer.Second, follower, true) {
			peers[action.(announcer.Forward).Peer] = true
		}
		Expect(peers).To(HaveLen(2))
	})

	It("guards against a daemon that is missing in the table and does not join again", func() {
		p.Step(1000, announcer.Announced{Member: member(7)})
		Expect(drive(p, 1000, timer.Second, reader, true)).To(BeEmpty(), "the table contains the daemon")
		missing := reader
		missing.Present = false
		Expect(drive(p, 2000, 20*timer.Second, missing, true)).To(ConsistOf(announcer.Append{Records: []tracker.Record{join}}))
	})

	It("guards against a daemon that appends while a reader answers", func() {
		p.Step(1000, announcer.Announced{Member: member(7)})
		for _, action := range drive(p, 1000, timer.Minute, follower, true) {
			Expect(action).To(BeAssignableToTypeOf(announcer.Forward{}))
		}
	})

	It("guards against a daemon that gives up when no reader answers", func() {
		p.Step(1000, announcer.Announced{Member: member(7)})
		Expect(drive(p, 1000, 2*timer.Second, follower, false)).To(ContainElement(announcer.Append{Records: []tracker.Record{join}}))
	})
})
