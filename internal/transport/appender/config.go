package appender

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Defaults of Config.
const (
	DefaultTimeout    = 5 * timer.Second
	DefaultMaxWait    = 30 * timer.Second
	DefaultMaxPayload = 4 << 20
	DefaultMaxAnswer  = 16 << 20
	DefaultMaxConns   = 16
)

const (
	// An idle connection is closed early, since the log may close it at any
	// moment and an append on it would then have an unknown outcome.
	maxIdleConn = 2 * time.Second
	maxConnAge  = 60 * time.Second
	// maxRecords bounds one read whatever limit is asked for.
	maxRecords = 10_000
)

// Config configures a Client. Fields left at zero take their default.
type Config struct {
	// BaseURL is the root of the log service, such as http://127.0.0.1:7000.
	BaseURL string
	// Timeout bounds one request, in addition to the time a read waits.
	Timeout timer.Millis
	// MaxWait bounds the time that a read asks the log to wait.
	MaxWait timer.Millis
	// MaxPayload is the largest payload in bytes that is appended.
	MaxPayload int
	// MaxAnswer is the largest answer in bytes that is read. It must hold one
	// record of MaxPayload bytes in base64.
	MaxAnswer int
	// MaxConns bounds the connections to the log.
	MaxConns int
}

func (c Config) withDefaults() Config {
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.MaxPayload <= 0 {
		c.MaxPayload = DefaultMaxPayload
	}
	if c.MaxAnswer <= 0 {
		c.MaxAnswer = DefaultMaxAnswer
	}
	if c.MaxConns <= 0 {
		c.MaxConns = DefaultMaxConns
	}
	return c
}

// newHTTPClient returns a client that sends every request exactly once.
// fasthttp would otherwise send idempotent requests up to five times.
func newHTTPClient(config Config) *fasthttp.Client {
	return &fasthttp.Client{
		Name:                      "magnoliaknot",
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxConnsPerHost:           config.MaxConns,
		MaxIdleConnDuration:       maxIdleConn,
		MaxConnDuration:           maxConnAge,
		MaxResponseBodySize:       config.MaxAnswer,
		WriteTimeout:              config.Timeout.Duration(),
	}
}
