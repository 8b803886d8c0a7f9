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
	// maxIdleConn is short because the log may close an idle connection at any
	// time, and an append on it would then have an unknown outcome.
	maxIdleConn = 2 * time.Second
	maxConnAge  = 60 * time.Second
	// maxRecords is the upper bound of the limit of one read.
	maxRecords = 10_000
)

// Config configures a Client. Zero fields take their defaults.
type Config struct {
	// BaseURL is the root of the log service, such as http://127.0.0.1:7000.
	BaseURL string
	// Timeout bounds one request, in addition to the wait of a read.
	Timeout timer.Millis
	// MaxWait bounds the wait of a read.
	MaxWait timer.Millis
	// MaxPayload is the maximum payload of an append in bytes.
	MaxPayload int
	// MaxAnswer is the maximum response body in bytes. It must hold one record of
	// MaxPayload bytes in base64.
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
