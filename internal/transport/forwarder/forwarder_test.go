package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/forwarder"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestForwarder(t *testing.T) { tester.RunSpecs(t, "forwarder") }

// rawServer reads whole requests, counts them and responds with fixed bytes.
type rawServer struct {
	listener     net.Listener
	requests     atomic.Int64
	answer       string
	neverAnswers bool
	// keepOpen keeps a connection open after a response.
	keepOpen bool
}

func (s *rawServer) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.handle(conn)
	}
}

func (s *rawServer) handle(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.requests.Add(1)
		if s.neverAnswers {
			time.Sleep(2 * time.Second)
			return
		}
		if _, err := conn.Write([]byte(s.answer)); err != nil || !s.keepOpen {
			return
		}
	}
}

func startRaw(server *rawServer) identifier.Address {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server.listener = listener
	DeferCleanup(listener.Close)
	go server.serve()
	return identifier.Address(listener.Addr().String())
}

func send(address identifier.Address, method string, timeout timer.Millis) forwarder.Result {
	f := newForwarder(address)
	return sendWith(f, method, timeout)
}

func newForwarder(address identifier.Address) *forwarder.Forwarder {
	return forwarder.New(forwarder.Config{
		Address: address, MaxConnections: 4, ConnectTimeout: timer.Second, MaxAnswerBytes: 1 << 20,
	})
}

func sendWith(f *forwarder.Forwarder, method string, timeout timer.Millis) forwarder.Result {
	call := newCall()
	call.Request.Header.SetMethod(method)
	call.Request.Header.Set("Idempotency-Key", "k-1")
	return f.Send(call, timeout)
}

// newCall returns a GET request.
func newCall() *exchanger.Call {
	call := &exchanger.Call{Request: &exchanger.Request{}, Response: &fasthttp.Response{}}
	call.Request.Header.SetRequestURI("/orders")
	call.Request.Header.SetHost("backend")
	return call
}

var _ = Describe("the result of a request", func() {
	cases := []struct {
		name   string
		server rawServer
		want   forwarder.Result
	}{
		{"whole response", rawServer{answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", keepOpen: true}, forwarder.Answered},
		{"whole chunked response", rawServer{answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", keepOpen: true}, forwarder.Answered},
		{"closes after reading", rawServer{answer: ""}, forwarder.ConnectionBroken},
		{"truncated body", rawServer{answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"}, forwarder.Incomplete},
		{"truncated chunked body", rawServer{answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"}, forwarder.Incomplete},
		{"body that ends with the connection", rawServer{answer: "HTTP/1.1 200 OK\r\n\r\nok"}, forwarder.Incomplete},
		{"truncated header", rawServer{answer: "HTTP/1.1 200 OK\r\nConte"}, forwarder.Incomplete},
		{"no response", rawServer{neverAnswers: true}, forwarder.TimedOut},
	}
	for _, method := range []string{"GET", "PUT", "POST"} {
		for i := range cases {
			c := &cases[i]
			It("guards against a hidden second request and a partial response: "+method+", "+c.name, func() {
				server := &rawServer{answer: c.server.answer, neverAnswers: c.server.neverAnswers, keepOpen: c.server.keepOpen}
				address := startRaw(server)
				Expect(send(address, method, 300)).To(Equal(c.want))
				Expect(server.requests.Load()).To(Equal(int64(1)))
			})
		}
	}

	It("guards against reporting a refused connection as possibly run", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := identifier.Address(listener.Addr().String())
		Expect(listener.Close()).To(Succeed())
		Expect(send(address, "POST", 500)).To(Equal(forwarder.ConnectionRefused))
	})

	It("guards against losing a request on a pooled connection that was closed", func() {
		server := &rawServer{answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}
		f := newForwarder(startRaw(server))
		for range 3 {
			Expect(sendWith(f, "POST", timer.Second)).To(Equal(forwarder.Answered))
			// The server closes after each response without announcing it.
			time.Sleep(20 * time.Millisecond)
		}
		Expect(server.requests.Load()).To(Equal(int64(3)))
	})
})
