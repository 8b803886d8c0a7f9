// Package attacker simulates clients that take as much memory, work and connections from
// an HTTP server as they can: a crowd of connections that send the same text and keep
// what they can open. It also starts the processes under attack and reads their memory
// and descriptors.
//
// # Usage
//
//	daemon, err := attacker.Start(attacker.Program{Path: "magnoliaknot", Arguments: arguments, Log: log})
//	crowd := attacker.Attack{Address: address, Connections: 100, Text: attacker.Head(request, "a:\r\n", 16384)}.Begin()
//	crowd.Wait()  // until the server has answered or closed each connection
//	crowd.Close() // closes the connections
//	usage, err := daemon.Check(attacker.Bounds{MemoryMB: 184, Descriptors: 4100})
package attacker

import (
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("attacker")

const (
	// headEnd is the empty line that ends a head.
	headEnd = "\r\n"
	// lastField ends in a carriage return and a line feed whatever the filler ends in.
	lastField = "z: z\r\n"
)

// Head returns a head of at most size bytes: a request line with fields, a filler that is
// repeated as often as it fits, a last field and the empty line.
func Head(start, filler string, size int) string {
	return HalfHead(start, filler, size-len(lastField)-len(headEnd)) + lastField + headEnd
}

// filledHead is Head with a filler that ends within a line.
func filledHead(start, filler string, size int) string {
	return HalfHead(start, filler, size-2*len(headEnd)) + headEnd + headEnd
}

// HalfHead is Head without the empty line.
func HalfHead(start, filler string, size int) string {
	return start + strings.Repeat(filler, max(0, size-len(start))/len(filler))
}
