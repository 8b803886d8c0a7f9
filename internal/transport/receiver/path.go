package receiver

import (
	"bytes"
	"encoding/hex"
)

// pathOf returns the path of a request target, by which the service is selected: without
// escapes, repeated slashes and dot segments. The work is linear in the target.
func pathOf(target []byte) string {
	if _, rest, absolute := bytes.Cut(target, []byte("://")); absolute && target[0] != '/' {
		target = rest[max(0, bytes.IndexByte(rest, '/')):]
	}
	if at := bytes.IndexAny(target, "?#"); at >= 0 {
		target = target[:at]
	}
	path := make([]byte, 0, len(target)+1)
	rest := bytes.TrimPrefix(unescape(target), []byte{'/'})
	for more := true; more; {
		var segment []byte
		segment, rest, more = bytes.Cut(rest, []byte{'/'})
		switch {
		case len(segment) == 0 && more, string(segment) == "." && more:
		case string(segment) == "..":
			path = path[:max(0, bytes.LastIndexByte(path, '/'))]
			if !more {
				path = append(path, '/')
			}
		case string(segment) == ".":
			path = append(path, '/')
		default:
			path = append(append(path, '/'), segment...)
		}
	}
	return string(path)
}

// escapeBytes is the length of an escaped byte: a percent sign and two hexadecimal digits.
const escapeBytes = 3

// unescape replaces escaped bytes. What is no escape stays as it is.
func unescape(text []byte) []byte {
	out := make([]byte, 0, len(text))
	for len(text) > 0 {
		var b [1]byte
		if text[0] == '%' && len(text) >= escapeBytes {
			if _, err := hex.Decode(b[:], text[1:escapeBytes]); err == nil {
				out, text = append(out, b[0]), text[escapeBytes:]
				continue
			}
		}
		out, text = append(out, text[0]), text[1:]
	}
	return out
}
