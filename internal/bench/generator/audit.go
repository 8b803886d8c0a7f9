package generator

import (
	"encoding/json"
	"net/url"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/answer"
	"github.com/magnoliaknot/magnoliaknot/internal/bench/backendserver"
	"github.com/magnoliaknot/magnoliaknot/internal/bench/listener"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Marks in request ids that say whether the request is idempotent.
const (
	nonIdempotentMark = "-n-" // may run at most once
	idempotentMark    = "-i-"
)

const auditTimeout = 30 * timer.Second

// Audit compares the outcomes reported to callers with the runs counted by the
// backend servers. Counts of backend servers that exited are lost.
type Audit struct {
	Backends          []BackendRuns               `json:"backends"`
	RepeatedRequests  []answer.RequestID          `json:"repeated_requests"` // not idempotent, ran more than once
	RepeatedKeys      []identifier.IdempotencyKey `json:"repeated_keys"`
	RefusedRan        []answer.RequestID          `json:"refused_ran"` // reported as not run, but ran
	RefusalsChecked   int                         `json:"refusals_checked"`
	RefusalsUnchecked int                         `json:"refusals_unchecked"`
	Uncounted         uint64                      `json:"uncounted_runs"` // beyond the limits of the backend servers
}

// BackendRuns summarizes the runs of one backend server.
type BackendRuns struct {
	Instance  identifier.InstanceID `json:"instance"`
	TotalRuns uint64                `json:"total_runs"`
	backendserver.Peaks
}

// Violations returns the number of violated guarantees. Uncounted runs invalidate
// the audit and count as one violation.
func (a Audit) Violations() int {
	count := len(a.RepeatedRequests) + len(a.RepeatedKeys) + len(a.RefusedRan)
	if a.Uncounted > 0 {
		count++
	}
	return count
}

// audit fetches the run counts of this run's requests and compares them with the
// refusals.
func (r *run) audit() (Audit, error) {
	runs := make([]backendserver.Runs, 0, len(r.config.Audit))
	for _, address := range r.config.Audit {
		fetched, err := fetchRuns(address, r.idPrefix)
		if err != nil {
			return Audit{}, err
		}
		runs = append(runs, fetched)
	}
	audit := mergeRuns(runs, r.recorder.refusals)
	audit.RefusalsUnchecked = r.recorder.uncheckedRefusals
	return audit, nil
}

// mergeRuns adds up the counts of the backend servers, since a request may have
// run on two of them.
func mergeRuns(runs []backendserver.Runs, refusals []refusal) Audit {
	audit := Audit{RefusalsChecked: len(refusals)}
	requests := make(map[answer.RequestID]int)
	keys := make(map[identifier.IdempotencyKey]int)
	for _, counted := range runs {
		audit.Backends = append(audit.Backends, BackendRuns{counted.Instance, counted.TotalRuns, counted.Peaks})
		audit.Uncounted += counted.Overflow
		for id, count := range counted.Requests {
			requests[id] += count
		}
		for key, count := range counted.Keys {
			keys[key] += count
		}
	}
	for id, count := range requests {
		if count > 1 && strings.Contains(string(id), nonIdempotentMark) {
			audit.RepeatedRequests = append(audit.RepeatedRequests, id)
		}
	}
	for key, count := range keys {
		if count > 1 {
			audit.RepeatedKeys = append(audit.RepeatedKeys, key)
		}
	}
	for _, refused := range refusals {
		if requests[refused.request] > 0 || keys[refused.key] > 0 {
			audit.RefusedRan = append(audit.RefusedRan, refused.request)
		}
	}
	slices.Sort(audit.RepeatedRequests)
	slices.Sort(audit.RepeatedKeys)
	return audit
}

func fetchRuns(address AuditURL, prefix string) (runs backendserver.Runs, err error) {
	parsed, err := url.Parse(string(address))
	if err != nil {
		return runs, Error.Wrap(err)
	}
	if err := listener.CheckLoopback(identifier.Address(parsed.Host)); err != nil {
		return runs, Error.Wrap(err)
	}
	parsed.RawQuery = url.Values{"all": {"1"}, "prefix": {prefix + "-"}}.Encode()
	status, body, err := fasthttp.GetTimeout(nil, parsed.String(), auditTimeout.Duration())
	if err != nil {
		return runs, Error.New("audit of %s: %w", address, err)
	}
	if status != fasthttp.StatusOK {
		return runs, Error.New("audit of %s: status %d", address, status)
	}
	if err := json.Unmarshal(body, &runs); err != nil {
		return runs, Error.New("audit of %s: %w", address, err)
	}
	return runs, nil
}
