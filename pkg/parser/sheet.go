package parser

import (
	"slices"
	"strings"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

// Format is the number of the rules that this package applies. Daemons of two
// releases must reach the same verdict, so rules change only with a new number.
const Format = 1

// Sheet is one complete configuration. Lists are sorted by name in every sheet
// that came from Decode or Apply.
type Sheet struct {
	Globals
	FailureDomains  []*FailureDomain `json:"failure_domains,omitempty"`
	InstanceClasses []*InstanceClass `json:"instance_classes,omitempty"`
	Services        []*Service       `json:"services,omitempty"`

	// self is the sheet's own address once it has passed the rules. A changed
	// copy has another address and is therefore checked in full again.
	self *Sheet
}

// Globals holds the parts of the sheet that apply to the whole deployment.
type Globals struct {
	Format          int             `json:"format"`
	Deployment      string          `json:"deployment"`
	MeasuringBudget MeasuringBudget `json:"measuring_budget"`
}

// MeasuringBudget bounds what one daemon spends on measuring load.
type MeasuringBudget struct {
	MessagesPerSecond int64 `json:"messages_per_second"`
	BytesPerSecond    int64 `json:"bytes_per_second"`
}

// Bounds of the measuring budget. The upper ones allow for any sane network
// and catch a slipped digit.
const (
	maxMessagesPerSecond = 1_000_000
	maxBytesPerSecond    = 1 << 30
)

// Check adds what is wrong with the global sections.
func (g Globals) Check(place string, findings *reporter.Findings) {
	if g.Format != Format {
		findings.Add(at(place, "format"), g.Format, "is not a known format")
	}
	checkName(at(place, "deployment"), g.Deployment, findings)
	budget := at(place, "measuring_budget")
	checkRange(at(budget, "messages_per_second"), g.MeasuringBudget.MessagesPerSecond, 1, maxMessagesPerSecond, findings)
	checkRange(at(budget, "bytes_per_second"), g.MeasuringBudget.BytesPerSecond, 1, maxBytesPerSecond, findings)
}

// Service looks a service up by name.
func (s *Sheet) Service(name identifier.ServiceName) (*Service, bool) {
	return find(s.Services, string(name))
}

// FailureDomain looks a failure domain up by name.
func (s *Sheet) FailureDomain(name identifier.FailureDomain) (*FailureDomain, bool) {
	return find(s.FailureDomains, string(name))
}

// Class looks an instance class up by name.
func (s *Sheet) Class(name identifier.InstanceClass) (*InstanceClass, bool) {
	return find(s.InstanceClasses, string(name))
}

func (s *Sheet) checked() bool { return s.self == s }

// keyed is a part of the sheet that is identified by name.
type keyed interface {
	comparable
	key() string
}

func compareKeys[T keyed](a, b T) int { return strings.Compare(a.key(), b.key()) }

// search returns the position of a name in a sorted list.
func search[T keyed](list []T, name string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(item T, name string) int {
		return strings.Compare(item.key(), name)
	})
}

func find[T keyed](list []T, name string) (T, bool) {
	i, found := search(list, name)
	if !found {
		var none T
		return none, false
	}
	return list[i], true
}
