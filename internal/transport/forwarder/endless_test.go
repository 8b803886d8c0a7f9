package forwarder_test

import (
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/forwarder"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Guards against bytes without end, in a head or in a body, that take the memory of the
// caller or last beyond the timeout.
func TestEndlessAnswer(t *testing.T) {
	const (
		head      = "HTTP/1.1 200 OK\r\n"
		maxAnswer = 1 << 20
		maxHeld   = 16 << 20
		timeout   = 2 * timer.Second
	)
	cases := []struct{ name, start, repeated string }{
		{"in a status line", "HTTP/1.1 200 O", "K"},
		{"in fields", head, "X-A: aaaaaaaaaaaaaaaa\r\n"},
		{"in one field", head + "X-A: ", "a"},
		{"of empty lines", "", "\r\n"},
		{"of other bytes", "", "\x00\x01\xff"},
		{"of interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"in a body without a length", head + "\r\n", "body"},
		{"in a long body", head + "Content-Length: 1000000000000\r\n\r\n", "body"},
		{"of chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
		{"in one chunk", head + "Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n", "body"},
		{"in a chunk's size", head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"in a chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;", "a"},
		{"in trailer fields", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: aaaaaaaaaaaaaaaa\r\n"},
		{"in one trailer field", head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", "a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := forwarder.New(forwarder.Config{Address: endlessServer(t, c.start, c.repeated), MaxConnections: 1, ConnectTimeout: timer.Second, MaxAnswerBytes: maxAnswer})
			call := newCall()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			started := time.Now()
			result := f.Send(call, timeout)
			if took := time.Since(started); took > (timeout + timer.Second).Duration() {
				t.Errorf("took %v", took)
			}
			runtime.ReadMemStats(&after)
			if held := int64(after.HeapInuse) - int64(before.HeapInuse); held > maxHeld {
				t.Errorf("%d bytes of heap in use", held)
			}
			if result == forwarder.Answered {
				t.Errorf("taken for an answer with a body of %d bytes", len(call.Response.Body()))
			}
		})
	}
}

// endlessServer sends a text and then another one again and again, until the other end
// closes or 256 MB are sent.
func endlessServer(t *testing.T, start, repeated string) identifier.Address {
	t.Helper()
	block := strings.Repeat(repeated, 1+(64<<10)/len(repeated))
	return tester.StartServer(t, func(conn net.Conn, _ *fasthttp.Request) bool {
		_, err := io.WriteString(conn, start)
		for sent := 0; err == nil && sent < 256<<20; sent += len(block) {
			_, err = io.WriteString(conn, block)
		}
		return false
	})
}
