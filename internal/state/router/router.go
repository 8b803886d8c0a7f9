// Package router holds the configuration that routes requests: which service a
// request goes to, its number of attempts and timeout, and which failure domains
// are out of service.
//
// # Usage
//
//	holder := router.NewHolder()
//	holder.Adopt(snapshot) // false if it is older than the one in force
//	route, found := holder.Snapshot().Lookup("shop.example", "/orders/17")
//	service := splitter.Pick(route)
package router

import (
	"slices"
	"strings"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Route configures the requests for a host and path prefix.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// LargeBody says that responses are usually too large to be buffered.
	LargeBody bool `json:"large_body,omitempty"`
	// MaxAttempts is the number of instances that one request may be sent to.
	MaxAttempts int `json:"max_attempts"`
	// Timeout limits the time that a caller waits.
	Timeout timer.Millis `json:"timeout_ms"`
	// TargetLatency is the latency up to which an answer has its full value.
	TargetLatency timer.Millis `json:"target_ms"`
	// Priority ranks routes; 0 is the most urgent.
	Priority int `json:"priority"`
	// Public requests need no key of a client account.
	Public bool `json:"public,omitempty"`
	// WeightedServices are the services that share the requests. At least one is
	// required.
	WeightedServices []WeightedService `json:"parts"`
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service identifier.ServiceName `json:"service"`
	Weight  int                    `json:"weight"`
}

// Service configures the backend servers of a service.
type Service struct {
	Name       identifier.ServiceName `json:"name"`
	HealthPath string                 `json:"health_path"`
	// ConnectionLimit is the number of connections that a backend server accepts
	// from all callers.
	ConnectionLimit int `json:"connections"`
	// ColdSpan is the time for which a backend server stays cold after its start.
	ColdSpan timer.Millis `json:"cold_span_ms"`
	// ColdPerSecond is the number of requests a second that a cold backend server
	// can handle.
	ColdPerSecond float64 `json:"cold_per_second"`
}

// Limits apply to the requests and connections of callers.
type Limits struct {
	HeaderBytes   int          `json:"header_bytes"`
	BodyBytes     int          `json:"body_bytes"`
	HeaderTimeout timer.Millis `json:"header_timeout_ms"`
	IdleTimeout   timer.Millis `json:"idle_timeout_ms"`
}

// Table finds the route of a request.
type Table struct {
	// hosts holds the routes of each host, longest prefix first.
	hosts map[string][]*Route
}

// NewTable returns a table of the routes.
func NewTable(routes []Route) *Table {
	t := &Table{hosts: make(map[string][]*Route, len(routes))}
	for i := range routes {
		r := &routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(x, y *Route) int { return len(y.PathPrefix) - len(x.PathPrefix) })
	}
	return t
}

// Lookup returns the route of the host with the longest prefix of the path. The
// host may include a port, which is ignored.
func (t *Table) Lookup(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}
