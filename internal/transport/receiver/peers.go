package receiver

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1/peerv1connect"
	"github.com/magnoliaknot/magnoliaknot/internal/state/retrier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/forwarder"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Limits of the connections to other daemons.
const (
	peerConnectTimeout = 500 * timer.Millis(1)
	peerMaxConnections = 1024
	fenceTimeout       = 500 * timer.Millis(1)
	maxMessageBytes    = 16 << 20
	peerIdleTimeout    = 10 * timer.Second
)

// Peers keeps the connections to other daemons. It is safe for concurrent use.
type Peers struct {
	config  PeersConfig
	control *http.Client
	// unpooled opens a connection for each call, for queries about an attempt
	// whose own connection may no longer respond.
	unpooled *http.Client

	mu         sync.RWMutex
	forwarders map[identifier.Address]*forwarder.Forwarder
}

// PeersConfig holds the bounds of the connections to other daemons.
type PeersConfig struct {
	MaxAnswerBytes int
	// Memory and Sockets bound the connections, with others.
	Memory  *exchanger.Memory
	Sockets *exchanger.Sockets
}

// NewPeers returns an empty pool.
func NewPeers(config PeersConfig) *Peers {
	return &Peers{
		config: config,
		control: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 2, IdleConnTimeout: peerIdleTimeout.Duration(), DisableCompression: true,
		}},
		unpooled:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
		forwarders: map[identifier.Address]*forwarder.Forwarder{},
	}
}

// Forwarder returns the forwarder that sends attempts to a daemon.
func (p *Peers) Forwarder(address identifier.Address) *forwarder.Forwarder {
	p.mu.RLock()
	f, found := p.forwarders[address]
	p.mu.RUnlock()
	if found {
		return f
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if f, found = p.forwarders[address]; !found {
		f = forwarder.New(forwarder.Config{
			Address: address, MaxConnections: peerMaxConnections,
			ConnectTimeout: peerConnectTimeout, MaxAnswerBytes: p.config.MaxAnswerBytes,
			Memory: p.config.Memory, Sockets: p.config.Sockets,
		})
		p.forwarders[address] = f
	}
	return f
}

// Client returns a client for control messages to a daemon.
func (p *Peers) Client(address identifier.Address) peerv1connect.PeerClient {
	return p.client(p.control, address)
}

func (p *Peers) client(httpClient *http.Client, address identifier.Address) peerv1connect.PeerClient {
	return peerv1connect.NewPeerClient(httpClient, "http://"+string(address), connect.WithReadMaxBytes(maxMessageBytes))
}

// Fence asks a daemon on a new connection whether an attempt has started. One
// that has not is prevented from starting. Only the process that the attempt was
// sent to knows: the table of a daemon that replaced it is empty.
func (p *Peers) Fence(m tracker.Member, attempt identifier.AttemptID) retrier.FenceState {
	ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout.Duration())
	defer cancel()
	answer, err := p.client(p.unpooled, m.Peer).Fence(ctx, &peerv1.FenceRequest{
		Origin: uint64(attempt.Origin), Sequence: attempt.Sequence,
	})
	if err != nil || identifier.Incarnation(answer.Incarnation) != m.Incarnation {
		return retrier.FenceUnknown
	}
	switch answer.State {
	case peerv1.FenceResponse_STATE_NOT_RUN:
		return retrier.FenceNotRun
	case peerv1.FenceResponse_STATE_RUNNING:
		return retrier.FenceRunning
	case peerv1.FenceResponse_STATE_FINISHED:
		return retrier.FenceFinished
	case peerv1.FenceResponse_STATE_UNKNOWN, peerv1.FenceResponse_STATE_UNSPECIFIED:
	}
	return retrier.FenceUnknown
}

// Retain drops the connections to daemons that are no longer members.
func (p *Peers) Retain(isMember func(identifier.Address) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, f := range p.forwarders {
		if !isMember(address) {
			f.CloseIdle()
			delete(p.forwarders, address)
		}
	}
}

// CloseIdle closes all idle connections.
func (p *Peers) CloseIdle() {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, f := range p.forwarders {
		f.CloseIdle()
	}
	p.control.CloseIdleConnections()
}
