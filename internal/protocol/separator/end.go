package separator

import "bytes"

// End finds the end of a head whose bytes arrive piece by piece. Each byte is looked at
// once.
type End struct {
	// line is the start of the first line that has not arrived as a whole, searched the
	// part of it that has no line break.
	line, searched int
	// started says that the start line has arrived.
	started bool
}

// Find returns the length of the head with its empty line, or 0 if that has not arrived.
// Data holds the bytes of earlier calls and those that have arrived since.
func (e *End) Find(data []byte) (int, error) {
	for {
		at := bytes.IndexByte(data[e.searched:], '\n')
		if at < 0 {
			e.searched = len(data)
			return 0, nil
		}
		end := e.searched + at + 1
		line := data[e.line : end-1]
		e.line, e.searched = end, end
		switch {
		case len(line) > 0 && (len(line) > 1 || line[0] != '\r'):
			e.started = true
		case !e.started: // Empty lines before the start line are ignored.
		case len(line) == 0:
			// Other readers take only a carriage return and a line feed for the empty line.
			return 0, Error.New("the empty line ends without a carriage return")
		default:
			return end, nil
		}
	}
}
