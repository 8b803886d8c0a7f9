package exchanger_test

import (
	"bufio"
	"bytes"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Guards against a caller's input that crashes the daemon or gets a response that
// is not valid HTTP.
func FuzzServer(f *testing.F) {
	for _, text := range []string{
		get("/"), get("/") + get("/2"), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "\x00\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		server := exchanger.NewServer(exchanger.ServerConfig{
			Handler: exchanger.HandlerFunc(func(x *exchanger.Exchange) { x.Response.SetBody(x.Request.Body.Bytes()) }),
			Limits:  limits, Reject: reject, Clock: timer.NewSystem(), Logger: slog.New(slog.DiscardHandler),
		})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		_, _ = conn.Write(data)
		_ = conn.(*net.TCPConn).CloseWrite()
		answers, _ := io.ReadAll(conn)
		reader := bufio.NewReader(bytes.NewReader(answers))
		for {
			if _, err := reader.Peek(1); err != nil {
				return
			}
			var response fasthttp.Response
			response.SkipBody = false
			if err := response.Read(reader); err != nil {
				return // The last response was truncated when the caller closed.
			}
		}
	})
}

// Guards against bytes from a backend server that crash the daemon or are accepted
// as a whole response although they are not one.
func FuzzPool(f *testing.F) {
	for _, text := range []string{reply("1", "whole"), reply("0", "late") + reply("1", "own"), "HTTP/1.1 200 OK\r\n\r\nx", "\x00"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			readRequest(bufio.NewReader(conn))
			_, _ = conn.Write(data)
		}()
		pool := exchanger.NewPool(exchanger.PoolConfig{
			Address: identifier.Address(listener.Addr().String()), ConnectTimeout: timer.Second, MaxIdle: 1, IdleTimeout: timer.Second,
		})
		defer pool.CloseIdle()
		call := newCall("1")
		if pool.Do(call) != exchanger.Answered {
			return
		}
		if id := string(call.Response.Header.Peek("X-Id")); id != "1" {
			t.Fatalf("response with id %q was accepted, want \"1\"", id)
		}
		var check fasthttp.Response
		if err := check.Read(bufio.NewReader(bytes.NewReader(data))); err != nil && !bytes.Contains(data, []byte("\r\n")) {
			t.Fatalf("%q was accepted as a response", data)
		}
	})
}
