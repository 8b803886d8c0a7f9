// Package prober requests the load of instances by UDP and answers such probes.
//
// Every sent and received datagram is charged to the load-measuring budget. If
// the budget is used up, probes are neither sent nor answered, so the cost of
// measuring stays within the budget whatever other daemons do.
//
// # Usage
//
//	p, err := prober.Listen(prober.Config{Address: "10.0.0.5:8003", Budget: budget, Load: admission.Load, Report: ingress.Observe})
//	go p.Run()
//	p.Probe("materials-2", "10.0.0.6:8003")
//	p.Close()
package prober

import (
	"errors"
	"net"
	"net/netip"
	"sync"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Error is the class of errors of this package.
var Error = errs.Class("prober")

const (
	// datagramOverheadBytes is the size of the IPv4 and UDP headers.
	datagramOverheadBytes = 28
	// probeBytes and answerBytes are the maximum sizes of the datagrams.
	probeBytes  = 9 + datagramOverheadBytes
	answerBytes = 48 + datagramOverheadBytes
	// maxDatagramBytes is the maximum size of a received datagram.
	maxDatagramBytes = 128
	// maxPending bounds the memory for unanswered probes.
	maxPending = 1024
	// answerTimeout is the time after which the answer to a probe is ignored.
	answerTimeout = timer.Second
)

// Budget is charged before a datagram is sent or answered. Its methods return false
// if it is used up.
type Budget interface {
	// TakeProbe charges a probe that is about to be sent, with its answer.
	TakeProbe(bytes int) bool
	// TakeAnswer charges a received probe and the answer to it.
	TakeAnswer(bytes int) bool
}

// Config holds what a prober needs.
type Config struct {
	Address identifier.Address
	Clock   timer.Clock
	Budget  Budget
	// Load returns the load of the daemon's own instance; found is false if there is
	// none.
	Load func() (load encoder.Load, found bool)
	// Report receives the load of another instance.
	Report func(instance identifier.InstanceID, load encoder.Load)
}

type pendingProbe struct {
	instance identifier.InstanceID
	address  netip.AddrPort
	sentAt   timer.Millis
}

// Prober sends and answers probes. It is safe for concurrent use.
type Prober struct {
	config Config
	conn   *net.UDPConn

	mu      sync.Mutex
	nonce   uint64
	pending map[uint64]pendingProbe
}

// Listen opens the UDP socket.
func Listen(config Config) (*Prober, error) {
	address, err := net.ResolveUDPAddr("udp", string(config.Address))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Prober{config: config, conn: conn, pending: map[uint64]pendingProbe{}}, nil
}

// Address returns the address of the socket.
func (p *Prober) Address() identifier.Address { return identifier.Address(p.conn.LocalAddr().String()) }

// Close closes the socket, which ends Run.
func (p *Prober) Close() error { return Error.Wrap(p.conn.Close()) }

// Probe requests the load of one instance. It reports whether a probe was sent.
func (p *Prober) Probe(instance identifier.InstanceID, address identifier.Address) bool {
	target, err := netip.ParseAddrPort(string(address))
	if err != nil {
		return false
	}
	if !p.config.Budget.TakeProbe(probeBytes + answerBytes) {
		return false
	}
	nonce, accepted := p.addPending(pendingProbe{instance, target, p.config.Clock.Now()})
	if !accepted {
		return false
	}
	data, err := proto.Marshal(&peerv1.Probe{Nonce: nonce})
	if err != nil {
		return false
	}
	_, err = p.conn.WriteToUDPAddrPort(data, target)
	return err == nil
}

func (p *Prober) addPending(probe pendingProbe) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for nonce, old := range p.pending {
		if probe.sentAt-old.sentAt > answerTimeout {
			delete(p.pending, nonce)
		}
	}
	if len(p.pending) >= maxPending {
		return 0, false
	}
	p.nonce++
	p.pending[p.nonce] = probe
	return p.nonce, true
}

// Run reads datagrams until the socket is closed.
func (p *Prober) Run() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.handle(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

func (p *Prober) handle(data []byte, from netip.AddrPort) {
	answer := new(peerv1.ProbeAnswer)
	if err := proto.Unmarshal(data, answer); err != nil || answer.Nonce == 0 {
		return
	}
	if answer.Load == nil {
		p.answer(answer.Nonce, from)
		return
	}
	load, err := encoder.LoadFromMessage(answer.Load)
	if err != nil {
		return
	}
	probe, found := p.takePending(answer.Nonce)
	if !found || probe.address != from || p.config.Clock.Now()-probe.sentAt > answerTimeout {
		return
	}
	p.config.Report(probe.instance, load)
}

func (p *Prober) takePending(nonce uint64) (pendingProbe, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	probe, found := p.pending[nonce]
	delete(p.pending, nonce)
	return probe, found
}

func (p *Prober) answer(nonce uint64, from netip.AddrPort) {
	load, found := p.config.Load()
	if !found || !p.config.Budget.TakeAnswer(probeBytes+answerBytes) {
		return
	}
	data, err := proto.Marshal(&peerv1.ProbeAnswer{Nonce: nonce, Load: load.Message()})
	if err != nil {
		return
	}
	// A lost answer costs one probe; a timer sends the next one.
	_, _ = p.conn.WriteToUDPAddrPort(data, from)
}
