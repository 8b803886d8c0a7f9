// Package separator separates the head of a request into the fields that the process reads
// or sets and those that it only passes on.
//
// Libraries keep each field of a head in a structure of its own, so that a head of many
// short lines takes many times its bytes, and each copy of it does so again. Here the
// fields that are only passed on stay one block of lines, which is never changed and which
// all copies of the request share. Fields that concern only the connection on which the
// request came are left out (RFC 9110, section 7.6.1). The work is linear in the bytes of
// the head, but for connection options, which are sorted.
//
// # Usage
//
//	names := separator.NewNames([]string{"X-Request-Id"}, []string{"X-Caller"})
//	var end separator.End
//	for {
//		data = append(data, more...)
//		if size, err := end.Find(data); err != nil || size > 0 {
//			break // Invalid, or the head is data[:size].
//		}
//	}
//	head, err := names.Separate(data[:size])
package separator

import (
	"bytes"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/validator"
)

// Error is the class of errors of this package.
var Error = errs.Class("separator")

// CostPerByte bounds the memory that Separate takes for each byte of a head: its two parts
// and the table of connection options.
const CostPerByte = 6

// maxRepeats is the number of fields with the same name that are kept among the known
// ones, so that a reader can tell that there is more than one.
const maxRepeats = 2

// Head is a separated head.
type Head struct {
	// Known is a head with the start line and the fields that the process reads or sets.
	Known []byte
	// Fields are the other fields, a line each. They must not be changed.
	Fields []byte
	// Close says that the sender closes the connection after the message.
	Close bool
}

// Separate separates a head that End has found. Folded fields are unfolded, and every line
// ends in a carriage return and a line feed.
func (n *Names) Separate(data []byte) (Head, error) {
	for len(data) > 0 && (data[0] == '\r' || data[0] == '\n') {
		data = data[1:] // Empty lines before the start line are ignored (RFC 9112, section 2.2).
	}
	start, rest, _ := cutLine(data)
	s := separation{names: n, head: data}
	if err := s.measure(rest); err != nil {
		return Head{}, err
	}
	head := Head{Known: make([]byte, 0, len(start)+s.known+2*len(lineEnd)), Close: s.options.closes}
	if s.fields > 0 {
		head.Fields = make([]byte, 0, s.fields)
	}
	head.Known = append(append(head.Known, start...), lineEnd...)
	s.repeats = repeats{}
	for len(rest) > 0 {
		var f field
		f, rest, _ = nextField(rest) // Measure has checked all of them.
		switch s.placeOf(f) {
		case placeKnown:
			head.Known = f.appendTo(head.Known)
		case placeFields:
			head.Fields = f.appendTo(head.Fields)
		case placeNone:
		}
	}
	head.Known = append(head.Known, lineEnd...)
	return head, nil
}

// place is the part of a separated head that a field belongs to.
type place int

const (
	placeNone place = iota
	placeKnown
	placeFields
)

// separation is the state of one call of Separate.
type separation struct {
	names *Names
	head  []byte
	// known and fields are the sizes of the parts.
	known, fields int
	options       options
	repeats       repeats
}

// measure checks the fields and determines the connection options and the sizes of the
// parts, so that each part is allocated once.
func (s *separation) measure(rest []byte) error {
	tokens := 0
	for left := rest; len(left) > 0; {
		f, after, err := nextField(left)
		if err != nil {
			return err
		}
		if f.hasOptions() {
			tokens += 1 + bytes.Count(f.raw, []byte{','})
		}
		left = after
	}
	if tokens > 0 {
		s.readOptions(rest, tokens)
	}
	for len(rest) > 0 {
		var f field
		f, rest, _ = nextField(rest)
		switch s.placeOf(f) {
		case placeKnown:
			s.known += f.size()
		case placeFields:
			s.fields += f.size()
		case placeNone:
		}
	}
	return nil
}

func (s *separation) readOptions(rest []byte, count int) {
	s.options = newOptions(s.head, count)
	for len(rest) > 0 {
		var f field
		f, rest, _ = nextField(rest)
		if f.hasOptions() {
			s.options.add(f.value())
		}
	}
	s.options.sort()
}

// placeOf returns where a field belongs. It counts the repeats of a name, so it is called
// once for each field in a pass.
func (s *separation) placeOf(f field) place {
	number, kind := s.names.find(f.name)
	switch kind {
	case kindMessage:
		return placeKnown
	case kindRead, kindOwn:
		if s.repeats.add(number) <= maxRepeats {
			return placeKnown
		}
		if kind == kindOwn {
			return placeNone // It would be removed before the request is passed on.
		}
		return placeFields
	case kindHop, kindConnection:
		return placeNone
	case kindOther:
	}
	if s.options.contains(f.name) {
		return placeNone
	}
	return placeFields
}

func checkName(name []byte) error {
	for i, b := range name {
		// Blanks within a name are passed on, since backend servers may accept them.
		if !validator.IsTokenByte(b) && (b != ' ' || i == 0 || i == len(name)-1) {
			return Error.New("field name %.40q is invalid", name)
		}
	}
	if len(name) == 0 {
		return Error.New("a field has no name")
	}
	return nil
}
