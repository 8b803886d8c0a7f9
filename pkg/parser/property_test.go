package parser_test

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

func mustEncode(t rapid.TB, sheet *parser.Sheet) []byte {
	data, err := parser.Encode(sheet)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against edits that lose or add a difference, also when encoded as JSON,
// and against copies of parts that did not change.
func TestApplyDiff(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		a, err := parser.Apply(nil, parser.Diff(nil, drawValid(t, "a")))
		if err != nil {
			t.Fatal(err)
		}
		before := mustEncode(t, a)
		b := drawValid(t, "b")
		data, err := json.Marshal(parser.Diff(a, b))
		if err != nil {
			t.Fatal(err)
		}
		var edits parser.Edits
		if err := json.Unmarshal(data, &edits); err != nil {
			t.Fatal(err)
		}
		applied, err := parser.Apply(a, edits)
		if err != nil {
			t.Fatal(err)
		}
		if want, got := mustEncode(t, b), mustEncode(t, applied); !bytes.Equal(want, got) {
			t.Fatalf("want %s\ngot %s", want, got)
		}
		if !bytes.Equal(before, mustEncode(t, a)) {
			t.Fatal("Apply changed the sheet that it was given")
		}
		if rest := parser.Diff(applied, b); len(rest) != 0 {
			t.Fatalf("the result still differs by %v", rest)
		}
		for _, service := range applied.Services {
			if old, ok := a.Service(service.Name); ok && reflect.DeepEqual(old, service) && old != service {
				t.Fatalf("unchanged service %s was copied", service.Name)
			}
		}
	})
}

// Guards against a partial check that misses parts made invalid by a change
// elsewhere, such as a service whose class now has fewer slots.
func TestApplyChecksAsMuchAsAFullCheck(t *testing.T) {
	rejected := 0
	tester.Check(t, func(t *rapid.T) {
		a, err := parser.Apply(nil, parser.Diff(nil, drawValid(t, "a")))
		if err != nil {
			t.Fatal(err)
		}
		b := drawSheet(t)
		// Unchanged services must remain valid when other parts change.
		b.Services = slices.DeleteFunc(b.Services, func(s *parser.Service) bool { return rapid.Bool().Draw(t, "drop") })
		for _, service := range a.Services {
			kept := func(s *parser.Service) bool { return s.Name == service.Name }
			if i := slices.IndexFunc(b.Services, kept); i < 0 {
				b.Services = append(b.Services, service)
			} else if rapid.Bool().Draw(t, "keep") {
				b.Services[i] = service
			}
		}
		slices.SortFunc(b.Services, func(a, b *parser.Service) int { return cmp.Compare(a.Name, b.Name) })
		var want reporter.Findings
		b.Check(&want)
		_, err = parser.Apply(a, parser.Diff(a, b))
		if fmt.Sprint(want.List()) != fmt.Sprint(parser.FindingsOf(err)) {
			t.Fatalf("full check: %v\nafter Apply: %v", want.List(), err)
		}
		if err != nil {
			rejected++
		}
	})
	if rejected == 0 {
		t.Fatal("no sheet was rejected")
	}
}

// Guards against an encoding that depends on the order of the input or that does
// not decode to the same sheet.
func TestEncodeIsCanonical(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		sheet := drawValid(t, "sheet")
		data := mustEncode(t, sheet)
		sheet.Services = rapid.Permutation(sheet.Services).Draw(t, "services")
		sheet.FailureDomains = rapid.Permutation(sheet.FailureDomains).Draw(t, "domains")
		shuffled, err := json.Marshal(sheet)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := parser.Decode(shuffled)
		if err != nil {
			t.Fatal(err)
		}
		if again := mustEncode(t, decoded); !bytes.Equal(data, again) {
			t.Fatalf("want %s\ngot %s", data, again)
		}
		for _, service := range sheet.Services {
			if found, ok := decoded.Service(service.Name); !ok || !reflect.DeepEqual(found, service) {
				t.Fatalf("service %s was not found", service.Name)
			}
		}
	})
}

// Guards against a modified copy of a valid sheet that is not checked again.
func TestApplyToAChangedCopy(t *testing.T) {
	valid, err := parser.Apply(nil, parser.Diff(nil, makeSheet(3, 2)))
	if err != nil {
		t.Fatal(err)
	}
	changed := *valid
	changed.InstanceClasses = nil
	if _, err := parser.Apply(&changed, parser.Edits{parser.RemoveService{Name: "service-0000"}}); err == nil {
		t.Fatal("a service without class was accepted")
	}
}

// Guards against input that crashes the decoder, and against an accepted sheet
// that changes when it is encoded and decoded.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(example))
	f.Add([]byte(`{"services": [{}, null, 1], "format": "x"}`))
	f.Add([]byte(`{"failure_domains": [{"out": [{"from": "1970-01-01T00:00:00Z"}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		sheet, err := parser.Decode(data)
		if err != nil {
			if len(parser.FindingsOf(err)) == 0 {
				t.Fatalf("error without findings: %v", err)
			}
			return
		}
		encoded := mustEncode(t, sheet)
		again, err := parser.Decode(encoded)
		if err != nil || !bytes.Equal(encoded, mustEncode(t, again)) {
			t.Fatalf("%s changes when decoded and encoded: %v", encoded, err)
		}
	})
}

var sizes = []int{100, 700, 2300}

func BenchmarkDecode(b *testing.B) {
	for _, size := range sizes {
		data := mustEncode(b, makeSheet(size, 29))
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				if _, err := parser.Decode(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
