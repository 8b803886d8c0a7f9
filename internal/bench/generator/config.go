package generator

import (
	"time"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Pattern names a distribution of the times between arrivals.
type Pattern string

// Patterns of arrivals.
const (
	Poisson Pattern = "poisson"
	Uniform Pattern = "uniform"
)

// Config configures a run. With both Targets and Direct, requests alternate
// between them, so that both see the same conditions and half of the rate.
type Config struct {
	Targets []identifier.Address // ingress addresses
	Direct  []identifier.Address // backend servers

	Pattern Pattern
	Rate    float64 // requests a second at factor 1
	Steps   []Step
	Seed    uint64
	Plan    []RequestKind

	Grace          timer.Millis // added to a request's timeout while waiting for its answer
	ResendUnknown  int          // how often a request with a key is resent after the outcome unknown
	ResendDelay    timer.Millis
	NewConnections bool // one connection per request
	IdleTimeout    timer.Millis
	MaxInFlight    int // further arrivals are counted as unsent

	Audit      []AuditURL
	AuditDelay timer.Millis // time for late runs before the counts are fetched
}

// AuditURL is the URL of the run counts of one backend server.
type AuditURL string

// Step is a part of a run with its own rate.
type Step struct {
	Factor   float64 // multiplies the rate
	Duration time.Duration
}
