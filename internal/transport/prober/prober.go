// Package prober asks instances for their load by UDP and answers such probes.
//
// Every datagram in and out is taken from the load-measuring budget. Without
// budget a probe is not sent and a received one is not answered, so measuring
// cannot cost more than agreed whatever the other daemons do.
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
	// probeBytes and answerBytes bound the encoded messages.
	probeBytes  = 9 + datagramOverheadBytes
	answerBytes = 48 + datagramOverheadBytes
	// maxDatagramBytes is the largest datagram that is read.
	maxDatagramBytes = 128
	// maxOutstanding bounds the memory for unanswered probes.
	maxOutstanding = 1024
	// answerTimeout is the age at which an answer is too old to use.
	answerTimeout = timer.Second
)

// Budget decides about each datagram before it costs anything.
type Budget interface {
	// TakeProbe takes a probe that is about to be sent, with its answer.
	TakeProbe(bytes int) bool
	// TakeAnswer takes a received probe and the answer to it.
	TakeAnswer(bytes int) bool
}

// Config holds what a prober needs.
type Config struct {
	Address identifier.Address
	Clock   timer.Clock
	Budget  Budget
	// Load returns the load of the own instance; found is false if there is none.
	Load func() (load encoder.Load, found bool)
	// Report receives the load of another instance.
	Report func(instance identifier.InstanceID, load encoder.Load)
}

type outstanding struct {
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
	waiting map[uint64]outstanding
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
	return &Prober{config: config, conn: conn, waiting: map[uint64]outstanding{}}, nil
}

// Address returns the address of the socket.
func (p *Prober) Address() identifier.Address { return identifier.Address(p.conn.LocalAddr().String()) }

// Close ends Run.
func (p *Prober) Close() error { return Error.Wrap(p.conn.Close()) }

// Probe asks one instance for its load. It reports whether a probe was sent.
func (p *Prober) Probe(instance identifier.InstanceID, address identifier.Address) bool {
	target, err := netip.ParseAddrPort(string(address))
	if err != nil {
		return false
	}
	if !p.config.Budget.TakeProbe(probeBytes + answerBytes) {
		return false
	}
	nonce, accepted := p.remember(outstanding{instance, target, p.config.Clock.Now()})
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

func (p *Prober) remember(probe outstanding) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for nonce, old := range p.waiting {
		if probe.sentAt-old.sentAt > answerTimeout {
			delete(p.waiting, nonce)
		}
	}
	if len(p.waiting) >= maxOutstanding {
		return 0, false
	}
	p.nonce++
	p.waiting[p.nonce] = probe
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
	probe, found := p.takeOutstanding(answer.Nonce)
	if !found || probe.address != from || p.config.Clock.Now()-probe.sentAt > answerTimeout {
		return
	}
	p.config.Report(probe.instance, load)
}

func (p *Prober) takeOutstanding(nonce uint64) (outstanding, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	probe, found := p.waiting[nonce]
	delete(p.waiting, nonce)
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
	// A lost answer costs one probe; the next one comes by timer.
	_, _ = p.conn.WriteToUDPAddrPort(data, from)
}
