package parser_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

func TestParser(t *testing.T) {
	tester.RunSpecs(t, "parser")
}

// example is the sample sheet of the design document, with windows filled in.
const example = `{
  "format": 1,
  "deployment": "rampevaerk",
  "measuring_budget": {"messages_per_second": 200, "bytes_per_second": 16384},
  "failure_domains": [
    {"name": "aarhus", "region": "jutland", "out": [{"from": "2026-12-31T14:00:00+01:00", "to": "2026-12-31T16:00:00+01:00"}], "return_ramp_ms": 10000},
    {"name": "aalborg", "region": "jutland", "return_ramp_ms": 10000}],
  "instance_classes": [{"name": "standard", "slots": 20, "connections": 240, "cold_limit": 2, "ramp_completions": 20}],
  "services": [{
    "name": "materials", "hosts": ["materials.local"], "path_prefixes": ["/materials/"],
    "instance_class": "standard", "expected_load_per_second": 400,
    "max_in_flight": 18, "max_queue": 40, "default_timeout_ms": 2000, "max_timeout_ms": 10000,
    "limits_by_time": [{"from": "2026-12-31T08:00:00Z", "to": "2026-12-31T09:00:00Z", "max_in_flight": 10}],
    "retry_budget_percent": 10, "hedge_percent": 5, "idempotent": [{"method": "GET", "path_prefix": "/"}],
    "key_required": [{"method": "POST", "path_prefix": "/materials/orders"}],
    "deduplication_window_ms": 600000, "quarantine_ms": 300000
  }]
}`

func places(err error) []string {
	var list []string
	for _, finding := range parser.FindingsOf(err) {
		list = append(list, finding.Place)
	}
	return list
}

var _ = Describe("an invalid sheet", func() {
	copied := func(text, name string) string {
		start := strings.Index(text, `{
    "name": "materials"`)
		return text[:start] + strings.Replace(text[start:strings.LastIndex(text, "]")], "materials", name, 1) + "," + text[start:]
	}
	cases := []struct{ guards, old, replacement, place string }{
		{"an unknown field", `"max_queue"`, `"max_line": 1, "max_queue"`, "services[0].max_line"},
		{"a field in another case", `"max_queue"`, `"Max_Queue": 1, "max_queue"`, "services[0].Max_Queue"},
		{"a field given twice", `"max_queue"`, `"max_queue": 1, "max_queue"`, "services[0].max_queue"},
		{"a number as text", `"max_in_flight": 18`, `"max_in_flight": "18"`, "services[0].max_in_flight"},
		{"a fraction", `"max_in_flight": 18`, `"max_in_flight": 1.5`, "services[0].max_in_flight"},
		{"a number beyond its type", `"slots": 20`, `"slots": 99999999999`, "instance_classes[0].slots"},
		{"a null list", `"hosts": ["materials.local"]`, `"hosts": null`, "services[0].hosts"},
		{"a null item", `"hosts": ["materials.local"]`, `"hosts": [null]`, "services[0].hosts[0]"},
		{"another format", `"format": 1`, `"format": 2`, "format"},
		{"an empty deployment name", `"deployment": "rampevaerk"`, `"deployment": ""`, "deployment"},
		{"a line break in a name", `"region": "jutland", "out"`, `"region": "a\nb", "out"`, "failure_domains[0].region"},
		{"a measuring budget of zero", `"messages_per_second": 200`, `"messages_per_second": 0`, "measuring_budget.messages_per_second"},
		{"a reversed window", `T16:00:00+01:00`, `T13:00:00+01:00`, "failure_domains[0].out[0].to"},
		{"an empty window", `T16:00:00+01:00`, `T14:00:00+01:00`, "failure_domains[0].out[0].to"},
		{"a time that is not RFC 3339", `2026-12-31T16:00:00+01:00`, `16:00`, "failure_domains[0].out[0].to"},
		{
			"overlapping windows", `"out": [`,
			`"out": [{"from": "2026-12-31T14:30:00Z", "to": "2026-12-31T15:30:00Z"}, `, "failure_domains[0].out[0]",
		},
		{"all failure domains out at once", `{"name": "aalborg", `, `{"name": "aalborg", "out": [{"from": "2026-12-31T13:59:00Z"}], `, "failure_domains"},
		{"a repeated failure domain", `"aalborg"`, `"aarhus"`, "failure_domains[1].name"},
		{"a cold limit over the slots", `"cold_limit": 2`, `"cold_limit": 21`, "instance_classes[0].cold_limit"},
		{"an unknown class", `"instance_class": "standard"`, `"instance_class": "huge"`, "services[0].instance_class"},
		{"a limit over the slots", `"max_in_flight": 18`, `"max_in_flight": 21`, "services[0].max_in_flight"},
		{"a timed limit over the slots", `"max_in_flight": 10`, `"max_in_flight": 21`, "services[0].limits_by_time[0].max_in_flight"},
		{"a timed limit of zero", `"max_in_flight": 10`, `"max_in_flight": 0`, "services[0].limits_by_time[0].max_in_flight"},
		{"a timed limit without end", `, "to": "2026-12-31T09:00:00Z"`, ``, "services[0].limits_by_time[0].to"},
		{"a default timeout over the maximum", `"default_timeout_ms": 2000`, `"default_timeout_ms": 20000`, "services[0].default_timeout_ms"},
		{"an unknown method", `"method": "GET"`, `"method": "get"`, "services[0].idempotent[0].method"},
		{"a relative path", `"path_prefix": "/"`, `"path_prefix": "x"`, "services[0].idempotent[0].path_prefix"},
		{"a path that never matches", `["/materials/"]`, `["/a//b"]`, "services[0].path_prefixes[0]"},
		{"key rules without a deduplication window", `"deduplication_window_ms": 600000`, `"deduplication_window_ms": 0`, "services[0].deduplication_window_ms"},
		{"a host with a port", `["materials.local"]`, `["materials.local:80"]`, "services[0].hosts[0]"},
	}
	for _, c := range cases {
		It("guards against "+c.guards, func() {
			Expect(strings.Count(example, c.old)).To(Equal(1))
			_, err := parser.Decode([]byte(strings.Replace(example, c.old, c.replacement, 1)))
			Expect(places(err)).To(Equal([]string{c.place}), "%v", err)
		})
	}
	It("guards against two services for one host or path", func() {
		_, err := parser.Decode([]byte(copied(example, "offers")))
		Expect(places(err)).To(Equal([]string{"services[1].hosts[0]", "services[1].path_prefixes[0]"}))
		_, err = parser.Decode([]byte(copied(example, "materials")))
		Expect(places(err)).To(ContainElement("services[1].name"))
	})
	It("guards against stopping at the first finding", func() {
		text := strings.Replace(example, `"slots": 20`, `"slots": "x", "extra": {"a": [1]}`, 1)
		text = strings.Replace(text, `"max_queue": 40`, `"max_queue": -1`, 1)
		_, err := parser.Decode([]byte(text))
		Expect(places(err)).To(ContainElements("instance_classes[0].slots", "instance_classes[0].extra", "services[0].max_queue"))
		Expect(err.Error()).To(ContainSubstring(`services[0].max_queue: is not between 0 and 10000 (found "-1")`))
	})
	It("guards against a syntax error without line and column", func() {
		for text, place := range map[string]string{
			"{\n  \"format\": 1,,\n}": "line 2, column 15", "{": "line 1, column 2", "": "line 1, column 1", "{} x": "line 1, column 4",
			"{\"a\xff\"}": "line 1, column 4",
		} {
			_, err := parser.Decode([]byte(text))
			Expect(places(err)).To(Equal([]string{place}), text)
		}
	})
})

var _ = Describe("request rules", func() {
	cases := []struct {
		method, path            string
		idempotent, keyRequired bool
	}{
		{"GET", "/materials/7", true, false},
		{"HEAD", "/materials/7", false, false},
		{"POST", "/materials/orders", false, true},
		{"POST", "/materials/orders/7", false, true},
		{"POST", "/materials/orders-old", false, false},
		{"PUT", "/materials/orders", false, false},
		{"GET", "", false, false},
	}
	for _, c := range cases {
		It(fmt.Sprintf("guards against a wrong match of the rules for %s %s", c.method, c.path), func() {
			sheet, err := parser.Decode([]byte(example))
			Expect(err).NotTo(HaveOccurred())
			service, ok := sheet.Service("materials")
			Expect(ok).To(BeTrue())
			Expect(service.Idempotent(c.method, c.path)).To(Equal(c.idempotent))
			Expect(service.KeyRequired(c.method, c.path)).To(Equal(c.keyRequired))
		})
	}
})

var _ = Describe("edits in JSON", func() {
	cases := []struct{ guards, text, place string }{
		{"an unknown kind", `[{"kind": "drop"}]`, "edits[0].kind"},
		{"a missing field of the kind", `[{"kind": "set_service"}]`, "edits[0].service"},
		{"a field of another kind", `[{"kind": "remove_service", "name": "a", "globals": {}}]`, "edits[0].globals"},
		{"an unknown field", `[{"kind": "remove_service", "name": "a", "force": true}]`, "edits[0].force"},
		{"an unknown field inside", `[{"kind": "remove_service", "name": "a"}, {"kind": "set_globals", "globals": {"format": 1, "deployment": "x", "measuring_budget": {"messages_per_second": 1, "bytes_per_second": 1}, "x": 1}}]`, "edits[1].globals.x"},
		{"a value out of range", `[{"kind": "set_instance_class", "instance_class": {"name": "a", "slots": 0, "connections": 1, "cold_limit": 1, "ramp_completions": 1}}]`, "edits[0].instance_class.slots"},
		{"two edits of the same part", `[{"kind": "remove_service", "name": "a"}, {"kind": "remove_service", "name": "a"}]`, "edits[1]"},
		{"an object instead of a list", `{}`, "edits"},
	}
	for _, c := range cases {
		It("guards against "+c.guards, func() {
			var edits parser.Edits
			err := json.Unmarshal([]byte(c.text), &edits)
			Expect(places(err)).To(Equal([]string{c.place}), "%v", err)
		})
	}
	It("guards against an edit that does not fit the sheet", func() {
		sheet, err := parser.Decode([]byte(example))
		Expect(err).NotTo(HaveOccurred())
		_, err = parser.Apply(sheet, parser.Edits{parser.RemoveInstanceClass{Name: "standard"}})
		Expect(parser.FindingsOf(err)).To(Equal([]reporter.Finding{
			{Place: "services[0].instance_class", Value: "standard", Reason: "is not a known instance class"},
		}))
		_, err = parser.Apply(sheet, parser.Edits{parser.RemoveService{Name: "offers"}})
		Expect(places(err)).To(Equal([]string{"edits[0].name"}))
	})
	It("guards against an edit description of several lines or unbounded length", func() {
		for _, edit := range parser.Diff(nil, makeSheet(1, 2)) {
			Expect(edit.String()).To(And(Not(BeEmpty()), Not(ContainSubstring("\n"))))
			Expect(len(edit.String())).To(BeNumerically("<", 200))
		}
	})
})
