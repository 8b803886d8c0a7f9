// Package exchanger is an HTTP/1.1 server and client that manages its connections
// itself and uses fasthttp to read and write the messages.
//
// fasthttp's own server does not notice a caller that disconnects while a handler
// runs, and its clients do not report how far a request got. Both matter here: a
// disconnect has to stop the run, and a request that is not idempotent may be
// sent again only if no byte of it was written.
//
// # Usage
//
//	server := exchanger.NewServer(exchanger.ServerConfig{Handler: handler, Limits: limits, Logger: logger})
//	go server.Serve(listener)
//
//	pool := exchanger.NewPool(exchanger.PoolConfig{Address: "10.0.0.7:8300", ConnectTimeout: 300})
//	call := &exchanger.Call{Request: request, Response: response, Deadline: deadline}
//	result := pool.Do(call) // call.Abort() from another goroutine ends it
package exchanger

import (
	"errors"
	"syscall"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("exchanger")

// PeerClosed reports whether the other end closed an idle connection. Unexpected
// bytes count as closed, since they cannot belong to the next request.
func PeerClosed(raw syscall.RawConn) bool {
	if raw == nil {
		return false
	}
	closed := false
	// Control does not block while another goroutine reads the connection; Read would.
	err := raw.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = !errors.Is(err, syscall.EAGAIN)
	})
	return closed || err != nil
}
