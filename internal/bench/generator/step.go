package generator

import (
	"strconv"
	"strings"
	"time"
)

// ParseSteps parses steps such as "1x:10s,3x:10s".
func ParseSteps(text string) ([]Step, error) {
	var steps []Step
	for _, part := range strings.Split(text, ",") {
		factor, span, found := strings.Cut(part, "x:")
		if !found {
			return nil, Error.New("step %q is not of the form 3x:10s", part)
		}
		parsed, err := strconv.ParseFloat(factor, 64)
		if err != nil || !(parsed >= 0) {
			return nil, Error.New("step %q: factor is not a number of at least 0", part)
		}
		duration, err := time.ParseDuration(span)
		if err != nil || duration <= 0 {
			return nil, Error.New("step %q: duration is not positive or cannot be parsed", part)
		}
		steps = append(steps, Step{Factor: parsed, Duration: duration})
	}
	return steps, nil
}
