// Package validator checks the heads of HTTP/1.1 responses byte by byte, as they arrive.
//
// HTTP libraries tolerate much in a head: a status below 100, blanks in the names of
// fields, fields that contradict each other about the length of the body. What one reader
// tolerates another one reads differently, so a response that is passed on has to be
// unambiguous: the grammar of RFC 9112, without what it leaves to the recipient's
// discretion but for folded fields, which fasthttp unfolds.
//
// # Usage
//
//	var head validator.ResponseHead
//	for {
//		data = append(data, more...)
//		if end, err := head.Check(data); err != nil || end > 0 {
//			break // Invalid, or the head is data[:end].
//		}
//	}
//
// A ResponseHead is for one head and not safe for concurrent use.
package validator

import (
	"bytes"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("validator")

const (
	// minStatus and maxStatus bound a status (RFC 9110, section 15).
	minStatus = "100"
	maxStatus = "599"
	// switchingProtocols is never requested, and what follows it would not be HTTP.
	switchingProtocols = "101"
	statusDigits       = 3
	// maxLengthDigits keeps a content length within an int64.
	maxLengthDigits = 18
	// deleteByte is the control byte above the printable ASCII characters.
	deleteByte = 0x7f
)

// Names and values of fields that tell the length of a body.
var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
	chunked          = []byte("chunked")
)

// ResponseHead checks the head of one response.
type ResponseHead struct {
	// next is the start of the first line that has not been checked.
	next   int
	status string
	// contentLength is the value of that field, empty without one.
	contentLength string
	// chunked says that there is a transfer encoding.
	chunked bool
	// foldable says that the last line is a field that another line may continue.
	foldable bool
}

// Check checks the complete lines at the beginning of data, which holds the bytes of
// earlier calls and those that have arrived since. It returns the length of the head with
// its empty line, or 0 if that has not arrived.
func (h *ResponseHead) Check(data []byte) (end int, err error) {
	for {
		length := bytes.IndexByte(data[h.next:], '\n')
		if length < 0 {
			return 0, nil
		}
		line, found := bytes.CutSuffix(data[h.next:h.next+length], []byte{'\r'})
		if !found {
			return 0, Error.New("a line ends without a carriage return")
		}
		h.next += length + 1
		switch {
		case h.status == "":
			err = h.checkStatusLine(line)
		case len(line) == 0:
			return h.next, nil
		default:
			err = h.checkField(line)
		}
		if err != nil {
			return 0, err
		}
	}
}

// Size returns the length of the head, whose end Check has returned.
func (h *ResponseHead) Size() int { return h.next }

// Interim reports whether another head follows this one, whose end Check has returned.
func (h *ResponseHead) Interim() bool { return h.status < "200" }

func (h *ResponseHead) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	if string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" {
		return Error.New("status line has version %.20q", version)
	}
	status, reason, _ := bytes.Cut(rest, []byte{' '})
	if len(status) != statusDigits || !isNumber(status) || string(status) < minStatus || string(status) > maxStatus || string(status) == switchingProtocols {
		return Error.New("status line has status %.20q", status)
	}
	h.status = string(status)
	return CheckValue(reason)
}

func (h *ResponseHead) checkField(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		if !h.foldable {
			return Error.New("line %.40q continues no field", line)
		}
		return CheckValue(line)
	}
	name, value, err := splitField(line)
	if err != nil {
		return err
	}
	h.foldable = false
	text := bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, contentLength):
		if !isNumber(text) || len(text) > maxLengthDigits || h.contentLength != "" && h.contentLength != string(text) {
			return Error.New("content length is %.40q, %.40q before", text, h.contentLength)
		}
		h.contentLength = string(text)
	case bytes.EqualFold(name, transferEncoding):
		if !bytes.EqualFold(text, chunked) || h.chunked {
			return Error.New("transfer encoding is %.40q, chunked before: %v", text, h.chunked)
		}
		h.chunked = true
	default:
		h.foldable = true
	}
	if h.contentLength != "" && h.chunked {
		return Error.New("both a content length and a transfer encoding are given")
	}
	return nil
}

// CheckTrailer checks a line of the trailer section of a chunked body, without its line
// break.
func CheckTrailer(line []byte) error {
	_, _, err := splitField(line)
	return err
}

// splitField returns the name and the value of a field.
func splitField(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found || !isToken(name) {
		return nil, nil, Error.New("field name in %.40q is invalid", line)
	}
	return name, value, CheckValue(value)
}

// CheckValue returns an error if the value of a field or the extensions of a chunk have a
// control byte.
func CheckValue(value []byte) error {
	for _, b := range value {
		if b < ' ' && b != '\t' || b == deleteByte {
			return Error.New("value %.40q has a control byte", value)
		}
	}
	return nil
}

// isToken reports whether a name consists of the characters that names may have.
func isToken(name []byte) bool {
	for _, b := range name {
		if !IsTokenByte(b) {
			return false
		}
	}
	return len(name) > 0
}

// IsTokenByte reports whether names may have a character (RFC 9110, section 5.6.2).
func IsTokenByte(b byte) bool {
	isLetter := 'a' <= b|0x20 && b|0x20 <= 'z'
	return isLetter || b >= '0' && b <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

func isNumber(text []byte) bool {
	for _, b := range text {
		if b < '0' || b > '9' {
			return false
		}
	}
	return len(text) > 0
}
