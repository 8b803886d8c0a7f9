package exchanger_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// always responds to every request with the same text.
func always(text string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, reader *bufio.Reader) {
		for {
			if _, ok := readRequest(reader); !ok {
				return
			}
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	}
}

// once responds to one request and closes the connection. With reset, unread data
// is lost.
func once(text string, reset bool) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		_, _ = io.WriteString(conn, text)
		if reset {
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
}

var _ = Describe("a call", func() {
	cases := []struct {
		name   string
		script func(net.Conn, *bufio.Reader)
		result exchanger.Result
		body   string
	}{
		{"a whole response", always(reply("1", "whole")), exchanger.Answered, "whole"},
		{"an interim response first", always("HTTP/1.1 103 Early Hints\r\n\r\n" + reply("1", "whole")), exchanger.Answered, "whole"},
		{"a late response to another request first", always(reply("0", "late") + reply("1", "own")), exchanger.Answered, "own"},
		{"a chunked response", always("HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), exchanger.Answered, "abc"},
		{"a response that ends with its connection", once("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc", false), exchanger.Answered, "abc"},
		{"a response without a length whose connection is reset", once("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc", true), exchanger.Incomplete, ""},
		{"a truncated response", once("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nabc", false), exchanger.Incomplete, ""},
		{"a truncated chunk", once("HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc", false), exchanger.Incomplete, ""},
		{"bytes that are not HTTP", once("\x00\x01garbage\r\n\r\n", false), exchanger.Incomplete, ""},
		{"no response", once("", false), exchanger.ConnectionBroken, ""},
	}
	for _, c := range cases {
		It("guards against a wrong result or body: "+c.name, func() {
			call := newCall("1")
			Expect(newPool(startRaw(c.script)).Do(call)).To(Equal(c.result))
			if c.result == exchanger.Answered {
				Expect(string(call.Response.Body())).To(Equal(c.body))
			}
		})
	}

	It("guards against an extra response that is taken for the next request's", func() {
		var connections atomic.Int64
		pool := newPool(startRaw(func(conn net.Conn, reader *bufio.Reader) {
			connections.Add(1)
			for {
				id, ok := readRequest(reader)
				if !ok {
					return
				}
				_, _ = io.WriteString(conn, reply(id, id)+reply(id, "extra"))
			}
		}))
		for _, id := range []string{"1", "2", "3"} {
			call := newCall(id)
			Expect(pool.Do(call)).To(Equal(exchanger.Answered))
			Expect(string(call.Response.Body())).To(Equal(id))
			time.Sleep(5 * time.Millisecond) // The extra response arrives.
		}
		Expect(connections.Load()).To(BeNumerically("==", 3))
	})

	It("guards against sending a request that is not idempotent on a connection that was idle too long", func() {
		pool := newPool(startRaw(always(reply("1", ""))))
		Expect(pool.Do(newCall("1"))).To(Equal(exchanger.Answered))
		time.Sleep(20 * time.Millisecond)
		careful := newCall("1")
		careful.MaxReuseIdle = 10
		Expect(pool.Do(careful)).To(Equal(exchanger.Answered))
		Expect(careful.Reused).To(BeFalse())
		again := newCall("1")
		Expect(pool.Do(again)).To(Equal(exchanger.Answered))
		Expect(again.Reused).To(BeTrue())
	})

	It("guards against reusing a connection beyond the other end's Keep-Alive timeout", func() {
		pool := newPool(startRaw(always("HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n")))
		for range 2 {
			call := newCall("1")
			Expect(pool.Do(call)).To(Equal(exchanger.Answered))
			Expect(call.Reused).To(BeFalse())
		}
	})

	It("guards against a request on a connection that the other end has closed", func() {
		pool := newPool(startRaw(once(reply("1", ""), false)))
		for range 3 {
			Expect(pool.Do(newCall("1"))).To(Equal(exchanger.Answered))
			time.Sleep(20 * time.Millisecond)
		}
		Expect(pool.DialCount()).To(BeNumerically("==", 3))
	})

	It("guards against an unresponsive connection that fails more than one request", func() {
		var connections atomic.Int64
		pool := newPool(startRaw(func(conn net.Conn, reader *bufio.Reader) {
			if connections.Add(1) > 1 {
				always(reply("1", ""))(conn, reader)
				return
			}
			readRequest(reader)
			time.Sleep(testTimeout)
		}))
		silent := newCall("1")
		silent.Deadline = time.Now().Add(50 * time.Millisecond)
		Expect(pool.Do(silent)).To(Equal(exchanger.TimedOut))
		Expect(pool.Do(newCall("1"))).To(Equal(exchanger.Answered))
	})

	It("guards against a canceled request that continues", func() {
		closed := make(chan struct{})
		pool := newPool(startRaw(func(_ net.Conn, reader *bufio.Reader) {
			readRequest(reader)
			_, _ = reader.ReadByte()
			close(closed)
		}))
		call := newCall("1")
		time.AfterFunc(30*time.Millisecond, call.Abort)
		Expect(pool.Do(call)).To(Equal(exchanger.Aborted))
		Eventually(closed).WithTimeout(testTimeout).Should(BeClosed())
		Expect(pool.Do(call)).To(Equal(exchanger.NotSent), "an aborted call must not be sent")
	})

	It("guards against the rest of a body that is read as the next request", func() {
		second := make(chan string, 1)
		pool := newPool(startRaw(func(conn net.Conn, reader *bufio.Reader) {
			head, _ := reader.ReadString('\n')
			if !strings.HasPrefix(head, "POST") {
				second <- head
				return
			}
			_, _ = io.WriteString(conn, reply("1", "early"))
			time.Sleep(100 * time.Millisecond)
		}))
		call := newCall("1")
		call.Request.Header.SetMethod("POST")
		call.Request.Body = exchanger.NewContent(make([]byte, 8<<20))
		Expect(pool.Do(call)).To(Equal(exchanger.Answered))
		Expect(string(call.Response.Body())).To(Equal("early"))
		next := newCall("2")
		next.Deadline = time.Now().Add(200 * time.Millisecond)
		pool.Do(next)
		Expect(next.Reused).To(BeFalse())
		Expect(<-second).To(HavePrefix("GET /a//b/../c?x=1 "))
	})

	It("guards against a refused connection that is taken for a request that may have run", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		Expect(newPool(identifier.Address(address)).Do(newCall("1"))).To(Equal(exchanger.ConnectionRefused))
	})
})
