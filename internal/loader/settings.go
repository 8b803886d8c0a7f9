package loader

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/internal/authenticator"
	"github.com/magnoliaknot/magnoliaknot/internal/state/reducer"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Settings of one daemon.
type Settings struct {
	// Node is the name of the instance and of the daemon beside it.
	Node          identifier.InstanceID    `json:"node"`
	FailureDomain identifier.FailureDomain `json:"failure_domain"`
	Region        identifier.Region        `json:"region"`
	Addresses     Addresses                `json:"addresses"`
	Log           Log                      `json:"log"`
	// Seeds are peer addresses of other daemons, queried while the log is down.
	Seeds     []identifier.Address `json:"seeds"`
	Limits    Limits               `json:"limits"`
	Operators []Operator           `json:"operators"`
	Logging   Logging              `json:"logging"`
	// Policy selects instances; all but the default are baselines for
	// measurements.
	Policy string `json:"policy"`
	// KeyShards is the number of shards of idempotency keys. It must be the
	// same on every daemon and must not change while keys are retained.
	KeyShards int64 `json:"key_shards"`
	// Profiling serves Go profiles at /debug/pprof/ on the administration
	// address, without a token.
	Profiling bool `json:"profiling"`
	// ShutdownTimeout is the longest duration of a graceful stop.
	ShutdownTimeout timer.Millis `json:"shutdown_timeout_ms"`
}

// Addresses that a daemon listens on.
type Addresses struct {
	// Ingress receives requests of callers.
	Ingress identifier.Address `json:"ingress"`
	// Peer receives attempts and messages of other daemons.
	Peer identifier.Address `json:"peer"`
	// Probe receives load probes over UDP.
	Probe identifier.Address `json:"probe"`
	// Local receives announcements of the backend server.
	Local identifier.Address `json:"local"`
	// Administration serves the administration API, metrics and health.
	Administration identifier.Address `json:"administration"`
}

// Log has the settings of the platform's log service.
type Log struct {
	URL string `json:"url"`
	// Retention is how long the log keeps records.
	Retention timer.Millis `json:"retention_ms"`
}

// Limits are the largest sizes and counts that a daemon accepts.
type Limits struct {
	HeaderBytes      int64 `json:"header_bytes"`
	BodyBytes        int64 `json:"body_bytes"`
	Connections      int64 `json:"connections"`
	RequestsInFlight int64 `json:"requests_in_flight"`
	CallDepth        int64 `json:"call_depth"`
	// MemoryMB is the memory of the VM for this process.
	MemoryMB exchanger.VMMemory `json:"memory_mb"`
}

// Operator is a person or program that may use the administration API.
type Operator struct {
	Name        identifier.OperatorName `json:"name"`
	TokenSHA256 string                  `json:"token_sha256"`
	Role        string                  `json:"role"`
}

// Logging sets the lowest level that is logged: debug, info, warn or error.
type Logging struct {
	Level string `json:"level"`
}

// Defaults and bounds.
const (
	defaultRetention        = timer.Day
	minRetention            = 10 * timer.Second
	maxRetention            = 365 * timer.Day
	defaultHeaderBytes      = 16 << 10
	defaultBodyBytes        = 4 << 20
	maxBodyBytes            = 64 << 20
	defaultConnections      = 4096
	defaultRequestsInFlight = 4096
	maxConcurrency          = 1 << 20
	defaultCallDepth        = 8
	// defaultMemoryMB is that of the smallest VMs in use.
	defaultMemoryMB        = 184
	minMemoryMB            = 64
	maxMemoryMB            = 1 << 20
	defaultKeyShards       = 64
	maxKeyShards           = 1 << 16
	defaultShutdownTimeout = 30 * timer.Second
	maxShutdownTimeout     = 10 * timer.Minute
)

var (
	levels   = []string{"debug", "info", "warn", "error"}
	policies = []string{"power_of_choices", "random", "round_robin", "least_reported"}
	roles    = []string{string(authenticator.RoleViewer), string(authenticator.RolePublisher)}
)

func defaults() *Settings {
	return &Settings{
		Log: Log{Retention: defaultRetention},
		Limits: Limits{
			HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes, Connections: defaultConnections,
			RequestsInFlight: defaultRequestsInFlight, CallDepth: defaultCallDepth,
			MemoryMB: defaultMemoryMB,
		},
		Logging: Logging{Level: "info"}, Policy: policies[0],
		KeyShards: defaultKeyShards, ShutdownTimeout: defaultShutdownTimeout,
	}
}

func (s *Settings) check(findings *reporter.Findings) {
	for _, name := range []struct{ place, value string }{
		{"node", string(s.Node)},
		{"failure_domain", string(s.FailureDomain)},
		{"region", string(s.Region)},
	} {
		if name.value == "" {
			findings.Add(name.place, name.value, "is empty")
		}
	}
	s.Addresses.check(findings)
	s.Log.check(findings)
	for i, seed := range s.Seeds {
		checkAddress(fmt.Sprintf("seeds[%d]", i), seed, findings)
	}
	s.Limits.check(findings)
	s.checkOperators(findings)
	checkChoice("logging.level", s.Logging.Level, levels, findings)
	checkChoice("policy", s.Policy, policies, findings)
	checkRange("key_shards", s.KeyShards, 1, maxKeyShards, findings)
	checkRange("shutdown_timeout_ms", int64(s.ShutdownTimeout), 0, int64(maxShutdownTimeout), findings)
}

func (a Addresses) check(findings *reporter.Findings) {
	used := map[identifier.Address]string{}
	for _, address := range []struct {
		place string
		value identifier.Address
	}{
		{"addresses.ingress", a.Ingress},
		{"addresses.peer", a.Peer},
		{"addresses.local", a.Local},
		{"addresses.administration", a.Administration},
	} {
		checkAddress(address.place, address.value, findings)
		if other, repeated := used[address.value]; repeated && address.value != "" {
			findings.Add(address.place, address.value, "is also "+other)
		}
		used[address.value] = address.place
	}
	checkAddress("addresses.probe", a.Probe, findings)
}

func (l Log) check(findings *reporter.Findings) {
	parsed, err := url.Parse(l.URL)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		findings.Add("log.url", l.URL, "is not an http or https URL")
	}
	checkRange("log.retention_ms", int64(l.Retention), int64(minRetention), int64(maxRetention), findings)
}

func (l Limits) check(findings *reporter.Findings) {
	checkRange("limits.header_bytes", l.HeaderBytes, 1<<10, 1<<20, findings)
	checkRange("limits.body_bytes", l.BodyBytes, 1<<10, maxBodyBytes, findings)
	checkRange("limits.connections", l.Connections, 1, maxConcurrency, findings)
	checkRange("limits.requests_in_flight", l.RequestsInFlight, 1, maxConcurrency, findings)
	checkRange("limits.call_depth", l.CallDepth, 1, 64, findings)
	checkRange("limits.memory_mb", int64(l.MemoryMB), minMemoryMB, maxMemoryMB, findings)
}

func (s *Settings) checkOperators(findings *reporter.Findings) {
	for i, operator := range s.Operators {
		place := fmt.Sprintf("operators[%d]", i)
		if !reducer.IsIdentifier(string(operator.Name)) {
			findings.Add(place+".name", operator.Name, "is not 1 to 64 visible ASCII characters")
		}
		var hash authenticator.Hash
		if hash.UnmarshalText([]byte(operator.TokenSHA256)) != nil {
			// The value may be a token entered by mistake, so it is not shown.
			findings.Add(place+".token_sha256", "(hidden)", "is not 64 hexadecimal digits")
		}
		checkChoice(place+".role", operator.Role, roles, findings)
	}
}

// Authenticated returns the operators with decoded token hashes, for
// authenticator.New. It omits operators whose hash cannot be decoded.
func (s *Settings) Authenticated() []authenticator.Operator {
	operators := make([]authenticator.Operator, 0, len(s.Operators))
	for _, operator := range s.Operators {
		converted := authenticator.Operator{Name: operator.Name, Role: authenticator.Role(operator.Role)}
		if converted.TokenSHA256.UnmarshalText([]byte(operator.TokenSHA256)) == nil {
			operators = append(operators, converted)
		}
	}
	return operators
}

func checkAddress(place string, address identifier.Address, findings *reporter.Findings) {
	if _, err := netip.ParseAddrPort(string(address)); err != nil {
		findings.Add(place, address, "is not an IP address and port")
	}
}

func checkChoice(place, value string, choices []string, findings *reporter.Findings) {
	if !slices.Contains(choices, value) {
		findings.Add(place, value, fmt.Sprintf("is not one of %v", choices))
	}
}

func checkRange(place string, value, low, high int64, findings *reporter.Findings) {
	if value < low || value > high {
		findings.Add(place, value, fmt.Sprintf("is not between %d and %d", low, high))
	}
}
