package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// proxy passes TCP connections on to an address. Its open connections can go silent for
// good; new ones work.
type proxy struct {
	target string

	mu    sync.Mutex
	pairs []*pair
}

// pair is one connection through the proxy.
type pair struct{ silent atomic.Bool }

func (p *proxy) serve(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		c := &pair{}
		p.mu.Lock()
		p.pairs = append(p.pairs, c)
		p.mu.Unlock()
		go c.copy(near, far)
		go c.copy(far, near)
	}
}

// silence makes the connections that are open now silent and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.pairs {
		c.silent.Store(true)
	}
	return len(p.pairs)
}

// copy passes bytes on. A silent connection passes on neither bytes nor its end.
func (c *pair) copy(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if c.silent.Load() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
