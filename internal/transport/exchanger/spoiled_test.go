package exchanger

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Guards against heads that are no answer in the protocol and are taken for one: a status
// of 000, blanks or control bytes in names, fields that contradict each other.
func TestOddHeads(t *testing.T) {
	const body = "\r\nwhole answer"
	cases := []struct{ name, answer string }{
		{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 12\r\n" + body},
		{"status 001, then an answer", "HTTP/1.1 001 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + body},
		{"status 999", "HTTP/1.1 999 OK\r\nContent-Length: 12\r\n" + body},
		{"another protocol, then an answer", "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + body},
		{"an odd version", "HTTP/9.9 200 OK\r\nContent-Length: 12\r\n" + body},
		{"a blank in a name", "HTTP/1.1 200 OK\r\nX Id: 1\r\nContent-Length: 12\r\n" + body},
		{"a blank after a name", "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n" + body},
		{"a blank in the name of the length", "HTTP/1.1 200 OK\r\nContent Length: 5\r\n" + body},
		{"a control byte in a name", "HTTP/1.1 200 OK\r\nX-\x01Id: 1\r\nContent-Length: 12\r\n" + body},
		{"a control byte in the name of the length", "HTTP/1.1 200 OK\r\nContent-\x01Length: 5\r\n" + body},
		{"a control byte in a value", "HTTP/1.1 200 OK\r\nX-Id: \x01\r\nContent-Length: 12\r\n" + body},
		{"a length that cannot be read", "HTTP/1.1 200 OK\r\nContent-Length: twelve\r\n" + body},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 12\r\n" + body},
		{"a length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
		{"an unknown encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" + body},
		{"line feeds alone", "HTTP/1.1 200 OK\nContent-Length: 12\n\nwhole answer"},
		{"an odd trailer field", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nwhole answer\r\n0\r\nX End: 1\r\n\r\n"},
		{"a control byte in a chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc;\x01\r\nwhole answer\r\n0\r\n\r\n"},
	}
	for _, c := range cases {
		for _, stream := range []bool{false, true} {
			answer := &atomic.Value{}
			answer.Store(c.answer)
			pool := NewPool(PoolConfig{Address: cutServer(t, answer, false), ConnectTimeout: timer.Second})
			if body, complete := receiveCut(pool, stream); complete {
				t.Errorf("%s, passed on %v: taken for an answer with body %q", c.name, stream, body)
			}
		}
	}
}

// spoilingBytes stand for the kinds of bytes: control bytes, blanks, separators, digits,
// letters, and bytes above ASCII.
var spoilingBytes = []byte{0, 1, '\t', '\n', '\r', ' ', ',', '0', '9', ':', ';', 'a', deleteByte, 0x80, 0xff}

const deleteByte = 0x7f

// Guards against an answer with one wrong byte, anywhere, that is taken for another answer
// than every other reader takes it for.
func TestSpoiledByte(t *testing.T) {
	for _, a := range cutAnswers {
		if strings.HasPrefix(a.head, "HTTP/1.1 103") {
			continue // net/http.ReadResponse returns the interim response.
		}
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			answer := &atomic.Value{}
			pool := NewPool(PoolConfig{Address: cutServer(t, answer, false), ConnectTimeout: timer.Second})
			whole := a.head + a.body
			for at := range len(whole) {
				for _, b := range spoilingBytes {
					spoiled := []byte(whole)
					spoiled[at] = b
					answer.Store(string(spoiled))
					got, complete := receiveCut(pool, at%2 == 0)
					if !complete {
						continue
					}
					if want, err := referenceBody(spoiled); err != nil || got != want {
						t.Errorf("%q was taken for an answer with body %q; net/http reads %q, error %v", spoiled, got, want, err)
					}
				}
			}
		})
	}
}

// referenceBody returns the body that net/http reads.
func referenceBody(answer []byte) (string, error) {
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(answer)), nil)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
