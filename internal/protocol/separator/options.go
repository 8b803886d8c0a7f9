package separator

import (
	"bytes"
	"cmp"
	"slices"
)

const connectionName = "Connection"

var closeOption = []byte("close")

// hasOptions reports whether the values of a field are connection options.
func (f field) hasOptions() bool {
	return len(f.name) == len(connectionName) && bytes.EqualFold(f.name, []byte(connectionName))
}

// options are the connection options of a head, which name fields that concern only the
// connection (RFC 9110, section 7.6.1).
type options struct {
	closes bool
	// head holds the options, which spans refer to in the order of compareFold.
	head  []byte
	spans []span
}

// span is an option within the head. It takes a third of the memory of a slice.
type span struct{ start, end uint32 }

// newOptions returns options that are in a head, with room for a number of them.
func newOptions(head []byte, count int) options {
	return options{head: head, spans: make([]span, 0, count)}
}

// add adds the options of a value, which is a part of the head.
func (o *options) add(value []byte) {
	for more := true; more; {
		var option []byte
		option, value, more = bytes.Cut(value, []byte{','})
		option = bytes.Trim(option, " \t\r\n")
		switch {
		case len(option) == 0:
		case bytes.EqualFold(option, closeOption):
			o.closes = true
		default:
			start := cap(o.head) - cap(option)
			o.spans = append(o.spans, span{uint32(start), uint32(start + len(option))})
		}
	}
}

func (o *options) text(s span) []byte { return o.head[s.start:s.end] }

func (o *options) sort() {
	slices.SortFunc(o.spans, func(x, y span) int { return compareFold(o.text(x), o.text(y)) })
}

// contains reports whether a name is an option.
func (o *options) contains(name []byte) bool {
	_, found := slices.BinarySearchFunc(o.spans, name, func(s span, name []byte) int { return compareFold(o.text(s), name) })
	return found
}

// compareFold compares two texts without regard to case.
func compareFold(x, y []byte) int {
	for i := range min(len(x), len(y)) {
		if order := cmp.Compare(toLower(x[i]), toLower(y[i])); order != 0 {
			return order
		}
	}
	return cmp.Compare(len(x), len(y))
}
