// Package decoder decodes JSON strictly into domain types and reports all
// problems at once.
//
// encoding/json stops at the first problem and accepts null, repeated fields and
// field names in another case. This package continues after a problem and adds a
// finding with the place for each unknown or repeated field and wrong type.
//
// # Usage
//
//	var findings reporter.Findings
//	decoder.Decode(data, &settings, &findings, decoder.Options{Root: "settings"}, settings.check)
//	if err := findings.Err(); err != nil {
//		return err
//	}
package decoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

// TextDecoder is implemented by pointers to types that are written as text.
type TextDecoder interface {
	// DecodeText sets the value and reports whether the text is valid.
	DecodeText(text string) bool
	// Kind returns the words that complete the finding "is not ...".
	Kind() string
}

// Options set how findings name the input.
type Options struct {
	// Place is the prefix of every place; it may be empty.
	Place string
	// Root is the place of the outermost value if Place is empty.
	Root string
}

// decoder sets Go values from JSON and continues after a problem.
type decoder struct {
	scanner
	options  Options
	findings *reporter.Findings
	path     []step
}

// step is one element of a path: a field name, or an index into a list if the
// name is empty.
type step struct {
	name  string
	index int
}

// field is one field of a struct. The number is its bit in the set of fields that
// an object has given.
type field struct {
	name   string
	index  []int
	number int
}

// endOfInput is the error text of encoding/json for truncated input, for which it
// has no separate error type.
const endOfInput = "unexpected end of JSON input"

// structFields maps struct types to their fields by JSON name.
var structFields sync.Map

func fieldsOf(t reflect.Type) map[string]field {
	if known, found := structFields.Load(t); found {
		return known.(map[string]field)
	}
	fields := make(map[string]field)
	for _, structField := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(structField.Tag.Get("json"), ",")
		if name == "" {
			continue
		}
		fields[name] = field{name: name, index: structField.Index, number: len(fields)}
	}
	structFields.Store(t, fields)
	return fields
}

// Decode decodes the data into target, a pointer, and then calls check to add
// findings about the result. Findings of check are dropped for places that already
// have one from decoding, since the value there was not set.
func Decode(data []byte, target any, findings *reporter.Findings, options Options, check func(*reporter.Findings)) {
	if !checkSyntax(data, findings) {
		return
	}
	d := &decoder{scanner: scanner{data: data}, findings: findings, options: options}
	if options.Place != "" {
		d.path = append(d.path, step{name: options.Place})
	}
	root := d.place()
	d.value(reflect.ValueOf(target).Elem())
	places := make(map[string]bool)
	for _, finding := range findings.List() {
		places[finding.Place] = true
	}
	if places[root] {
		return
	}
	var additional reporter.Findings
	check(&additional)
	for _, finding := range additional.List() {
		if !places[finding.Place] {
			findings.Append(finding)
		}
	}
}

// checkSyntax adds a finding with line and column if the data is not JSON, and
// reports whether it is.
func checkSyntax(data []byte, findings *reporter.Findings) bool {
	if !utf8.Valid(data) {
		offset := 0
		for offset < len(data) {
			r, size := utf8.DecodeRune(data[offset:])
			if r == utf8.RuneError && size == 1 {
				break
			}
			offset += size
		}
		findings.Add(position(data, offset), "", "is not UTF-8")
		return false
	}
	if json.Valid(data) {
		return true
	}
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	offset, value := len(data), ""
	var syntax *json.SyntaxError
	// The offset includes the offending byte, unless the input is truncated.
	if errors.As(err, &syntax) && syntax.Offset > 0 && err.Error() != endOfInput {
		offset = int(syntax.Offset) - 1
		value = string(data[offset : offset+1])
	}
	findings.Add(position(data, offset), value, "is not JSON: "+err.Error())
	return false
}

// position formats a byte offset as line and column, both counted from 1.
// Columns count bytes.
func position(data []byte, offset int) string {
	before := data[:min(offset, len(data))]
	line := bytes.Count(before, []byte{'\n'}) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("line %d, column %d", line, column)
}

func (d *decoder) place() string {
	var text strings.Builder
	for _, step := range d.path {
		switch {
		case step.name == "":
			text.WriteString("[" + strconv.Itoa(step.index) + "]")
		case text.Len() > 0:
			text.WriteString("." + step.name)
		default:
			text.WriteString(step.name)
		}
	}
	if text.Len() == 0 {
		return d.options.Root
	}
	return text.String()
}

func (d *decoder) push(s step) { d.path = append(d.path, s) }
func (d *decoder) pop()        { d.path = d.path[:len(d.path)-1] }

func (d *decoder) value(target reflect.Value) {
	for target.Kind() == reflect.Pointer {
		target.Set(reflect.New(target.Type().Elem()))
		target = target.Elem()
	}
	if value, isText := target.Addr().Interface().(TextDecoder); isText {
		d.textValue(value)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.object(target)
	case reflect.Slice:
		d.list(target)
	case reflect.String:
		if d.expect('"', "text") {
			target.SetString(d.text())
		}
	case reflect.Bool:
		if first := d.peek(); first != 't' && first != 'f' {
			d.mismatch("true or false")
			return
		}
		target.SetBool(string(d.skip()) == "true")
	case reflect.Float64:
		d.float(target)
	default:
		d.integer(target)
	}
}

func (d *decoder) object(target reflect.Value) {
	if !d.expect('{', "an object") {
		return
	}
	fields := fieldsOf(target.Type())
	var seen uint64
	for range d.items('}') {
		quoted := d.skip()
		// The conversion in the lookup does not allocate.
		found, known := fields[string(quoted[1:len(quoted)-1])]
		if !known {
			name := unquote(quoted)
			found, known = fields[name]
			found.name = name
		}
		d.peek()
		d.position++ // the colon
		bit := uint64(1) << found.number
		if !known || seen&bit != 0 {
			d.rejectField(found.name, known)
			continue
		}
		seen |= bit
		d.push(step{name: found.name})
		d.value(target.FieldByIndex(found.index))
		d.pop()
	}
}

func (d *decoder) rejectField(name string, known bool) {
	label, reason := name, "is an unknown field"
	if name == "" || strings.ContainsFunc(name, func(r rune) bool { return !IsNameRune(r) }) {
		label = strconv.Quote(name)
	}
	if known {
		reason = "is given twice"
	}
	d.push(step{name: Clip(label)})
	d.findings.Add(d.place(), Clip(name), reason)
	d.pop()
	d.skip()
}

func (d *decoder) list(target reflect.Value) {
	if !d.expect('[', "a list") {
		return
	}
	for i := range d.items(']') {
		d.push(step{index: i})
		target.Grow(1)
		target.SetLen(i + 1)
		d.value(target.Index(i))
		d.pop()
	}
}

func (d *decoder) textValue(value TextDecoder) {
	if !d.expect('"', value.Kind()) {
		return
	}
	text := d.text()
	if !value.DecodeText(text) {
		d.findings.Add(d.place(), Clip(text), "is not "+value.Kind())
	}
}

func (d *decoder) integer(target reflect.Value) {
	if first := d.peek(); first != '-' && (first < '0' || first > '9') {
		d.mismatch("a whole number")
		return
	}
	text := string(d.skip())
	parsed, err := strconv.ParseInt(text, 10, target.Type().Bits())
	switch {
	case errors.Is(err, strconv.ErrRange):
		d.findings.Add(d.place(), Clip(text), "is out of range")
	case err != nil:
		d.findings.Add(d.place(), Clip(text), "is not a whole number")
	}
	target.SetInt(parsed)
}

func (d *decoder) float(target reflect.Value) {
	if first := d.peek(); first != '-' && (first < '0' || first > '9') {
		d.mismatch("a number")
		return
	}
	text := string(d.skip())
	parsed, err := strconv.ParseFloat(text, 64)
	if err != nil {
		d.findings.Add(d.place(), Clip(text), "is out of range")
	}
	target.SetFloat(parsed)
}

// expect reports whether the next value starts with the given byte. If not, it
// skips the value and adds a finding.
func (d *decoder) expect(first byte, want string) bool {
	if d.peek() == first {
		return true
	}
	d.mismatch(want)
	return false
}

func (d *decoder) mismatch(want string) {
	value := "an object"
	switch d.peek() {
	case '{':
		d.skip()
	case '[':
		value = "a list"
		d.skip()
	case '"':
		value = Clip(d.text())
	default:
		value = Clip(string(d.skip()))
	}
	d.findings.Add(d.place(), value, "is not "+want)
}
