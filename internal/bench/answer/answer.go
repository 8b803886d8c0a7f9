// Package answer defines the response bodies of the simulated backend server.
// The load tool uses it to distinguish a complete answer to its own request from
// a partial one and from an answer to another request.
//
// A body is a JSON object with fixed field order. Its padding repeats the
// request id, so that bytes of another answer are detected at any position.
//
// # Usage
//
//	body := answer.Append(nil, answer.Answer{Request: id, Instance: "a1", Checksum: answer.Sum(payload)}, 1024)
//	err := answer.Check(body, answer.Expected{Request: id, Checksum: answer.Sum(payload), Size: 1024})
package answer

import (
	"bytes"
	"hash/crc32"
	"strconv"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// Error classes of Check.
var (
	// Wrong is an answer that does not belong to the request.
	Wrong = errs.Class("wrong answer")
	// Partial is an answer that lacks a part of its body.
	Partial = errs.Class("partial answer")
)

// RequestID is the caller's id of one request.
type RequestID string

// Checksum is a CRC-32 (Castagnoli) of a request body.
type Checksum uint32

// Answer holds the fields of a backend server's response to a request.
type Answer struct {
	Request  RequestID
	Instance identifier.InstanceID
	Checksum Checksum
}

// Expected is what a caller expects of an answer. Size is the requested size of
// the body in bytes; a body is never smaller than its fixed fields.
type Expected struct {
	Request  RequestID
	Checksum Checksum
	Size     int
}

const (
	requestField  = `{"request_id":"`
	instanceField = `","instance":"`
	checksumField = `","checksum":"`
	paddingField  = `","padding":"`
	ending        = `"}`
	checksumBase  = 16
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// Sum computes the checksum of a request body.
func Sum(body []byte) Checksum { return Checksum(crc32.Checksum(body, castagnoliTable)) }

// ValidText reports whether a text needs no JSON escapes in an answer and has at
// most 128 bytes.
func ValidText(text string) bool {
	for _, c := range text {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') &&
			c != '-' && c != '_' && c != '.' && c != ':' {
			return false
		}
	}
	return len(text) <= 128
}

// Append appends an answer to dst, padded to size bytes. The request id and the
// instance must satisfy ValidText.
func Append(dst []byte, a Answer, size int) []byte {
	start := len(dst)
	dst = append(dst, requestField...)
	dst = append(dst, a.Request...)
	dst = append(dst, instanceField...)
	dst = append(dst, a.Instance...)
	dst = append(dst, checksumField...)
	dst = strconv.AppendUint(dst, uint64(a.Checksum), checksumBase)
	dst = append(dst, paddingField...)
	pattern := padding(a.Request)
	for left := size - (len(dst) - start) - len(ending); left > 0; left -= len(pattern) {
		dst = append(dst, pattern[:min(left, len(pattern))]...)
	}
	return append(dst, ending...)
}

// Check returns an error of class Wrong or Partial unless the body is the
// complete answer to the request.
func Check(body []byte, want Expected) error {
	rest, found := bytes.CutPrefix(body, []byte(requestField))
	if !found && !bytes.HasPrefix([]byte(requestField), body) {
		return Wrong.New("body does not start with a request id")
	}
	request, rest, found := bytes.Cut(rest, []byte(instanceField))
	if !found {
		return Partial.New("body of %d bytes ends before the instance", len(body))
	}
	if string(request) != string(want.Request) {
		return Wrong.New("request id is %q, want %q", request, want.Request)
	}
	_, rest, _ = bytes.Cut(rest, []byte(checksumField))
	checksum, rest, found := bytes.Cut(rest, []byte(paddingField))
	if !found {
		return Partial.New("body of %d bytes ends before the padding", len(body))
	}
	if parsed, err := strconv.ParseUint(string(checksum), checksumBase, 32); err != nil || Checksum(parsed) != want.Checksum {
		return Wrong.New("checksum is %q, want %x", checksum, want.Checksum)
	}
	return checkPadding(rest, len(body), want)
}

func checkPadding(rest []byte, size int, want Expected) error {
	padded, whole := bytes.CutSuffix(rest, []byte(ending))
	if !whole {
		// A truncated body may end with the first byte of the ending.
		padded = bytes.TrimSuffix(padded, []byte(ending[:1]))
	}
	pattern := padding(want.Request)
	for left := padded; len(left) > 0; left = left[min(len(pattern), len(left)):] {
		if string(left[:min(len(pattern), len(left))]) != pattern[:min(len(pattern), len(left))] {
			return Wrong.New("padding contains bytes of another answer")
		}
	}
	if !whole || size < want.Size {
		return Partial.New("body has %d bytes, want %d", size, want.Size)
	}
	if len(padded) > 0 && size > want.Size {
		return Wrong.New("body has %d bytes, want %d", size, want.Size)
	}
	return nil
}

func padding(request RequestID) string {
	if request == "" {
		return "-"
	}
	return string(request)
}
