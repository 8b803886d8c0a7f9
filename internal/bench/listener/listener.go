// Package listener opens the loopback listeners of the bench servers and reports
// that they are ready.
//
// # Usage
//
//	socket, err := listener.Listen("127.0.0.1:7000")
//	listener.PrintReady(os.Stdout, "log", socket.Addr())
package listener

import (
	"encoding/json"
	"io"
	"net"
	"net/netip"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// Error is the class of errors of this package.
var Error = errs.Class("listener")

// CheckLoopback returns an error unless the address is a loopback IP and port.
// Bench traffic must not leave the machine.
func CheckLoopback(address identifier.Address) error {
	parsed, err := netip.ParseAddrPort(string(address))
	if err != nil {
		return Error.Wrap(err)
	}
	if !parsed.Addr().IsLoopback() {
		return Error.New("%s is not a loopback address", address)
	}
	return nil
}

// Listen opens a TCP listener on a loopback address. Port 0 picks a free port.
func Listen(address identifier.Address) (net.Listener, error) {
	if err := CheckLoopback(address); err != nil {
		return nil, err
	}
	socket, err := net.Listen("tcp", string(address))
	return socket, Error.Wrap(err)
}

type readyLine struct {
	Ready   bool               `json:"ready"`
	Server  string             `json:"server"`
	Address identifier.Address `json:"address"`
}

// PrintReady writes one JSON line that names the server and its address.
func PrintReady(w io.Writer, server string, address net.Addr) error {
	line := readyLine{Ready: true, Server: server, Address: identifier.Address(address.String())}
	return Error.Wrap(json.NewEncoder(w).Encode(line))
}
