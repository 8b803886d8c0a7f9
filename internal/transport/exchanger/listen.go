package exchanger

import (
	"context"
	"net"
	"syscall"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// receiveBuffer bounds the bytes that the kernel keeps for a connection whose requests are not
// read, since others on it have no response yet.
const receiveBuffer = 32 << 10

// Listen listens for TCP connections whose unread input is bounded. The network is tcp or
// tcp4.
func Listen(network string, address identifier.Address) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Accepted connections inherit it. Without it the kernel's own bound applies.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	listener, err := config.Listen(context.Background(), network, string(address))
	return listener, Error.Wrap(err)
}
