package dispatcher

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// maxRoutes bounds the routes that have metrics of their own; a configuration
	// may have thousands.
	maxRoutes = 100
	// maxAccounts is the same for client accounts.
	maxAccounts = 20
	// maxReasons is more than there are.
	maxReasons = 64
	otherLabel = "other"
	msPerSec   = 1000
)

// observer logs and counts each decision about a request. It is safe for
// concurrent use.
type observer struct {
	logger *slog.Logger

	mu     sync.Mutex
	routes labels
	// accounts are the client accounts with metrics of their own.
	accounts labels
	// reasons are those with metrics of their own. Other daemons may name more.
	reasons labels
}

func newObserver(logger *slog.Logger) *observer {
	return &observer{logger: logger, routes: newLabels(maxRoutes), accounts: newLabels(maxAccounts), reasons: newLabels(maxReasons)}
}

// maxLogged bounds a text in the log that callers or other daemons choose.
const maxLogged = 128

// shorten returns the start of a text that callers or other daemons choose.
func shorten(text []byte) string {
	if len(text) <= maxLogged {
		return string(text)
	}
	return string(text[:maxLogged]) + "..."
}

// labels are the names that have metrics of their own.
type labels struct {
	names map[string]struct{}
	limit int
}

func newLabels(limit int) labels { return labels{names: map[string]struct{}{}, limit: limit} }

// label returns the label of a name in metrics: the first ones keep theirs, the rest share
// one.
func (l *labels) label(name string) string {
	if _, found := l.names[name]; found {
		return name
	}
	if len(l.names) >= l.limit {
		return otherLabel
	}
	l.names[name] = struct{}{}
	return name
}

// reasonLabel returns the label of a reason, which may come from another daemon.
func (o *observer) reasonLabel(reason string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reasons.label(shorten([]byte(reason)))
}

// labelsOf returns the labels of a request's route and client account in metrics.
func (o *observer) labelsOf(e requestEnd) (route, account string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e.account != "" {
		account = o.accounts.label(string(e.account))
	}
	return o.routes.label(e.route), account
}

// requestEnd is how a caller's request ended.
type requestEnd struct {
	request string
	route   string
	service string
	// account is the client account, if there is one.
	account  identifier.AccountName
	version  uint64
	outcome  encoder.Outcome
	reason   classifier.Reason
	status   int
	attempts int
	instance string
	// refused is the number of attempts that were refused before a start.
	refused int
	// streamed says that the response was passed on as it arrived.
	streamed   bool
	retryAfter timer.Millis
	timeLeft   timer.Millis
	elapsed    timer.Millis
}

// requestEnded records the end of a caller's request.
func (o *observer) requestEnded(e requestEnd) {
	label, account := o.labelsOf(e)
	reason := o.reasonLabel(string(e.reason))
	if account != "" {
		metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliaknot_account_requests_total{account=%q,outcome=%q,reason=%q}`, account, e.outcome, reason)).Inc()
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliaknot_requests_total{route=%q,outcome=%q,reason=%q}`, label, e.outcome, reason)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`magnoliaknot_request_seconds{route=%q,outcome=%q}`, label, e.outcome)).
		Update(float64(e.elapsed) / msPerSec)
	level := slog.LevelDebug
	if e.outcome != encoder.Complete || e.status >= 500 {
		level = slog.LevelInfo
	}
	o.logger.LogAttrs(context.Background(), level, "request ended",
		slog.String("request", e.request), slog.String("route", e.route), slog.String("service", e.service),
		slog.String("account", string(e.account)), slog.Uint64("version", e.version), slog.String("outcome", string(e.outcome)), slog.String("reason", string(e.reason)),
		slog.Int("status", e.status), slog.Int("attempts", e.attempts), slog.Int("refused", e.refused),
		slog.String("instance", e.instance), slog.Int64("retry_after_ms", int64(e.retryAfter)),
		slog.Bool("streamed", e.streamed), slog.Int64("time_left_ms", int64(e.timeLeft)), slog.Int64("elapsed_ms", int64(e.elapsed)))
}

// attemptEnd is how an attempt ended, as its sender sees it.
type attemptEnd struct {
	request  string
	attempt  string
	number   int
	instance string
	// load is the load by which the instance was picked, loadAge its age.
	load    registrar.Load
	loadAge timer.Millis
	result  string
	reason  string
	elapsed timer.Millis
}

// attemptEnded records the end of an attempt.
func (o *observer) attemptEnded(e attemptEnd) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliaknot_attempts_total{result=%q,reason=%q}`, e.result, o.reasonLabel(e.reason))).Inc()
	level := slog.LevelInfo
	if e.number == 1 && e.result == resultAnswered {
		level = slog.LevelDebug
	}
	o.logger.LogAttrs(context.Background(), level, "attempt ended",
		slog.String("request", e.request), slog.String("attempt", e.attempt), slog.Int("number", e.number),
		slog.String("instance", e.instance), slog.Int("running", int(e.load.Running)), slog.Int("queued", int(e.load.Queued)),
		slog.Int("limit", int(e.load.Limit)), slog.Int("slowdown_percent", int(e.load.SlowdownPercent)),
		slog.Int64("load_age_ms", int64(e.loadAge)), slog.String("result", e.result), slog.String("reason", e.reason),
		slog.Int64("elapsed_ms", int64(e.elapsed)))
}

// Results of attempts in the log.
const (
	resultAnswered = "answered"
	resultNotRun   = "not_run"
	resultUnknown  = "unknown"
)

// admissionEnd is how an attempt ended at admission.
type admissionEnd struct {
	request string
	attempt string
	backend string
	started bool
	result  admitter.Result
	reason  classifier.Reason
	load    registrar.Load
	loadAge timer.Millis
	waited  timer.Millis
	ran     timer.Millis
	reused  bool
	// streamed says that the response was passed on as it arrived.
	streamed bool
	status   int
	notice   Notice
}

// admissionEnded records the end of an attempt at admission.
func (o *observer) admissionEnded(e admissionEnd) {
	result := "refused"
	if e.started {
		result = e.result.String()
		metrics.GetOrCreateHistogram("magnoliaknot_queue_seconds").Update(float64(e.waited) / msPerSec)
		metrics.GetOrCreateHistogram(fmt.Sprintf(`magnoliaknot_service_seconds{result=%q}`, result)).Update(float64(e.ran) / msPerSec)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliaknot_admissions_total{result=%q,reason=%q}`, result, o.reasonLabel(string(e.reason)))).Inc()
	level := slog.LevelInfo
	if e.started && e.result == admitter.OK {
		level = slog.LevelDebug
	}
	o.logger.LogAttrs(context.Background(), level, "admission ended",
		slog.String("request", e.request), slog.String("attempt", e.attempt), slog.String("backend", e.backend),
		slog.String("result", result), slog.String("reason", string(e.reason)), slog.Int("status", e.status),
		slog.Int("running", int(e.load.Running)), slog.Int("queued", int(e.load.Queued)), slog.Int("limit", int(e.load.Limit)),
		slog.Int("slowdown_percent", int(e.load.SlowdownPercent)), slog.Bool("cold", e.load.Cold),
		slog.Int64("load_age_ms", int64(e.loadAge)), slog.Int64("waited_ms", int64(e.waited)),
		slog.Int64("ran_ms", int64(e.ran)), slog.Bool("reused_connection", e.reused),
		slog.Bool("streamed", e.streamed), slog.Bool("limited", e.notice.Limited), slog.Float64("per_second", float64(e.notice.Rate)))
}
