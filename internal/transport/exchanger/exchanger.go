// Package exchanger serves and sends HTTP/1.1 requests on connections whose
// reads, writes and ends it sees itself. fasthttp reads and writes the messages.
//
// fasthttp's own server does not notice a caller that hangs up while a handler
// runs, and its clients do not tell how far a request got. Both matter here: a
// hang-up has to stop the run, and a request that may not be repeated may only
// be sent again if no byte of it was written.
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

// PeerClosed peeks at an idle socket. Bytes that nobody asked for count like a
// closed connection, since they cannot belong to the next request.
func PeerClosed(raw syscall.RawConn) bool {
	if raw == nil {
		return false
	}
	closed := false
	// Control does not wait for a reader of the connection, as Read would.
	err := raw.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = !errors.Is(err, syscall.EAGAIN)
	})
	return closed || err != nil
}
