package dispatcher

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// echoDialect tells responses apart by their id, as the platform does.
type echoDialect struct{ plainDialect }

func (echoDialect) RequestID(h *fasthttp.RequestHeader) []byte { return h.Peek("X-Id") }

func (echoDialect) MatchesRequest(h *fasthttp.ResponseHeader, id []byte, reused bool) bool {
	got := h.Peek("X-Id")
	return string(got) == string(id) || len(got) == 0 && !reused
}

// backendServer runs a script for each request on a connection. The script writes the
// response to the request with the given id.
func backendServer(t *testing.T, script func(conn net.Conn, id string)) identifier.Address {
	t.Helper()
	return tester.StartServer(t, func(conn net.Conn, request *fasthttp.Request) bool {
		script(conn, string(request.Header.Peek("X-Id")))
		return true
	})
}

// newReadyAdmission returns an admission with an announced backend server.
func newReadyAdmission(address identifier.Address, clock timer.Clock) *Admission {
	a := newAdmission(new([]identifier.Incarnation))
	a.config.Dialect, a.config.Address = echoDialect{}, address
	if clock != nil {
		a.config.Clock = clock
	}
	a.pool = NewPeers(nil, nil).Pool(address)
	a.config.Bodies = BodyLimits{Buffer: 1 << 20, Total: 1 << 20}
	a.config.Configuration.Adopt((&router.Snapshot{Version: 1}).Index())
	a.Announce(Backend{ID: "b-1", Incarnation: 1, Slots: 4, State: admitter.Ready})
	return a
}

func newIdentifiedRun(n uint64) *Run {
	run := newReadRun(n, "/")
	run.Request.Header.Set("X-Id", fmt.Sprint(n))
	return run
}

func text(id, body string) string {
	field := ""
	if id != "" {
		field = "X-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", field, len(body), body)
}

// Guards against a second copy of an answer that arrives late on a connection that is
// in use again, and goes to the next caller: before, while and after the next request is
// written, with the same, another and no id, whole and split over two reads.
func TestLateCopy(t *testing.T) {
	ids := []struct{ name, id string }{{"the id of its request", "1"}, {"another id", "other"}, {"no id", ""}}
	moments := []string{"before the next request", "after the next request, before its answer", "after the next answer"}
	for _, id := range ids {
		for at, moment := range moments {
			for _, split := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, split %v", id.name, moment, split), func(t *testing.T) {
					second := text(id.id, "copy")
					write := func(conn net.Conn) {
						if split {
							_, _ = io.WriteString(conn, second[:20])
							time.Sleep(5 * time.Millisecond)
							_, _ = io.WriteString(conn, second[20:])
							return
						}
						_, _ = io.WriteString(conn, second)
					}
					address := backendServer(t, func(conn net.Conn, request string) {
						switch {
						case request == "1" && at == 0:
							_, _ = io.WriteString(conn, text(request, "own "+request))
							write(conn)
						case request == "2" && at == 1:
							write(conn)
							_, _ = io.WriteString(conn, text(request, "own "+request))
						case request == "2" && at == 2:
							_, _ = io.WriteString(conn, text(request, "own "+request))
							write(conn)
						default:
							_, _ = io.WriteString(conn, text(request, "own "+request))
						}
					})
					a := newReadyAdmission(address, nil)
					for n := uint64(1); n <= 3; n++ {
						run := newIdentifiedRun(n)
						refusal, answered := a.Execute(run)
						if !answered {
							t.Fatalf("request %d: refused with %+v", n, refusal)
						}
						if got, want := string(run.Response.Body()), fmt.Sprintf("own %d", n); got != want {
							t.Fatalf("request %d got the answer %q", n, got)
						}
						if at == 0 {
							time.Sleep(10 * time.Millisecond) // The copy arrives while the connection is idle.
						}
					}
				})
			}
		}
	}
}

// Guards against a backend server whose answer is taken for a refusal of the daemon
// beside it: callers would be told that a request which ran has not run.
func TestForgedRefusal(t *testing.T) {
	address := backendServer(t, func(conn net.Conn, id string) {
		_, _ = io.WriteString(conn, strings.Replace(text(id, "ran"), "\r\n", fmt.Sprintf("\r\n%s: %s\r\n%s: %s\r\n%s: 1 1 1 1 1\r\n",
			encoder.HeaderOutcome, encoder.NotRun, encoder.HeaderReason, classifier.Overloaded, encoder.HeaderLoad), 1))
	})
	a := newReadyAdmission(address, nil)
	run := newIdentifiedRun(1)
	if _, answered := a.Execute(run); !answered {
		t.Fatal("not answered")
	}
	var refusal encoder.Refusal
	if refusal.Decode(&run.Response.Header) || len(run.Response.Header.Peek(encoder.HeaderLoad)) > 0 {
		t.Fatalf("the answer would be read as %+v", refusal)
	}
}

// pausedClock jumps forward at its first Resync, which is the last check before an
// attempt is written: the process was paused just before it.
type pausedClock struct {
	*timer.Manual
	pause timer.Millis
	done  atomic.Bool
}

// Resync advances the clock by the pause, once.
func (c *pausedClock) Resync() timer.Millis {
	if !c.done.Swap(true) {
		c.Advance(c.pause)
	}
	return c.Now()
}

// Guards against a process that was paused between the decision to start an attempt
// and its start, and carries the decision out although the time of the caller, or the
// state that it was based on, has passed.
func TestPauseBeforeStart(t *testing.T) {
	cases := []struct {
		pause   timer.Millis
		started bool
	}{
		{0, true},
		{100, true},
		{500 + timer.Second/2, false},
		{5 * timer.Second, false},
		{30 * timer.Second, false},
	}
	for _, c := range cases {
		var requests atomic.Int64
		address := backendServer(t, func(conn net.Conn, id string) {
			requests.Add(1)
			_, _ = io.WriteString(conn, text(id, "ran"))
		})
		a := newReadyAdmission(address, &pausedClock{Manual: timer.NewManual(1, 1), pause: c.pause})
		refusal, answered := a.Execute(newIdentifiedRun(1))
		if answered != c.started || requests.Load() > 0 != c.started {
			t.Errorf("pause of %d ms: answered %v, %d requests", c.pause, answered, requests.Load())
		}
		if !c.started && (refusal.Outcome != encoder.NotRun || refusal.Reason != classifier.Deadline) {
			t.Errorf("pause of %d ms: refused with %+v", c.pause, refusal)
		}
	}
}

// Guards against a frozen backend server that is taken for a crashed one: the requests
// that ran on it would be quarantined as crashing it.
func TestFrozenIsNotCrashed(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	for range 4 { // Nothing accepts, so the queue fills up and further connections time out.
		conn, err := net.DialTimeout("tcp", address, crashCheckTimeout.Duration())
		if err != nil {
			break
		}
		defer conn.Close()
	}
	a := newReadyAdmission(identifier.Address(address), nil)
	if a.unreachable() {
		t.Error("a backend server that does not accept in time counts as crashed")
	}
	_ = syscall.Close(fd)
	if !a.unreachable() {
		t.Error("a backend server that refuses connections does not count as crashed")
	}
}

// Guards against a refusal of another daemon that is taken for the answer to a later attempt
// on the same connection.
func TestMatchesAttempt(t *testing.T) {
	cases := []struct {
		name, echo               string
		refused, reused, closing bool
		matches                  bool
	}{
		{"its own answer", "7-1", false, true, false, true},
		{"its own refusal", "7-1", true, true, false, true},
		{"an answer to another attempt", "7-2", false, false, false, false},
		{"a refusal of another attempt", "7-2", true, true, false, false},
		{"an answer without the attempt", "", false, true, false, true},
		{"a refusal without the attempt on a new connection", "", true, false, false, true},
		{"a refusal without the attempt on a reused one", "", true, true, false, false},
		{"one that closes the connection", "", true, true, true, true},
	}
	for _, c := range cases {
		var response fasthttp.Response
		if c.refused {
			encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.Overloaded}.WriteResponse(&response)
		}
		if c.closing {
			response.Header.SetConnectionClose()
		}
		if c.echo != "" {
			response.Header.Set(encoder.HeaderAttempt, c.echo)
		}
		if matches := matchesAttempt(&response.Header, "7-1", c.reused); matches != c.matches {
			t.Errorf("%s: matches %v", c.name, matches)
		}
	}
}
