package forwarder_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/forwarder"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Guards against heads that are no answer in the protocol and are taken for one, whether
// their bytes arrive together or one by one, and on a connection that had carried others.
func TestOddHeads(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nwhole answer"
	cases := []struct {
		name, answer string
		valid        bool
	}{
		{"an answer", whole, true},
		{"after an interim one", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + whole, true},
		{"status 000", strings.Replace(whole, "200", "000", 1), false},
		{"status 099", strings.Replace(whole, "200", "099", 1), false},
		{"a blank in a name", strings.Replace(whole, "Content", "X Odd: 1\r\nContent", 1), false},
		{"a blank after a name", strings.Replace(whole, "Length:", "Length :", 1), false},
		{"a control byte in a name", strings.Replace(whole, "Content", "X-\x01Odd: 1\r\nContent", 1), false},
		{"two lengths", strings.Replace(whole, "Content", "Content-Length: 5\r\nContent", 1), false},
		{"an odd interim one", "HTTP/1.1 103 Early Hints\r\nX Odd: x\r\n\r\n" + whole, false},
	}
	for _, c := range cases {
		for _, bytewise := range []bool{false, true} {
			answers := 0
			address := tester.StartServer(t, func(conn net.Conn, _ *fasthttp.Request) bool {
				text := whole
				if answers++; answers%2 == 0 {
					text = c.answer
				}
				if !bytewise {
					_, err := io.WriteString(conn, text)
					return err == nil
				}
				for _, b := range []byte(text) {
					if _, err := conn.Write([]byte{b}); err != nil {
						return false
					}
					time.Sleep(50 * time.Microsecond)
				}
				return true
			})
			f := forwarder.New(forwarder.Config{Address: address, MaxConnections: 1, ConnectTimeout: timer.Second, MaxAnswerBytes: 1 << 20})
			for round, valid := range []bool{true, c.valid} {
				call := newCall()
				result := f.Send(call, 5*timer.Second)
				if answered := result == forwarder.Answered && string(call.Response.Body()) == "whole answer"; answered != valid || !valid && result != forwarder.Incomplete {
					t.Errorf("%s, byte by byte %v, request %d: result %d with body %q", c.name, bytewise, round, result, call.Response.Body())
				}
			}
		}
	}
}
