package dispatcher

import (
	"sync"

	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Limits of the connections to other daemons.
const (
	// peerConnectTimeout is far above a round trip and below the retransmission
	// timeout of a lost SYN packet, so that an attempt goes to another instance
	// instead.
	peerConnectTimeout = 300 * timer.Millis(1)
	// peerUserTimeout leaves room for two retransmissions of a lost packet.
	peerUserTimeout = 800 * timer.Millis(1)
	peerMaxIdle     = 64
	// peerIdleTimeout limits how many requests use a connection that broke silently
	// while idle.
	peerIdleTimeout = 4 * timer.Second
)

// Peers holds the connections to other daemons. It is safe for concurrent use.
type Peers struct {
	memory  *exchanger.Memory
	sockets *exchanger.Sockets

	mu    sync.Mutex
	pools map[identifier.Address]*exchanger.Pool
}

// NewPeers returns peers without connections. The memory and the sockets bound what the
// connections hold, with others.
func NewPeers(memory *exchanger.Memory, sockets *exchanger.Sockets) *Peers {
	return &Peers{memory: memory, sockets: sockets, pools: map[identifier.Address]*exchanger.Pool{}}
}

// Pool returns the connection pool of a daemon.
func (p *Peers) Pool(address identifier.Address) *exchanger.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, found := p.pools[address]
	if !found {
		pool = exchanger.NewPool(exchanger.PoolConfig{
			Address: address, ConnectTimeout: peerConnectTimeout, UserTimeout: peerUserTimeout,
			MaxIdle: peerMaxIdle, IdleTimeout: peerIdleTimeout, Memory: p.memory, Sockets: p.sockets,
		})
		p.pools[address] = pool
	}
	return pool
}

// Retain drops the connections to daemons that are no longer members.
func (p *Peers) Retain(isMember func(identifier.Address) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pool := range p.pools {
		if !isMember(address) {
			pool.CloseIdle()
			delete(p.pools, address)
		}
	}
}

// CloseIdle closes all idle connections.
func (p *Peers) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		pool.CloseIdle()
	}
}
