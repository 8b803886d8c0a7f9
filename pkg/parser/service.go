package parser

import (
	"fmt"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Bounds of a service. The queue bound keeps a full queue within a daemon's
// 64 MB; the others catch mistyped values.
const (
	maxExpectedLoad    = 100_000_000
	maxQueueLength     = 10_000
	maxTimeoutMs       = 10 * timer.Minute
	minDeduplicationMs = timer.Minute
	maxDeduplicationMs = 7 * timer.Day
	maxQuarantineMs    = timer.Day
	maxListEntries     = 256
	maxLimitsByTime    = 1000
	maxPercent         = 100
	reasonClassUnknown = "is not a known instance class"
	reasonNoCapacity   = "leaves the service without capacity"
	reasonOverSlots    = "is more than the %d slots of instance class %s"
	reasonLimitNoEnd   = "is missing; a limit by time needs an end"
)

// Service is a set of instances that answer the same requests.
type Service struct {
	Name          identifier.ServiceName   `json:"name"`
	Hosts         []string                 `json:"hosts,omitempty"`
	PathPrefixes  []string                 `json:"path_prefixes,omitempty"`
	InstanceClass identifier.InstanceClass `json:"instance_class"`
	// ExpectedLoad is the planned number of requests per second.
	ExpectedLoad int64 `json:"expected_load_per_second"`
	// MaxInFlight bounds the requests in flight on one instance.
	MaxInFlight identifier.Slots `json:"max_in_flight"`
	// MaxQueue bounds the requests that wait in the queue of one instance.
	MaxQueue       int64        `json:"max_queue"`
	DefaultTimeout timer.Millis `json:"default_timeout_ms"`
	MaxTimeout     timer.Millis `json:"max_timeout_ms"`
	LimitsByTime   []TimedLimit `json:"limits_by_time,omitempty"`
	// RetryBudgetPercent and HedgePercent are shares of the requests.
	RetryBudgetPercent int64  `json:"retry_budget_percent"`
	HedgePercent       int64  `json:"hedge_percent"`
	IdempotentRules    []Rule `json:"idempotent,omitempty"`
	KeyRequiredRules   []Rule `json:"key_required,omitempty"`
	// DeduplicationWindow is how long an idempotency key is remembered.
	DeduplicationWindow timer.Millis `json:"deduplication_window_ms"`
	// Quarantine is how long a request that crashes backend servers is refused.
	Quarantine timer.Millis `json:"quarantine_ms"`
}

// TimedLimit replaces max_in_flight within a window.
type TimedLimit struct {
	Window
	MaxInFlight identifier.Slots `json:"max_in_flight"`
}

func (s *Service) key() string { return string(s.Name) }

// Idempotent reports whether a rule allows the request to run more than once.
// The path must be decoded, normalised and without query.
func (s *Service) Idempotent(method, path string) bool {
	return matchesAny(s.IdempotentRules, method, path)
}

// KeyRequired reports whether the request needs an idempotency key. The path
// must be decoded, normalised and without query.
func (s *Service) KeyRequired(method, path string) bool {
	return matchesAny(s.KeyRequiredRules, method, path)
}

// Check adds a finding for each rule that the service breaks on its own.
// Sheet.Check checks the rules that depend on other parts of the sheet.
func (s *Service) Check(place string, findings *reporter.Findings) {
	checkName(joinPlace(place, "name"), string(s.Name), findings)
	hosts, prefixes := joinPlace(place, "hosts"), joinPlace(place, "path_prefixes")
	checkCount(hosts, len(s.Hosts), maxListEntries, findings)
	for i, host := range s.Hosts {
		checkHost(fmt.Sprintf("%s[%d]", hosts, i), host, findings)
	}
	checkCount(prefixes, len(s.PathPrefixes), maxListEntries, findings)
	for i, prefix := range s.PathPrefixes {
		checkPathPrefix(fmt.Sprintf("%s[%d]", prefixes, i), prefix, findings)
	}
	checkRange(joinPlace(place, "expected_load_per_second"), s.ExpectedLoad, 0, maxExpectedLoad, findings)
	checkCapacity(joinPlace(place, "max_in_flight"), s.MaxInFlight, findings)
	checkRange(joinPlace(place, "max_queue"), s.MaxQueue, 0, maxQueueLength, findings)
	checkRange(joinPlace(place, "max_timeout_ms"), s.MaxTimeout, 1, maxTimeoutMs, findings)
	checkRange(joinPlace(place, "default_timeout_ms"), s.DefaultTimeout, 1, max(s.MaxTimeout, 1), findings)
	s.checkLimitsByTime(joinPlace(place, "limits_by_time"), findings)
	checkRange(joinPlace(place, "retry_budget_percent"), s.RetryBudgetPercent, 0, maxPercent, findings)
	checkRange(joinPlace(place, "hedge_percent"), s.HedgePercent, 0, maxPercent, findings)
	checkRules(joinPlace(place, "idempotent"), s.IdempotentRules, findings)
	checkRules(joinPlace(place, "key_required"), s.KeyRequiredRules, findings)
	s.checkDurations(place, findings)
}

func (s *Service) checkDurations(place string, findings *reporter.Findings) {
	window := joinPlace(place, "deduplication_window_ms")
	checkRange(window, s.DeduplicationWindow, 0, maxDeduplicationMs, findings)
	if s.DeduplicationWindow > 0 && s.DeduplicationWindow < minDeduplicationMs {
		findings.Add(window, s.DeduplicationWindow, fmt.Sprintf("is below %d; callers' clocks may differ by 30 s", minDeduplicationMs))
	}
	if len(s.KeyRequiredRules) > 0 && s.DeduplicationWindow == 0 {
		findings.Add(window, s.DeduplicationWindow, "must be positive when key_required has rules")
	}
	checkRange(joinPlace(place, "quarantine_ms"), s.Quarantine, 0, maxQuarantineMs, findings)
}

func (s *Service) checkLimitsByTime(place string, findings *reporter.Findings) {
	checkCount(place, len(s.LimitsByTime), maxLimitsByTime, findings)
	windows := make([]Window, 0, len(s.LimitsByTime))
	for i, limit := range s.LimitsByTime {
		entry := fmt.Sprintf("%s[%d]", place, i)
		limit.check(entry, findings)
		if limit.Open() {
			findings.Add(joinPlace(entry, "to"), "", reasonLimitNoEnd)
		}
		checkCapacity(joinPlace(entry, "max_in_flight"), limit.MaxInFlight, findings)
		windows = append(windows, limit.Window)
	}
	checkOverlaps(place, windows, findings)
}

func checkCapacity(place string, limit identifier.Slots, findings *reporter.Findings) {
	if limit == 0 {
		findings.Add(place, limit, reasonNoCapacity)
		return
	}
	checkRange(place, limit, 1, maxSlots, findings)
}

// checkClass adds a finding for each limit that exceeds the slots of the
// service's instance class, or if that class is unknown.
func (s *Service) checkClass(place string, class *InstanceClass, findings *reporter.Findings) {
	if class == nil {
		findings.Add(joinPlace(place, "instance_class"), s.InstanceClass, reasonClassUnknown)
		return
	}
	reason := fmt.Sprintf(reasonOverSlots, class.Slots, class.Name)
	if s.MaxInFlight > class.Slots {
		findings.Add(joinPlace(place, "max_in_flight"), s.MaxInFlight, reason)
	}
	for i, limit := range s.LimitsByTime {
		if limit.MaxInFlight > class.Slots {
			findings.Add(fmt.Sprintf("%s[%d].max_in_flight", joinPlace(place, "limits_by_time"), i), limit.MaxInFlight, reason)
		}
	}
}
