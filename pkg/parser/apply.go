package parser

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

// operation sets or removes one item of a list.
type operation[T keyed] struct {
	name   string
	item   T
	remove bool
}

// plan groups edits by the part of the sheet that they change.
type plan struct {
	globals  *Globals
	domains  []operation[*FailureDomain]
	classes  []operation[*InstanceClass]
	services []operation[*Service]
}

// Apply returns the sheet that results from all edits together, or an
// *InvalidError if it breaks a rule. A nil sheet is empty. The result shares
// unchanged parts with the given sheet, which is not modified. If the given sheet
// has passed the rules before, only what the edits can affect is checked.
func Apply(sheet *Sheet, edits Edits) (*Sheet, error) {
	base := orEmpty(sheet)
	if len(edits) == 0 && base.checked() {
		return base, nil
	}
	var findings reporter.Findings
	changes := collect(base.canonical(), edits, &findings)
	if err := invalid(&findings); err != nil {
		return nil, err
	}
	next := changes.apply(base.canonical())
	if base.checked() {
		next.check(changes.scope(), &findings)
	} else {
		next.Check(&findings)
	}
	if err := invalid(&findings); err != nil {
		return nil, err
	}
	next.self = next
	return next, nil
}

// collect builds a plan from the edits. It adds a finding for each edit that
// repeats the target of another or removes a part that the sheet does not have.
func collect(base *Sheet, edits Edits, findings *reporter.Findings) plan {
	var p plan
	first := make(map[target]int, len(edits))
	for i, edit := range edits {
		place := fmt.Sprintf("edits[%d]", i)
		if j, seen := first[edit.target()]; seen {
			findings.Add(place, edit.target(), fmt.Sprintf("repeats the target of edits[%d]", j))
			continue
		}
		first[edit.target()] = i
		exists := true
		switch e := edit.(type) {
		case SetGlobals:
			p.globals = &e.Globals
		case SetFailureDomain:
			p.domains = append(p.domains, operation[*FailureDomain]{name: e.FailureDomain.key(), item: e.FailureDomain})
		case RemoveFailureDomain:
			p.domains = append(p.domains, operation[*FailureDomain]{name: string(e.Name), remove: true})
			_, exists = base.FailureDomain(e.Name)
		case SetInstanceClass:
			p.classes = append(p.classes, operation[*InstanceClass]{name: e.InstanceClass.key(), item: e.InstanceClass})
		case RemoveInstanceClass:
			p.classes = append(p.classes, operation[*InstanceClass]{name: string(e.Name), remove: true})
			_, exists = base.Class(e.Name)
		case SetService:
			p.services = append(p.services, operation[*Service]{name: e.Service.key(), item: e.Service})
		case RemoveService:
			p.services = append(p.services, operation[*Service]{name: string(e.Name), remove: true})
			_, exists = base.Service(e.Name)
		}
		if !exists {
			findings.Add(joinPlace(place, "name"), edit.target().name, fmt.Sprintf("is not a known %s", edit.target().part))
		}
	}
	return p
}

func (p plan) apply(base *Sheet) *Sheet {
	next := &Sheet{
		Globals:         base.Globals,
		FailureDomains:  merge(base.FailureDomains, p.domains),
		InstanceClasses: merge(base.InstanceClasses, p.classes),
		Services:        merge(base.Services, p.services),
	}
	if p.globals != nil {
		next.Globals = *p.globals
	}
	return next
}

func (p plan) scope() *scope {
	return &scope{
		globals:  p.globals != nil,
		domains:  names(p.domains),
		classes:  names(p.classes),
		services: names(p.services),
	}
}

func names[T keyed](operations []operation[T]) map[string]bool {
	set := make(map[string]bool, len(operations))
	for _, operation := range operations {
		set[operation.name] = true
	}
	return set
}

// merge returns a copy of a sorted list with the operations applied, still
// sorted. Without operations it returns the list itself.
func merge[T keyed](list []T, operations []operation[T]) []T {
	if len(operations) == 0 {
		return list
	}
	operations = slices.SortedFunc(slices.Values(operations), func(a, b operation[T]) int {
		return cmp.Compare(a.name, b.name)
	})
	merged := make([]T, 0, len(list)+len(operations))
	for _, operation := range operations {
		position, found := search(list, operation.name)
		merged = append(merged, list[:position]...)
		if !operation.remove {
			merged = append(merged, operation.item)
		}
		if found {
			position++
		}
		list = list[position:]
	}
	merged = append(merged, list...)
	if len(merged) == 0 {
		return nil
	}
	return merged
}
