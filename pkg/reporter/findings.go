// Package reporter collects problems found in input and reports them together.
//
// Each finding names the place (a path such as services[2].max_in_flight), the
// value that was found and the reason it was rejected.
//
// # Usage
//
//	var findings reporter.Findings
//	findings.Add("services[0].name", name, "is empty")
//	if err := findings.Err(); err != nil {
//		return err
//	}
package reporter

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors that list findings.
var Error = errs.Class("findings")

// Finding is one problem with its place, the value found there and the reason.
type Finding struct {
	Place  string `json:"place"`
	Value  string `json:"value"`
	Reason string `json:"reason"`
}

// String formats the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s (found %q)", f.Place, f.Reason, f.Value)
}

// Findings is a list of problems in the order they were found. The zero value
// is ready for use.
type Findings struct {
	list []Finding
}

// Add records a problem. The value is formatted with %v.
func (f *Findings) Add(place string, value any, reason string) {
	f.list = append(f.list, Finding{Place: place, Value: fmt.Sprint(value), Reason: reason})
}

// Append records problems found elsewhere.
func (f *Findings) Append(findings ...Finding) { f.list = append(f.list, findings...) }

// List returns the findings in the order they were found.
func (f *Findings) List() []Finding { return f.list }

// Empty reports whether nothing was found.
func (f *Findings) Empty() bool { return len(f.list) == 0 }

// Err returns nil if nothing was found, else one error that lists every finding.
func (f *Findings) Err() error {
	if f.Empty() {
		return nil
	}
	lines := make([]string, 0, len(f.list))
	for _, finding := range f.list {
		lines = append(lines, finding.String())
	}
	return Error.New("%d found:\n%s", len(f.list), strings.Join(lines, "\n"))
}
