package parser_test

import (
	"fmt"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const noon = parser.Time(1_798_804_800_000)

func makeClass(name string, slots identifier.Slots) *parser.InstanceClass {
	return &parser.InstanceClass{Name: identifier.InstanceClass(name), Slots: slots, Connections: 240, ColdLimit: 1, RampCompletions: 20}
}

func makeService(name, class string) *parser.Service {
	return &parser.Service{
		Name: identifier.ServiceName(name), Hosts: []string{name + ".local"}, PathPrefixes: []string{"/" + name + "/"},
		InstanceClass: identifier.InstanceClass(class), ExpectedLoad: 400, MaxInFlight: 4, MaxQueue: 40,
		DefaultTimeout: 2000, MaxTimeout: 10_000,
		LimitsByTime:       []parser.TimedLimit{{Window: parser.Window{From: noon, To: noon + 3_600_000}, MaxInFlight: 2}},
		RetryBudgetPercent: 10, HedgePercent: 5,
		IdempotentRules:     []parser.Rule{{Method: "GET", PathPrefix: "/"}},
		KeyRequiredRules:    []parser.Rule{{Method: "POST", PathPrefix: "/" + name + "/orders"}},
		DeduplicationWindow: 600_000, Quarantine: 300_000,
	}
}

// makeSheet builds an unchecked sheet of a given size.
func makeSheet(services, domains int) *parser.Sheet {
	sheet := &parser.Sheet{Globals: parser.Globals{
		Format: 1, Deployment: "test", MeasuringBudget: parser.MeasuringBudget{MessagesPerSecond: 200, BytesPerSecond: 16_384},
	}}
	for i := range domains {
		domain := &parser.FailureDomain{Name: identifier.FailureDomain(fmt.Sprintf("domain-%02d", i)), Region: "east", ReturnRamp: 10_000}
		start := noon + parser.Time(i)*parser.Time(timer.Hour)
		domain.Out = []parser.Window{{From: start, To: start + parser.Time(timer.Hour)}}
		sheet.FailureDomains = append(sheet.FailureDomains, domain)
	}
	sheet.InstanceClasses = []*parser.InstanceClass{makeClass("large", 20), makeClass("small", 4)}
	for i := range services {
		sheet.Services = append(sheet.Services, makeService(fmt.Sprintf("service-%04d", i), "large"))
	}
	return sheet
}

// drawSheet draws an unchecked sheet that is often invalid. It uses few names, so
// that sheets share parts and conflict.
func drawSheet(t *rapid.T) *parser.Sheet {
	sheet := makeSheet(0, 0)
	sheet.MeasuringBudget.MessagesPerSecond = rapid.Int64Range(0, 3).Draw(t, "messages")
	sheet.InstanceClasses = nil
	for _, name := range subset(t, "c1", "c2", "c3") {
		sheet.InstanceClasses = append(sheet.InstanceClasses, makeClass(name, rapid.SampledFrom([]identifier.Slots{1, 3, 4, 9}).Draw(t, "slots")))
	}
	for _, name := range subset(t, "d1", "d2", "d3") {
		domain := &parser.FailureDomain{Name: identifier.FailureDomain(name), Region: "east"}
		for range rapid.IntRange(0, 2).Draw(t, "windows") {
			from := noon + parser.Time(rapid.IntRange(0, 5).Draw(t, "from"))
			window := parser.Window{From: from, To: from + parser.Time(rapid.IntRange(0, 3).Draw(t, "length"))}
			if rapid.Bool().Draw(t, "open") {
				window.To = 0
			}
			domain.Out = append(domain.Out, window)
		}
		sheet.FailureDomains = append(sheet.FailureDomains, domain)
	}
	for _, name := range subset(t, "s1", "s2", "s3", "s4") {
		service := makeService(name, rapid.SampledFrom([]string{"c1", "c2", "c3"}).Draw(t, "class"))
		service.MaxInFlight = identifier.Slots(rapid.IntRange(1, 4).Draw(t, "limit"))
		if rapid.IntRange(0, 3).Draw(t, "collide") == 0 {
			service.Hosts = append(service.Hosts, rapid.SampledFrom([]string{"s1.local", "s2.local", "shared.local"}).Draw(t, "host"))
		}
		sheet.Services = append(sheet.Services, service)
	}
	return sheet
}

// drawValid draws a valid sheet: it leaves out the parts that break a rule.
func drawValid(t *rapid.T, label string) *parser.Sheet {
	base := makeSheet(0, 1)
	base.FailureDomains[0].Out = nil
	valid, err := parser.Apply(nil, parser.Diff(nil, base))
	if err != nil {
		t.Fatal(err)
	}
	for _, edit := range parser.Diff(valid, rapid.Custom(drawSheet).Draw(t, label)) {
		if next, err := parser.Apply(valid, parser.Edits{edit}); err == nil {
			valid = next
		}
	}
	drawn := *valid
	return &drawn
}

func subset(t *rapid.T, names ...string) []string {
	var chosen []string
	for _, name := range names {
		if rapid.IntRange(0, 3).Draw(t, name) > 0 {
			chosen = append(chosen, name)
		}
	}
	return chosen
}
