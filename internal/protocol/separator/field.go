package separator

import (
	"bytes"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/validator"
)

const (
	lineEnd = "\r\n"
	blanks  = " \t"
)

// field is a field of a head, with the lines that continue it.
type field struct {
	name []byte
	// raw is the field as it arrived, without its last line break.
	raw    []byte
	folded bool
}

// cutLine returns the first line without its line break, and what follows it.
func cutLine(data []byte) (line, rest []byte, found bool) {
	at := bytes.IndexByte(data, '\n')
	if at < 0 {
		return data, nil, false
	}
	return bytes.TrimSuffix(data[:at], []byte{'\r'}), data[at+1:], true
}

// nextField returns the first field of the rest of a head and what follows it. At the end of
// the head, the field has no name and nothing follows.
func nextField(data []byte) (f field, rest []byte, err error) {
	line, rest, _ := cutLine(data)
	if len(line) == 0 {
		return field{}, nil, nil
	}
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found {
		return field{}, nil, Error.New("line %.40q has no colon", line)
	}
	if err = checkName(name); err != nil {
		return field{}, nil, err
	}
	if err = validator.CheckValue(value); err != nil {
		return field{}, nil, Error.Wrap(err)
	}
	f = field{name: name, raw: line}
	for len(rest) > 0 && (rest[0] == ' ' || rest[0] == '\t') {
		line, rest, _ = cutLine(rest)
		if err = validator.CheckValue(line); err != nil {
			return field{}, nil, Error.Wrap(err)
		}
		f.folded = true
		f.raw = data[:cap(data)-cap(line)+len(line)]
	}
	return f, rest, nil
}

// value returns the value as it arrived.
func (f field) value() []byte { return f.raw[len(f.name)+1:] }

// size is the number of bytes that appendTo appends at most.
func (f field) size() int {
	if len(f.name) == 0 {
		return 0
	}
	return len(f.raw) + len(lineEnd)
}

// appendTo appends the field as one line.
func (f field) appendTo(out []byte) []byte {
	switch {
	case len(f.name) == 0:
		return out
	case !f.folded:
		return append(append(out, f.raw...), lineEnd...)
	}
	line, rest, _ := cutLine(f.raw)
	out = append(out, bytes.TrimRight(line, blanks)...)
	for len(rest) > 0 {
		line, rest, _ = cutLine(rest)
		if text := bytes.Trim(line, blanks); len(text) > 0 {
			out = append(append(out, ' '), text...)
		}
	}
	return append(out, lineEnd...)
}
