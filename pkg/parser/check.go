package parser

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

// Bounds of a sheet: about four times the two-year target of 2,300 services
// and 29 failure domains.
const (
	maxServices        = 10_000
	maxFailureDomains  = 128
	maxInstanceClasses = 1000
)

// scope names the parts that differ from a sheet that has passed every rule. A
// nil scope means that every part must be checked.
type scope struct {
	globals  bool
	domains  map[string]bool
	classes  map[string]bool
	services map[string]bool
}

// Check adds a finding for each rule that the sheet breaks, in the order of its
// fields.
func (s *Sheet) Check(findings *reporter.Findings) { s.check(nil, findings) }

// check checks only what a change within the scope can have made invalid. If the
// rest was valid before, the findings equal those of a full check.
func (s *Sheet) check(changed *scope, findings *reporter.Findings) {
	if changed == nil || changed.globals {
		s.Globals.Check("", findings)
	}
	if changed == nil || len(changed.domains) > 0 {
		s.checkDomains(changed, findings)
	}
	if changed == nil || len(changed.classes) > 0 {
		s.checkClasses(changed, findings)
	}
	if changed == nil || len(changed.services) > 0 || len(changed.classes) > 0 {
		s.checkServices(changed, findings)
	}
}

func (s *Sheet) checkDomains(changed *scope, findings *reporter.Findings) {
	checkCount("failure_domains", len(s.FailureDomains), maxFailureDomains, findings)
	before := len(findings.List())
	for i, domain := range s.FailureDomains {
		if changed == nil || changed.domains[domain.key()] {
			domain.Check(fmt.Sprintf("failure_domains[%d]", i), findings)
		}
	}
	if changed == nil {
		checkUnique("failure_domains", s.FailureDomains, findings)
	}
	// Invalid windows would make the reported time misleading.
	if len(findings.List()) == before {
		s.checkAllOut(findings)
	}
}

// checkAllOut adds a finding with the first time at which every failure domain
// is out of service.
func (s *Sheet) checkAllOut(findings *reporter.Findings) {
	const place, reason = "failure_domains", "are all out of service at once, which leaves every service without capacity"
	if len(s.FailureDomains) == 0 {
		findings.Add(place, "", "is empty, which leaves every service without capacity")
		return
	}
	type event struct {
		time  Time
		delta int
	}
	var events []event
	for _, domain := range s.FailureDomains {
		for _, window := range domain.Out {
			events = append(events, event{window.From, 1})
			if !window.Open() {
				events = append(events, event{window.To, -1})
			}
		}
	}
	// Ends sort before starts, so adjacent windows do not count as overlapping.
	slices.SortFunc(events, func(a, b event) int {
		return cmp.Or(cmp.Compare(a.time, b.time), cmp.Compare(a.delta, b.delta))
	})
	out := 0
	for _, event := range events {
		out += event.delta
		if out == len(s.FailureDomains) {
			findings.Add(place, event.time, reason)
			return
		}
	}
}

func (s *Sheet) checkClasses(changed *scope, findings *reporter.Findings) {
	checkCount("instance_classes", len(s.InstanceClasses), maxInstanceClasses, findings)
	for i, class := range s.InstanceClasses {
		if changed == nil || changed.classes[class.key()] {
			class.Check(fmt.Sprintf("instance_classes[%d]", i), findings)
		}
	}
	if changed == nil {
		checkUnique("instance_classes", s.InstanceClasses, findings)
	}
}

func (s *Sheet) checkServices(changed *scope, findings *reporter.Findings) {
	checkCount("services", len(s.Services), maxServices, findings)
	classes := make(map[identifier.InstanceClass]*InstanceClass, len(s.InstanceClasses))
	for _, class := range s.InstanceClasses {
		classes[class.Name] = class
	}
	for _, i := range s.affectedServices(changed) {
		service := s.Services[i]
		place := fmt.Sprintf("services[%d]", i)
		if changed == nil || changed.services[service.key()] {
			service.Check(place, findings)
		}
		service.checkClass(place, classes[service.InstanceClass], findings)
	}
	if changed == nil {
		checkUnique("services", s.Services, findings)
	}
	s.checkRoutes("hosts", func(s *Service) []string { return s.Hosts }, changed, findings)
	s.checkRoutes("path_prefixes", func(s *Service) []string { return s.PathPrefixes }, changed, findings)
}

// affectedServices returns the indexes of services that changed or whose class
// changed, in ascending order.
func (s *Sheet) affectedServices(changed *scope) []int {
	var positions []int
	if changed != nil && len(changed.classes) == 0 {
		// A scope is only given for sheets whose lists are sorted.
		for name := range changed.services {
			if i, found := search(s.Services, name); found {
				positions = append(positions, i)
			}
		}
		slices.Sort(positions)
		return positions
	}
	for i, service := range s.Services {
		if changed == nil || changed.services[service.key()] || changed.classes[string(service.InstanceClass)] {
			positions = append(positions, i)
		}
	}
	return positions
}

// checkRoutes adds a finding for each host or path prefix that occurs twice,
// since a request must match one service. Only values of services in scope are
// compared.
func (s *Sheet) checkRoutes(field string, values func(*Service) []string, changed *scope, findings *reporter.Findings) {
	first := make(map[string]string)
	if changed != nil {
		for name := range changed.services {
			service, found := find(s.Services, name)
			if !found {
				continue
			}
			for _, value := range values(service) {
				first[value] = ""
			}
		}
		if len(first) == 0 {
			return
		}
	}
	for i, service := range s.Services {
		for j, value := range values(service) {
			seen, compared := first[value]
			if changed != nil && !compared {
				continue
			}
			place := fmt.Sprintf("services[%d].%s[%d]", i, field, j)
			if seen != "" {
				findings.Add(place, value, "repeats "+seen)
				continue
			}
			first[value] = place
		}
	}
}

func checkUnique[T keyed](place string, list []T, findings *reporter.Findings) {
	first := make(map[string]int, len(list))
	for i, item := range list {
		if j, seen := first[item.key()]; seen {
			findings.Add(fmt.Sprintf("%s[%d].name", place, i), item.key(), fmt.Sprintf("repeats %s[%d].name", place, j))
			continue
		}
		first[item.key()] = i
	}
}
