package exchanger

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 0x12

// TCP keep-alive probes detect a VM that fails while a response is awaited.
const (
	probeAfter    = timer.Second
	probeInterval = timer.Second
	probeCount    = 2
)

// PoolConfig holds the address and connection limits of one destination.
type PoolConfig struct {
	Address        identifier.Address
	ConnectTimeout timer.Millis
	// UserTimeout bounds how long written bytes may stay unacknowledged.
	UserTimeout timer.Millis
	// MaxIdle is the maximum number of idle connections.
	MaxIdle int
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout timer.Millis
	// MaxAge is how long a connection is used; 0 has no bound.
	MaxAge timer.Millis
	// MaxConnections bounds the connections in use; 0 has no bound.
	MaxConnections int
	// Memory and Sockets bound what the connections of the process hold.
	Memory  *Memory
	Sockets *Sockets
}

// Pool holds connections to one destination. It never retries a request. It is
// safe for concurrent use.
type Pool struct {
	config PoolConfig
	dialer net.Dialer

	mu     sync.Mutex
	idle   []*connection // The most recently used is last.
	open   int
	dialed uint64
	epoch  uint64 // Incremented by CloseIdle.
}

// NewPool returns a pool without connections.
func NewPool(config PoolConfig) *Pool {
	p := &Pool{config: config}
	p.dialer = net.Dialer{
		Timeout: config.ConnectTimeout.Duration(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeAfter.Duration(), Interval: probeInterval.Duration(), Count: probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			if config.UserTimeout <= 0 {
				return nil
			}
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(config.UserTimeout))
			})
			return errors.Join(err, failed)
		},
	}
	return p
}

// Do sends a request and reads the response: the whole of it, or its head if the
// result is Streaming.
func (p *Pool) Do(call *Call) Result {
	if call.isAborted() {
		return NotSent
	}
	conn, epoch := p.takeIdle(call.MaxReuseIdle)
	call.Reused = conn != nil
	if conn == nil {
		var result Result
		if conn, result = p.dial(call.Deadline); conn == nil {
			call.Unconnected = true
			return result
		}
	}
	if !call.attach(conn) {
		p.release(conn, epoch)
		return NotSent
	}
	result := conn.do(call)
	if result == Streaming {
		call.Body.release = func(end Result) Result {
			if end != Answered {
				conn.noReuse = true
				conn.abort() // After a plain close, the destination could go on sending.
			}
			conn.settleWrite()
			if end == Answered {
				conn.updateReuse(call.Response)
			}
			return p.finish(call, conn, epoch, end)
		}
		return Streaming
	}
	if result == TimedOut {
		conn.abort()
		p.CloseIdle() // The other connections may be unresponsive too.
	}
	return p.finish(call, conn, epoch, result)
}

// finish ends the use of a connection by a call.
func (p *Pool) finish(call *Call, conn *connection, epoch uint64, result Result) Result {
	if call.detach() {
		conn.abort() // Abort may have closed it already.
		conn.noReuse = true
		if result != Answered && result != NotSent && result != Expired {
			result = Aborted
		}
	}
	p.release(conn, epoch)
	return result
}

// DialCount returns the number of connections opened.
func (p *Pool) DialCount() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// CloseIdle closes the idle connections. Those in use are closed after their
// request.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.epoch++
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// takeIdle returns the most recently used idle connection, or nil if there is none
// or it has been idle for longer than within.
func (p *Pool) takeIdle(within timer.Millis) (*connection, uint64) {
	for {
		p.mu.Lock()
		epoch := p.epoch
		if len(p.idle) == 0 {
			p.mu.Unlock()
			return nil, epoch
		}
		last := len(p.idle) - 1
		conn := p.idle[last]
		if within < p.config.IdleTimeout && time.Since(conn.usedAt) > within.Duration() {
			p.mu.Unlock()
			return nil, epoch // Older ones are left for idempotent requests.
		}
		p.idle = slices.Delete(p.idle, last, last+1)
		p.mu.Unlock()
		if !conn.stale(p.config) {
			return conn, epoch
		}
		conn.close()
	}
}

func (p *Pool) dial(deadline time.Time) (*connection, Result) {
	memory := p.config.Memory.NewReservation()
	if !p.takeSocket() {
		return nil, NoRoom
	}
	if !memory.Grow(connectionCost) {
		p.giveSocketBack()
		return nil, NoRoom
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	conn, err := p.dialer.DialContext(ctx, "tcp", string(p.config.Address))
	if err != nil {
		memory.Close()
		p.giveSocketBack()
		return nil, dialResult(err)
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	return newConnection(conn, memory, p.giveSocketBack), Answered
}

// connectionCost is the memory that a connection takes in this process: its buffer, its
// socket and the stack of the goroutine that reads it.
const connectionCost = 12 << 10

// dialResult returns the result of a call for which no connection could be opened.
func dialResult(err error) Result {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ConnectionRefused
	}
	if isExhausted(err) || errors.Is(err, syscall.EADDRNOTAVAIL) {
		return NoRoom
	}
	return NotSent
}

// takeSocket counts a connection that is about to be opened. It returns false if there are
// too many.
func (p *Pool) takeSocket() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config.MaxConnections > 0 && p.open >= p.config.MaxConnections || !p.config.Sockets.take() {
		return false
	}
	p.open++
	return true
}

func (p *Pool) giveSocketBack() {
	p.config.Sockets.giveBack()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

func (p *Pool) release(conn *connection, epoch uint64) {
	p.mu.Lock()
	keep := !conn.noReuse && epoch == p.epoch && len(p.idle) < p.config.MaxIdle
	if keep {
		p.idle = append(p.idle, conn)
	}
	p.mu.Unlock()
	if !keep {
		conn.close()
	}
}
