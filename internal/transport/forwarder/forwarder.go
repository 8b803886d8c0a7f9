// Package forwarder sends HTTP requests to one destination and reports exactly how far each
// one got. It never retries a request after a byte was written.
//
// # Usage
//
//	f := forwarder.New(forwarder.Config{Address: "10.0.0.5:8002", MaxConnections: 240})
//	result := f.Send(&exchanger.Call{Request: request, Response: response}, 200*timer.Millisecond)
//	switch result {
//	case forwarder.Answered: ...
//	case forwarder.NotSent: ...
//	case forwarder.ConnectionBroken, forwarder.TimedOut, forwarder.Incomplete: ...
//	}
package forwarder

import (
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Limits of pooled connections. Unresponsive connections cost at most one request
// timeout, because idle connections are closed early and all of them are closed
// after a timeout.
const (
	defaultIdleTimeout = 2 * timer.Second
	maxAge             = 60 * timer.Second
)

// Config describes one destination.
type Config struct {
	Address        identifier.Address
	MaxConnections int
	ConnectTimeout timer.Millis
	// MaxAnswerBytes bounds the body of a response.
	MaxAnswerBytes int
	// IdleTimeout overrides how long an unused connection is kept.
	IdleTimeout timer.Millis
	// Memory and Sockets bound the connections, with those of other forwarders.
	Memory  *exchanger.Memory
	Sockets *exchanger.Sockets
}

// Result is the outcome of Send: how far the request got.
type Result int

// Results of Send.
const (
	// Answered means that the whole response was read.
	Answered Result = iota
	// NotSent means that no byte was written: the request did not run.
	NotSent
	// ConnectionRefused means that no connection could be opened, so no byte was
	// written.
	ConnectionRefused
	// TimedOut means that the timeout passed after a byte was written.
	TimedOut
	// ConnectionBroken means that the connection ended before the response began.
	ConnectionBroken
	// Incomplete means that the response ended early or that its end cannot be
	// determined.
	Incomplete
)

// Forwarder sends requests to one destination. It is safe for concurrent use.
type Forwarder struct {
	config Config
	pool   *exchanger.Pool
}

// New returns a forwarder; it connects when the first request is sent.
func New(config Config) *Forwarder {
	if config.IdleTimeout == 0 {
		config.IdleTimeout = defaultIdleTimeout
	}
	return &Forwarder{config: config, pool: exchanger.NewPool(exchanger.PoolConfig{
		Address: config.Address, ConnectTimeout: config.ConnectTimeout,
		MaxIdle: config.MaxConnections, MaxConnections: config.MaxConnections, IdleTimeout: config.IdleTimeout, MaxAge: maxAge,
		Memory: config.Memory, Sockets: config.Sockets,
	})}
}

// Send forwards a request and waits for the whole response. The request and the response of
// the call are in use until it returns; call.Reused says whether the connection had carried
// other requests, so that the response may be a late one to one of them.
func (f *Forwarder) Send(call *exchanger.Call, timeout timer.Millis) Result {
	call.Deadline = time.Now().Add(timeout.Duration())
	call.MaxReuseIdle, call.BodyLimit, call.RequireLength = f.config.IdleTimeout, int64(f.config.MaxAnswerBytes), true
	result := f.pool.Do(call)
	switch result {
	case exchanger.Answered:
		return Answered
	case exchanger.ConnectionBroken:
		return ConnectionBroken
	case exchanger.TimedOut:
		return TimedOut
	case exchanger.ConnectionRefused, exchanger.NotSent:
		if call.Unconnected {
			return ConnectionRefused
		}
	case exchanger.Incomplete, exchanger.Streaming, exchanger.Aborted:
		return Incomplete
	case exchanger.Expired, exchanger.NoRoom:
	}
	return NotSent
}

// CloseIdle closes all idle connections.
func (f *Forwarder) CloseIdle() { f.pool.CloseIdle() }
