package exchanger_test

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestExchanger(t *testing.T) { tester.RunSpecs(t, "exchanger") }

const testTimeout = 5 * time.Second

func limits() exchanger.Limits {
	return exchanger.Limits{
		HeaderBytes: 4 << 10, BodyBytes: 64 << 10,
		HeaderTimeout: 2 * timer.Second, IdleTimeout: 2 * timer.Second,
	}
}

func reject(x *exchanger.Exchange, problem exchanger.Problem) {
	x.Response.SetStatusCode(map[exchanger.Problem]int{
		exchanger.Malformed: 400, exchanger.HeaderTooLarge: 431, exchanger.BodyTooLarge: 413,
		exchanger.OutOfMemory: 503, exchanger.TooManyConnections: 503,
	}[problem])
}

// startServer starts a server with a handler and returns it with its address.
func startServer(handler exchanger.HandlerFunc) (*exchanger.Server, string) {
	server := exchanger.NewServer(exchanger.ServerConfig{
		Handler: handler, Limits: limits, Reject: reject, Clock: timer.NewSystem(), Logger: slog.New(slog.DiscardHandler),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	return server, listener.Addr().String()
}

// client is a caller's connection that sends raw text.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) *client {
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	Expect(conn.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
	return &client{conn, bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
}

func (c *client) answer() *fasthttp.Response {
	response := &fasthttp.Response{}
	ExpectWithOffset(1, response.Read(c.reader)).To(Succeed())
	return response
}

// ended reports whether the server closes the connection without another byte.
func (c *client) ended() bool {
	_, err := c.reader.ReadByte()
	return err == io.EOF
}

// startRaw starts a listener that runs a script on each connection.
func startRaw(script func(conn net.Conn, reader *bufio.Reader)) identifier.Address {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return identifier.Address(listener.Addr().String())
}

// readRequest reads a request without a body and returns its id.
func readRequest(reader *bufio.Reader) (string, bool) {
	var request fasthttp.Request
	if err := request.Read(reader); err != nil {
		return "", false
	}
	return string(request.Header.Peek("X-Id")), true
}

func newPool(address identifier.Address) *exchanger.Pool {
	return exchanger.NewPool(exchanger.PoolConfig{
		Address: address, ConnectTimeout: timer.Second, MaxIdle: 4, IdleTimeout: 2 * timer.Second,
	})
}

func newCall(id string) *exchanger.Call {
	call := &exchanger.Call{
		Request: &exchanger.Request{}, Response: &fasthttp.Response{},
		Deadline: time.Now().Add(testTimeout), MaxReuseIdle: 2 * timer.Second,
		MatchResponse: func(h *fasthttp.ResponseHeader) bool { return string(h.Peek("X-Id")) == id },
	}
	call.Request.Header.SetRequestURI("/a//b/../c?x=1")
	call.Request.Header.SetHost("host")
	call.Request.Header.Set("X-Id", id)
	return call
}
