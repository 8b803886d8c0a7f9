package exchanger

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// resettingServer answers a long request at once with a response without a length, sends a
// part of its body, and resets the connection while the request is still being written.
func resettingServer(t *testing.T) identifier.Address {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = conn.Read(make([]byte, 1<<10))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\npart of the answer")
				time.Sleep(2 * time.Millisecond) // The part arrives before the reset.
				resetOnClose(conn)
				_ = conn.Close()
			}()
		}
	}()
	return identifier.Address(listener.Addr().String())
}

// Guards against a part of an answer that is taken for the whole: the reset is seen by the
// write of the request, and the read after it finds the end of the stream.
func TestResetDuringUpload(t *testing.T) {
	address := resettingServer(t)
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprintf("passed on %v", stream), func(t *testing.T) {
			pool := NewPool(PoolConfig{Address: address, ConnectTimeout: timer.Second})
			for round := range 200 {
				request, response := &Request{}, &fasthttp.Response{}
				request.Header.SetRequestURI("/")
				request.Header.SetHost("test")
				request.Header.SetMethod(fasthttp.MethodPost)
				request.Body = NewContent(make([]byte, 8<<20))
				if body, complete := receiveCall(pool, &Call{Request: request, Response: response, Stream: stream}); complete {
					t.Fatalf("round %d: %q was taken for a whole answer", round, body)
				}
			}
		})
	}
}

// Guards against refusing an answer without a length to a request that was written whole.
func TestUploadAnsweredWithoutLength(t *testing.T) {
	address := tester.StartServer(t, func(conn net.Conn, _ *fasthttp.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole answer")
		return false
	})
	for _, stream := range []bool{false, true} {
		request, response := &Request{}, &fasthttp.Response{}
		request.Header.SetRequestURI("/")
		request.Header.SetHost("test")
		request.Header.SetMethod(fasthttp.MethodPost)
		request.Body = NewContent(make([]byte, 1<<20))
		pool := NewPool(PoolConfig{Address: address, ConnectTimeout: timer.Second})
		if body, complete := receiveCall(pool, &Call{Request: request, Response: response, Stream: stream}); !complete || body != "whole answer" {
			t.Errorf("passed on %v: complete %v with body %q", stream, complete, body)
		}
	}
}
