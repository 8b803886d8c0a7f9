package parser

import (
	"reflect"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// Diff returns the edits that turn one sheet into another: globals, then failure
// domains, instance classes and services, each sorted by name. A nil sheet is
// empty.
func Diff(from, to *Sheet) Edits {
	from, to = orEmpty(from).canonical(), orEmpty(to).canonical()
	var edits Edits
	if from.Globals != to.Globals {
		edits = append(edits, SetGlobals{to.Globals})
	}
	edits = diffLists(edits, from.FailureDomains, to.FailureDomains,
		func(d *FailureDomain) Edit { return SetFailureDomain{d} },
		func(name string) Edit { return RemoveFailureDomain{identifier.FailureDomain(name)} })
	edits = diffLists(edits, from.InstanceClasses, to.InstanceClasses,
		func(c *InstanceClass) Edit { return SetInstanceClass{c} },
		func(name string) Edit { return RemoveInstanceClass{identifier.InstanceClass(name)} })
	return diffLists(edits, from.Services, to.Services,
		func(s *Service) Edit { return SetService{s} },
		func(name string) Edit { return RemoveService{identifier.ServiceName(name)} })
}

func orEmpty(sheet *Sheet) *Sheet {
	if sheet == nil {
		return new(Sheet)
	}
	return sheet
}

// diffLists appends the edits that turn one sorted list into another. Items that
// both lists share by pointer need no deep comparison, which makes the common
// case of few changes cheap.
func diffLists[T keyed](edits Edits, from, to []T, set func(T) Edit, remove func(string) Edit) Edits {
	i, j := 0, 0
	for i < len(from) || j < len(to) {
		switch {
		case j == len(to) || i < len(from) && from[i].key() < to[j].key():
			edits = append(edits, remove(from[i].key()))
			i++
		case i == len(from) || to[j].key() < from[i].key():
			edits = append(edits, set(to[j]))
			j++
		default:
			if from[i] != to[j] && !reflect.DeepEqual(from[i], to[j]) {
				edits = append(edits, set(to[j]))
			}
			i++
			j++
		}
	}
	return edits
}
