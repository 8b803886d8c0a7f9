package identifier

import (
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("identifier")

// AttemptID identifies one attempt to run a request. Origin is the incarnation
// of the sending daemon; Sequence grows with each attempt it sends.
type AttemptID struct {
	Origin   Incarnation
	Sequence uint64
}

// String formats the id as two hexadecimal numbers.
func (a AttemptID) String() string {
	buf := make([]byte, 0, 33)
	buf = strconv.AppendUint(buf, uint64(a.Origin), 16)
	buf = append(buf, '-')
	buf = strconv.AppendUint(buf, a.Sequence, 16)
	return string(buf)
}

// ParseAttemptID reads an id as String formats it.
func ParseAttemptID(text string) (AttemptID, error) {
	origin, sequence, found := strings.Cut(text, "-")
	if !found {
		return AttemptID{}, Error.New("attempt id %q has no separator", text)
	}
	first, err := strconv.ParseUint(origin, 16, 64)
	if err != nil {
		return AttemptID{}, Error.New("attempt id %q: origin is not a hexadecimal number", text)
	}
	second, err := strconv.ParseUint(sequence, 16, 64)
	if err != nil {
		return AttemptID{}, Error.New("attempt id %q: sequence is not a hexadecimal number", text)
	}
	return AttemptID{Origin: Incarnation(first), Sequence: second}, nil
}
