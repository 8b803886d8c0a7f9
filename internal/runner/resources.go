package runner

import (
	"syscall"

	"github.com/magnoliaknot/magnoliaknot/internal/loader"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
)

// Parts of the descriptors, in percent. The rest is for files, the log and the other
// listeners.
const (
	callerDescriptors   = 35
	peerDescriptors     = 25
	outgoingDescriptors = 25
	wholePercent        = 100
)

// localConnections is many times the number that a backend server or an operator uses.
const localConnections = 16

// connections bound the open connections by who opens them.
type connections struct {
	callers, peers int
	outgoing       *exchanger.Sockets
}

// newConnections divides the descriptors that the process may have open.
func newConnections(limits loader.Limits) connections {
	descriptors := descriptorLimit()
	part := func(percent int64) int64 { return min(limits.Connections, descriptors/wholePercent*percent) }
	return connections{
		callers: int(part(callerDescriptors)), peers: int(part(peerDescriptors)),
		outgoing: exchanger.NewSockets(descriptors / wholePercent * outgoingDescriptors),
	}
}

// descriptorLimit returns the number of files and connections that the process may have open.
func descriptorLimit() int64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxDescriptors {
		return maxDescriptors
	}
	return int64(limit.Cur)
}

// maxDescriptors is used if the system has no lower bound.
const maxDescriptors = 1 << 20
