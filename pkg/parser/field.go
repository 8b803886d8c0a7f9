package parser

import (
	"cmp"
	"fmt"
	"strings"

	"github.com/magnoliaknot/magnoliaknot/pkg/decoder"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

// Lengths in bytes.
const (
	maxNameLength = 63
	maxHostLength = 253
	// MaxPathPrefixLength also bounds the cost of routing one request.
	MaxPathPrefixLength = 256
)

// joinPlace appends a field name to a place, which may be empty.
func joinPlace(place, field string) string {
	if place == "" {
		return field
	}
	return place + "." + field
}

func checkRange[T cmp.Ordered](place string, value, low, high T, findings *reporter.Findings) {
	if value < low || value > high {
		findings.Add(place, value, fmt.Sprintf("is not between %v and %v", low, high))
	}
}

func checkCount(place string, count, limit int, findings *reporter.Findings) {
	if count > limit {
		findings.Add(place, count, fmt.Sprintf("has more than %d entries", limit))
	}
}

// checkName accepts letters, digits, dot, underscore and hyphen, so that names
// are safe in headers, places and log lines.
func checkName(place, name string, findings *reporter.Findings) {
	switch {
	case name == "":
		findings.Add(place, name, "is empty")
	case len(name) > maxNameLength:
		findings.Add(place, decoder.Clip(name), fmt.Sprintf("is longer than %d bytes", maxNameLength))
	case strings.ContainsFunc(name, func(r rune) bool { return !decoder.IsNameRune(r) }):
		findings.Add(place, name, "has characters other than letters, digits, dot, underscore and hyphen")
	}
}

func checkHost(place, host string, findings *reporter.Findings) {
	valid := host != "" && len(host) <= maxHostLength && host == strings.ToLower(host) && !strings.HasSuffix(host, ".") &&
		!strings.ContainsFunc(host, func(r rune) bool { return !decoder.IsNameRune(r) })
	if !valid {
		findings.Add(place, decoder.Clip(host), "is not a host name in lower case without port")
	}
}

func checkPathPrefix(place, prefix string, findings *reporter.Findings) {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		findings.Add(place, decoder.Clip(prefix), "does not start with a slash")
	case len(prefix) > MaxPathPrefixLength:
		findings.Add(place, decoder.Clip(prefix), fmt.Sprintf("is longer than %d bytes", MaxPathPrefixLength))
	case strings.ContainsFunc(prefix, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '?' || r == '#' }):
		findings.Add(place, prefix, "has a space, control character, query or fragment")
	case !isNormalised(prefix):
		findings.Add(place, prefix, "has an empty or dot segment, which no normalised path matches")
	}
}

func isNormalised(path string) bool {
	segments := strings.Split(path, "/")
	for i, segment := range segments {
		inner := i > 0 && i < len(segments)-1
		if segment == "." || segment == ".." || segment == "" && inner {
			return false
		}
	}
	return true
}
