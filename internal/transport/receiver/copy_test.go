package receiver_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// repeater is a backend server that refuses requests to /refused and writes the refusal once
// more for the request after it on the same connection.
type repeater struct {
	address string
	// echoes says that answers name the attempt. Before says that the copy is written as soon
	// as the refusal was, and not when the next request has arrived.
	echoes, before bool

	mu   sync.Mutex
	runs map[string]int
}

func startRepeater(t *testing.T, echoes, before bool) *repeater {
	t.Helper()
	r := &repeater{echoes: echoes, before: before, runs: map[string]int{}}
	var mu sync.Mutex
	refusals := map[net.Conn]string{}
	r.address = string(tester.StartServer(t, func(conn net.Conn, request *fasthttp.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		refusals[conn] = r.answer(conn, request, refusals[conn])
		return true
	}))
	return r
}

// answer answers a request and returns the last refusal on the connection.
func (r *repeater) answer(conn net.Conn, request *fasthttp.Request, refusal string) string {
	echo := ""
	if r.echoes {
		echo = fmt.Sprintf("%s: %s\r\n", encoder.HeaderAttempt, request.Header.Peek(encoder.HeaderAttempt))
	}
	path := string(request.URI().Path())
	if strings.HasPrefix(path, "/refused") {
		refusal = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n", encoder.HeaderOutcome, encoder.NotRun, echo)
		_, _ = io.WriteString(conn, refusal)
		if r.before {
			_, _ = io.WriteString(conn, refusal)
		}
		return refusal
	}
	r.mu.Lock()
	r.runs[path]++
	r.mu.Unlock()
	if !r.before {
		_, _ = io.WriteString(conn, refusal)
		time.Sleep(10 * time.Millisecond)
	}
	_, _ = io.WriteString(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: 3\r\n\r\nran", echo))
	return refusal
}

func (r *repeater) runsOf(path string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[path]
}

// Guards against an earlier refusal that a backend server writes once more on a kept
// connection: a request that has run would be told as not run, or run at a second instance.
func TestRepeatedRefusal(t *testing.T) {
	for _, echoes := range []bool{false, true} {
		for _, before := range []bool{false, true} {
			t.Run(fmt.Sprintf("names the attempt %v, before the next request %v", echoes, before), func(t *testing.T) {
				first, second := startRepeater(t, echoes, before), startRepeater(t, echoes, before)
				env := newEnvironment(t, first.address, second.address)
				for n := range 8 {
					env.send(t, "POST", fmt.Sprintf("/refused/%d", n), timer.Second)
					path := fmt.Sprintf("/ran/%d", n)
					got := env.send(t, "POST", path, timer.Second)
					runs := first.runsOf(path) + second.runsOf(path)
					if runs > 1 {
						t.Errorf("request %d ran %d times", n, runs)
					}
					if got.outcome == encoder.NotRun && runs > 0 {
						t.Errorf("request %d is told as not run (%s) and has run", n, got.reason)
					}
				}
			})
		}
	}
}
