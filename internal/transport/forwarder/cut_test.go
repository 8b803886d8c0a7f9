package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/forwarder"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Guards against an answer that ends at any byte and is taken for a whole one: in its head
// or its body, by a close or a reset.
func TestCutAnswer(t *testing.T) {
	cases := []struct{ name, head, body string }{
		{"length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 12\r\nX-Last: s\r\n\r\n", "whole answer"},
		{"length zero", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\nX-Last: s\r\n\r\n", ""},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Last: s\r\n\r\n", "5\r\nwhole\r\n7\r\n answer\r\n0\r\n\r\n"},
		{"chunked with a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Last: s\r\n\r\n", "c\r\nwhole answer\r\n0\r\nX-End: 1\r\n\r\n"},
		{"after an interim one", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Last: s\r\n\r\n", "whole answer"},
		{"no content", "HTTP/1.1 204 No Content\r\nX-Id: 1\r\nX-Last: s\r\n\r\n", ""},
	}
	for _, c := range cases {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", c.name, reset), func(t *testing.T) {
				t.Parallel()
				answer := &atomic.Value{}
				f := forwarder.New(forwarder.Config{Address: cutServer(t, answer, reset), MaxConnections: 4, ConnectTimeout: timer.Second, MaxAnswerBytes: 1 << 20})
				whole := c.head + c.body
				for end := range len(whole) {
					call := newCall()
					answer.Store(whole[:end])
					if result := f.Send(call, 5*timer.Second); result == forwarder.Answered {
						t.Errorf("%q was taken for a whole answer: %d, %q", whole[:end], call.Response.StatusCode(), call.Response.Body())
					}
				}
			})
		}
	}
}

// cutServer answers each request with the bytes of an answer, then closes.
func cutServer(t *testing.T, answer *atomic.Value, reset bool) identifier.Address {
	t.Helper()
	return tester.StartServer(t, func(conn net.Conn, _ *fasthttp.Request) bool {
		_, _ = io.WriteString(conn, answer.Load().(string))
		if reset {
			time.Sleep(time.Millisecond) // The bytes arrive before the reset.
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
}
