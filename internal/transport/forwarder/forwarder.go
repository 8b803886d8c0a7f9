// Package forwarder sends HTTP requests with fasthttp and reports exactly how
// far each one got. It never retries a request after a byte was written.
//
// By default fasthttp sends idempotent requests up to 5 times; every client
// created here turns that off. The only retry left is for a pooled connection
// that the other end had already closed, when no byte was written.
//
// # Usage
//
//	f := forwarder.New(forwarder.Config{Address: "10.0.0.5:8002", MaxConnections: 240})
//	result := f.Send(request, response, 200*timer.Millisecond)
//	switch result {
//	case forwarder.Answered: ...
//	case forwarder.NotSent: ...
//	case forwarder.ConnectionBroken, forwarder.TimedOut, forwarder.Incomplete: ...
//	}
package forwarder

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Limits of pooled connections. Unresponsive connections cost at most one request
// timeout, because idle connections are closed early and all of them are closed
// after a timeout.
const (
	defaultIdleTimeout = 2 * timer.Second
	maxAge             = 60 * timer.Second
	// maxStaleAttempts bounds how many closed pooled connections Send tries.
	maxStaleAttempts = 3
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
	client fasthttp.HostClient
}

// New returns a forwarder; it connects when the first request is sent.
func New(config Config) *Forwarder {
	if config.IdleTimeout == 0 {
		config.IdleTimeout = defaultIdleTimeout
	}
	dial := func(address string, _ time.Duration) (net.Conn, error) {
		conn, err := net.DialTimeout("tcp", address, config.ConnectTimeout.Duration())
		if err != nil {
			return nil, &dialError{err}
		}
		return newConnection(conn), nil
	}
	return &Forwarder{client: fasthttp.HostClient{
		Addr:                          string(config.Address),
		DialTimeout:                   dial,
		MaxConns:                      config.MaxConnections,
		MaxIdleConnDuration:           config.IdleTimeout.Duration(),
		MaxConnDuration:               maxAge.Duration(),
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    neverRetry,
		MaxResponseBodySize:           config.MaxAnswerBytes,
		ReadBufferSize:                32 << 10,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
		DisablePathNormalizing:        true,
	}}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// Send forwards a request and waits for the whole response. The request and the
// response are in use until it returns.
func (f *Forwarder) Send(request *fasthttp.Request, response *fasthttp.Response, timeout timer.Millis) Result {
	deadline := time.Now().Add(timeout.Duration())
	for range maxStaleAttempts {
		err := f.client.DoDeadline(request, response, deadline)
		if errors.Is(err, errStale) {
			f.client.CloseIdleConnections()
			continue
		}
		result := classify(response, err)
		if result == TimedOut {
			f.client.CloseIdleConnections()
		}
		return result
	}
	return NotSent
}

// Reused reports whether a response may have come on a connection that had carried other
// requests: it may then be a late one to one of them.
func Reused(response *fasthttp.Response) bool {
	address, tracked := response.LocalAddr().(*connectionAddr)
	return !tracked || address.conn.requests.Load() > 1
}

// CloseIdle closes all idle connections.
func (f *Forwarder) CloseIdle() { f.client.CloseIdleConnections() }

func classify(response *fasthttp.Response, err error) Result {
	address, tracked := response.LocalAddr().(*connectionAddr)
	if err == nil {
		if tracked && address.conn.eof {
			return Incomplete
		}
		return Answered
	}
	var failed *dialError
	if errors.As(err, &failed) {
		return ConnectionRefused
	}
	if !tracked || address.conn.unwritten {
		return NotSent
	}
	if address.conn.phase == phaseAnswered {
		return Incomplete
	}
	if isTimeout(err) {
		return TimedOut
	}
	return ConnectionBroken
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &timeout) && timeout.Timeout()
}

// dialError marks an error from opening a connection.
type dialError struct{ error }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.error }
