package parser

import (
	"slices"
	"strings"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

// Format is the version of the rules that this package applies. Daemons of two
// releases must accept and reject the same sheets, so the rules change only with
// a new version.
const Format = 1

// Sheet is one complete configuration. Lists are sorted by name in every sheet
// returned by Decode or Apply.
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

// MeasuringBudget bounds the messages and bytes that one daemon uses to measure
// load.
type MeasuringBudget struct {
	MessagesPerSecond int64 `json:"messages_per_second"`
	BytesPerSecond    int64 `json:"bytes_per_second"`
}

// Upper bounds of the measuring budget. They are above what any network needs
// and catch mistyped values.
const (
	maxMessagesPerSecond = 1_000_000
	maxBytesPerSecond    = 1 << 30
)

// Check adds a finding for each rule that the global sections break.
func (g Globals) Check(place string, findings *reporter.Findings) {
	if g.Format != Format {
		findings.Add(joinPlace(place, "format"), g.Format, "is not a known format")
	}
	checkName(joinPlace(place, "deployment"), g.Deployment, findings)
	budget := joinPlace(place, "measuring_budget")
	checkRange(joinPlace(budget, "messages_per_second"), g.MeasuringBudget.MessagesPerSecond, 1, maxMessagesPerSecond, findings)
	checkRange(joinPlace(budget, "bytes_per_second"), g.MeasuringBudget.BytesPerSecond, 1, maxBytesPerSecond, findings)
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
		var zero T
		return zero, false
	}
	return list[i], true
}
