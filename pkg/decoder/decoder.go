// Package decoder decodes JSON strictly into domain types and lists everything
// that is wrong with it at once.
//
// encoding/json stops at the first problem, accepts fields in another case,
// repeated ones and null. This package goes on after a problem and adds a
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
	// Kind completes the finding "is not ...".
	Kind() string
}

// Options name the input in findings.
type Options struct {
	// Place is put before every place; it may be empty.
	Place string
	// Root is the place of the outermost value if Place is empty.
	Root string
}

// decoder fills Go values from JSON and goes on after a problem.
type decoder struct {
	scanner
	options  Options
	findings *reporter.Findings
	path     []step
}

// step is a field name, or an index into a list if the name is empty.
type step struct {
	name  string
	index int
}

// field is one field of a struct. The number is its bit in a set of fields.
type field struct {
	name   string
	index  []int
	number int
}

// endOfInput is the text of encoding/json for input that ended early, which it
// gives no type of its own.
const endOfInput = "unexpected end of JSON input"

// layouts maps struct types to their fields by JSON name.
var layouts sync.Map

func layoutOf(t reflect.Type) map[string]field {
	if known, found := layouts.Load(t); found {
		return known.(map[string]field)
	}
	fields := make(map[string]field)
	for _, member := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(member.Tag.Get("json"), ",")
		if name == "" {
			continue
		}
		fields[name] = field{name: name, index: member.Index, number: len(fields)}
	}
	layouts.Store(t, fields)
	return fields
}

// Decode fills the target, a pointer, and then lets check add what is wrong with
// it. A finding of check is left out where the decoder has found something
// already, since the value there was never set.
func Decode(data []byte, target any, findings *reporter.Findings, options Options, check func(*reporter.Findings)) {
	if !checkSyntax(data, findings) {
		return
	}
	d := &decoder{scanner: scanner{data: data}, findings: findings, options: options}
	if options.Place != "" {
		d.path = append(d.path, step{name: options.Place})
	}
	outermost := d.place()
	d.value(reflect.ValueOf(target).Elem())
	places := make(map[string]bool)
	for _, finding := range findings.List() {
		places[finding.Place] = true
	}
	if places[outermost] {
		return
	}
	var further reporter.Findings
	check(&further)
	for _, finding := range further.List() {
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
	// The offset counts the offending byte itself, unless the input ended early.
	if errors.As(err, &syntax) && syntax.Offset > 0 && err.Error() != endOfInput {
		offset = int(syntax.Offset) - 1
		value = string(data[offset : offset+1])
	}
	findings.Add(position(data, offset), value, "is not JSON: "+err.Error())
	return false
}

// position names the line and column of a byte offset, both from 1. Columns
// count bytes.
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
		d.fraction(target)
	default:
		d.number(target)
	}
}

func (d *decoder) object(target reflect.Value) {
	if !d.expect('{', "an object") {
		return
	}
	fields := layoutOf(target.Type())
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
			d.refuseField(found.name, known)
			continue
		}
		seen |= bit
		d.push(step{name: found.name})
		d.value(target.FieldByIndex(found.index))
		d.pop()
	}
}

func (d *decoder) refuseField(name string, known bool) {
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

func (d *decoder) number(target reflect.Value) {
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

func (d *decoder) fraction(target reflect.Value) {
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

// expect reports whether a value starts as wanted, and skips it if not.
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
