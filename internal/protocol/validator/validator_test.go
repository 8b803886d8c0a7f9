package validator_test

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/validator"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
)

const statusLine = "HTTP/1.1 200 OK\r\n"

// Guards against heads that other readers understand differently, and against refusing
// those that every reader understands.
func TestResponseHead(t *testing.T) {
	cases := []struct {
		name, head string
		valid      bool
	}{
		{"a response", statusLine + "X-Id: 1\r\nContent-Length: 5\r\n\r\n", true},
		{"no reason", "HTTP/1.1 204\r\n\r\n", true},
		{"version 1.0", "HTTP/1.0 500 Internal Server Error\r\n\r\n", true},
		{"the same length twice", statusLine + "Content-Length: 5\r\ncontent-length:5\r\n\r\n", true},
		{"chunked", statusLine + "Transfer-Encoding: Chunked\r\n\r\n", true},
		{"a folded field", statusLine + "X-Folded: a\r\n b\r\n\tc\r\n\r\n", true},
		{"an empty value", statusLine + "X-Empty:\r\n\r\n", true},
		{"bytes above ASCII in a value", statusLine + "X-Text: \xc3\xa5\r\n\r\n", true},
		{"status 000", "HTTP/1.1 000 OK\r\n\r\n", false},
		{"status 099", "HTTP/1.1 099 OK\r\n\r\n", false},
		{"status 600", "HTTP/1.1 600 OK\r\n\r\n", false},
		{"status of two digits", "HTTP/1.1 20 OK\r\n\r\n", false},
		{"status of four digits", "HTTP/1.1 2000 OK\r\n\r\n", false},
		{"status with a sign", "HTTP/1.1 +20 OK\r\n\r\n", false},
		{"no status", "HTTP/1.1 \r\n\r\n", false},
		{"two blanks", "HTTP/1.1  200 OK\r\n\r\n", false},
		{"another protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n", false},
		{"version 2.0", "HTTP/2.0 200 OK\r\n\r\n", false},
		{"version 1.2", "HTTP/1.2 200 OK\r\n\r\n", false},
		{"no version", "200 OK\r\n\r\n", false},
		{"an empty line first", "\r\n" + statusLine + "\r\n", false},
		{"a control byte in the reason", "HTTP/1.1 200 O\x00\r\n\r\n", false},
		{"a blank in a name", statusLine + "X Id: 1\r\n\r\n", false},
		{"a blank after a name", statusLine + "Content-Length : 5\r\n\r\n", false},
		{"a tab after a name", statusLine + "Content-Length\t: 5\r\n\r\n", false},
		{"a control byte in a name", statusLine + "Content-\x01Length: 5\r\n\r\n", false},
		{"a byte above ASCII in a name", statusLine + "X-\xc3\xa5: 5\r\n\r\n", false},
		{"no name", statusLine + ": 5\r\n\r\n", false},
		{"no colon", statusLine + "Content-Length 5\r\n\r\n", false},
		{"a blank before the first field", statusLine + " Content-Length: 5\r\n\r\n", false},
		{"a control byte in a value", statusLine + "X-Id: 1\x00\r\n\r\n", false},
		{"a carriage return in a value", statusLine + "X-Id: 1\rX-Other: 2\r\n\r\n", false},
		{"a line feed alone", statusLine + "X-Id: 1\nX-Other: 2\r\n\r\n", false},
		{"two lengths", statusLine + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n", false},
		{"a list of lengths", statusLine + "Content-Length: 5, 5\r\n\r\n", false},
		{"a negative length", statusLine + "Content-Length: -5\r\n\r\n", false},
		{"a length with a blank", statusLine + "Content-Length: 1 2\r\n\r\n", false},
		{"a hexadecimal length", statusLine + "Content-Length: 0x5\r\n\r\n", false},
		{"an empty length", statusLine + "Content-Length:\r\n\r\n", false},
		{"a length too long", statusLine + "Content-Length: 99999999999999999999\r\n\r\n", false},
		{"a folded length", statusLine + "Content-Length: 1\r\n 2\r\n\r\n", false},
		{"another encoding", statusLine + "Transfer-Encoding: gzip\r\n\r\n", false},
		{"two encodings", statusLine + "Transfer-Encoding: gzip, chunked\r\n\r\n", false},
		{"chunked twice", statusLine + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"a length and chunked", statusLine + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", false},
	}
	for _, c := range cases {
		var head validator.ResponseHead
		end, err := head.Check([]byte(c.head + "body"))
		if c.valid != (err == nil && end == len(c.head)) {
			t.Errorf("%s: end %d, error %v", c.name, end, err)
		}
	}
}

// Guards against a result that depends on how the bytes arrive, and against a spoiled byte
// anywhere in a head that is accepted with another meaning than other readers give it.
func TestSpoiledResponseHead(t *testing.T) {
	heads := []string{
		statusLine + "X-Id: 1\r\nContent-Length: 5\r\nX-Last: s\r\n\r\n",
		"HTTP/1.0 500 Error\r\nTransfer-Encoding: chunked\r\nX-Folded: a\r\n b\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n\r\n",
	}
	tester.Check(t, func(t *rapid.T) {
		data := []byte(rapid.SampledFrom(heads).Draw(t, "head"))
		for range rapid.IntRange(1, 2).Draw(t, "spoiled bytes") {
			data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		var whole, piecewise validator.ResponseHead
		end, err := whole.Check(data)
		var pieceEnd int
		var pieceErr error
		for n := 1; n <= len(data) && pieceErr == nil && pieceEnd == 0; n++ {
			pieceEnd, pieceErr = piecewise.Check(data[:n])
		}
		if pieceEnd != end || (pieceErr == nil) != (err == nil) {
			t.Fatalf("%q: end %d, error %v; piece by piece %d, %v", data, end, err, pieceEnd, pieceErr)
		}
		if err != nil || end == 0 {
			return
		}
		reference, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
		if err != nil {
			t.Fatalf("%q is accepted, net/http says %v", data, err)
		}
		_ = reference.Body.Close()
		if got := string(data[9:12]); !strings.HasPrefix(reference.Status, got) {
			t.Errorf("%q has status %s for net/http", data, reference.Status)
		}
	})
}

// Guards against a trailer field that other readers understand as something else.
func TestCheckTrailer(t *testing.T) {
	for _, line := range []string{"X-End: 1", "X-End:"} {
		if err := validator.CheckTrailer([]byte(line)); err != nil {
			t.Errorf("%q: %v", line, err)
		}
	}
	for _, line := range []string{"X End: 1", "X-End", ": 1", "X-End: \x00", "X-\x01: 1", " X-End: 1"} {
		if validator.CheckTrailer([]byte(line)) == nil {
			t.Errorf("%q is accepted", line)
		}
	}
}
