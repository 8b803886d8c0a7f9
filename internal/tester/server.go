package tester

import (
	"bufio"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// StartServer starts a server on loopback that calls answer for each request, until it
// returns false. Answer writes whatever bytes it wants to the connection, which is closed
// after it.
func StartServer(t testing.TB, answer func(conn net.Conn, request *fasthttp.Request) bool) identifier.Address {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
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
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					var request fasthttp.Request
					if request.Read(reader) != nil || !answer(conn, &request) {
						return
					}
				}
			}()
		}
	}()
	return identifier.Address(listener.Addr().String())
}
