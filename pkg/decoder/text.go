package decoder

import "strings"

// IsNameRune reports whether a character is allowed in a name: letters, digits,
// dot, underscore and hyphen, which are safe in headers, places and log lines.
func IsNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '.' || r == '_' || r == '-'
}

// Clip truncates a value for display in a finding.
func Clip(value string) string {
	const maxBytes = 80
	if len(value) <= maxBytes {
		return value
	}
	return strings.ToValidUTF8(value[:maxBytes], "") + "..."
}
