package scheduler_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/state/scheduler"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestScheduler(t *testing.T) {
	tester.RunSpecs(t, "scheduler")
}

const (
	noon = timer.Millis(1_798_804_800_000)
	ramp = 10 * timer.Second
)

func between(from, to timer.Millis) parser.Window {
	return parser.Window{From: parser.Time(from), To: parser.Time(to)}
}

func makeSheet(services int) *parser.Sheet {
	sheet := &parser.Sheet{
		FailureDomains: []*parser.FailureDomain{
			{Name: "d1", ReturnRamp: ramp, Out: []parser.Window{{From: parser.Time(noon + 3*timer.Hour)}, between(noon, noon+timer.Hour)}},
			{Name: "d2", ReturnRamp: ramp},
			{Name: "d3"},
		},
		InstanceClasses: []*parser.InstanceClass{{Name: "large", Slots: 20, Connections: 240, ColdLimit: 2, RampCompletions: 9}},
	}
	for i := range services {
		name := fmt.Sprintf("service-%04d", i)
		sheet.Services = append(sheet.Services, &parser.Service{
			Name: identifier.ServiceName(name), InstanceClass: "large", MaxInFlight: 18, MaxQueue: 40,
			Hosts: []string{name + ".local"}, PathPrefixes: []string{"/api/" + name, "/" + name + "/deep/"},
			LimitsByTime: []parser.TimedLimit{{Window: between(noon, noon+timer.Hour), MaxInFlight: 10}},
		})
	}
	return sheet
}

var _ = Describe("a schedule", func() {
	schedule := scheduler.New(makeSheet(2), map[identifier.FailureDomain]timer.Millis{"d2": noon})
	const hour, half = timer.Hour, 0.05 + 0.95/2
	cases := []struct {
		guards string
		domain identifier.FailureDomain
		wall   timer.Millis
		state  scheduler.DomainState
	}{
		{"treating an unknown failure domain as in service", "d9", noon, scheduler.DomainState{}},
		{"leaving early", "d1", noon - 1, scheduler.DomainState{Known: true, RampShare: 1}},
		{"leaving late", "d1", noon, scheduler.DomainState{Known: true, Out: true}},
		{"returning early", "d1", noon + hour - 1, scheduler.DomainState{Known: true, Out: true}},
		{"a full share at once", "d1", noon + hour, scheduler.DomainState{Known: true, RampShare: 0.05}},
		{"a ramp that is not linear", "d1", noon + hour + ramp/2, scheduler.DomainState{Known: true, RampShare: half}},
		{"a ramp without end", "d1", noon + hour + ramp, scheduler.DomainState{Known: true, RampShare: 1}},
		{"ending an open window", "d1", noon + 3000*hour, scheduler.DomainState{Known: true, Out: true}},
		{"no ramp after a return by a configuration change", "d2", noon + ramp/2, scheduler.DomainState{Known: true, RampShare: half}},
		{"a full share while the publisher's clock is ahead", "d2", noon - 1, scheduler.DomainState{Known: true, RampShare: 0.05}},
		{"a publisher's wrong clock that limits a failure domain", "d2", noon - ramp - 1, scheduler.DomainState{Known: true, RampShare: 1}},
		{"a ramp where none is set", "d3", noon, scheduler.DomainState{Known: true, RampShare: 1}},
	}
	for _, c := range cases {
		It("guards against "+c.guards, func() {
			state := schedule.Domain(c.wall, c.domain)
			Expect(state.RampShare).To(BeNumerically("~", c.state.RampShare, 1e-9))
			state.RampShare = c.state.RampShare
			Expect(state).To(Equal(c.state))
		})
	}
	It("guards against limits of another time window", func() {
		for wall, want := range map[timer.Millis]identifier.Slots{noon - 1: 18, noon: 10, noon + hour - 1: 10, noon + hour: 18} {
			limits, ok := schedule.Limits(wall, "service-0001")
			Expect(ok).To(BeTrue())
			Expect(limits.MaxInFlight).To(Equal(want))
			Expect(limits.ColdLimit).To(Equal(identifier.Slots(2)))
		}
		_, ok := schedule.Limits(noon, "unknown")
		Expect(ok).To(BeFalse())
	})
	It("guards against a crash before the first sheet", func() {
		empty := scheduler.New(nil, nil)
		_, ok := empty.NextChange(0)
		Expect(ok).To(BeFalse())
		_, ok = empty.Route("", "a", "/b")
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("a route", func() {
	schedule := scheduler.New(makeSheet(3), nil)
	cases := []struct{ guards, header, host, path, service string }{
		{"a host before the header", "service-0001", "service-0000.local", "/api/service-0002", "service-0001"},
		{"choosing another service for an unknown header", "unknown", "service-0000.local", "/api/service-0002", ""},
		{"a path before the host", "", "service-0000.local", "/api/service-0002", "service-0000"},
		{"a host not found because of its port or case", "", "Service-0000.LOCAL.:8080", "/", "service-0000"},
		{"a host that looks like an address", "", "[::1]:80", "/api/service-0002/x", "service-0002"},
		{"matching a prefix that ends within a segment", "", "x", "/api/service-00020", ""},
		{"matching a prefix without its final slash", "", "x", "/service-0001/deep", ""},
		{"not finding a prefix of several segments", "", "x", "/service-0001/deep/er/still", "service-0001"},
		{"matching an empty path", "", "", "", ""},
	}
	for _, c := range cases {
		It("guards against "+c.guards, func() {
			service, ok := schedule.Route(c.header, c.host, c.path)
			Expect(ok).To(Equal(c.service != ""))
			if ok {
				Expect(service.Name).To(Equal(identifier.ServiceName(c.service)))
			}
		})
	}
})
