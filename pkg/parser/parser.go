// Package parser defines the sheet (the configuration that operators publish),
// its rules, and the edits that turn one sheet into another.
//
// A sheet returned by Decode or Apply has passed every rule and must not be
// modified: sheets share the services, failure domains and instance classes
// that they have in common.
//
// # Usage
//
//	sheet, err := parser.Decode(data)
//	if err != nil {
//		return err // lists every finding with its place
//	}
//	edits := parser.Diff(current, sheet)
//	next, err := parser.Apply(current, edits)
package parser

import (
	"encoding/json"
	"errors"
	"slices"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/pkg/decoder"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

// Error is the class of errors of this package.
var Error = errs.Class("parser")

// InvalidError lists every finding of a rejected sheet or list of edits.
type InvalidError struct {
	Findings reporter.Findings
}

// Error lists the findings, one a line.
func (e *InvalidError) Error() string { return Error.Wrap(e.Findings.Err()).Error() }

// Unwrap returns the list of findings as an error of class reporter.Error.
func (e *InvalidError) Unwrap() error { return e.Findings.Err() }

// FindingsOf returns the findings that an error of this package lists, or nil.
func FindingsOf(err error) []reporter.Finding {
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return invalid.Findings.List()
	}
	return nil
}

func invalid(findings *reporter.Findings) error {
	if findings.Empty() {
		return nil
	}
	return &InvalidError{Findings: *findings}
}

// Decode reads a sheet from JSON and checks it. The error is an *InvalidError
// that lists all findings; a syntax error is one finding with line and column.
func Decode(data []byte) (*Sheet, error) {
	var findings reporter.Findings
	sheet := new(Sheet)
	// Places in findings refer to the order of the input, so the sheet is checked
	// before it is sorted.
	decoder.Decode(data, sheet, &findings, decoder.Options{Root: "sheet"}, sheet.Check)
	if err := invalid(&findings); err != nil {
		return nil, err
	}
	sheet.sort()
	sheet.self = sheet
	return sheet, nil
}

// Encode writes the canonical form of a sheet: compact JSON with lists sorted
// by name and times in UTC. Equal sheets have equal encodings.
func Encode(sheet *Sheet) ([]byte, error) {
	data, err := json.Marshal(sheet.canonical())
	return data, Error.Wrap(err)
}

// UnmarshalJSON decodes and checks the sheet as Decode does.
func (s *Sheet) UnmarshalJSON(data []byte) error {
	decoded, err := Decode(data)
	if err != nil {
		return err
	}
	*s = *decoded
	s.self = s
	return nil
}

func (s *Sheet) sort() {
	slices.SortStableFunc(s.FailureDomains, compareKeys)
	slices.SortStableFunc(s.InstanceClasses, compareKeys)
	slices.SortStableFunc(s.Services, compareKeys)
}

// canonical returns the sheet itself if it is known to be sorted, else a
// sorted copy.
func (s *Sheet) canonical() *Sheet {
	if s.checked() {
		return s
	}
	sorted := &Sheet{
		Globals:         s.Globals,
		FailureDomains:  slices.Clone(s.FailureDomains),
		InstanceClasses: slices.Clone(s.InstanceClasses),
		Services:        slices.Clone(s.Services),
	}
	sorted.sort()
	return sorted
}
