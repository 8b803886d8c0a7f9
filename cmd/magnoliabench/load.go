package main

import (
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/generator"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

var errViolations = errs.New("wrong or partial answers, or broken guarantees in the audit")

type loadFlags struct {
	config        generator.Config
	kind          generator.RequestKind
	targets       []string
	direct        []string
	audit         []string
	pattern       string
	duration      time.Duration
	steps         string
	plan          string
	service       string
	key           string
	timeoutMs     int64
	graceMs       int64
	resendDelayMs int64
	idleMs        int64
	auditDelayMs  int64
	table         bool
}

func newLoadCommand(log *slog.Logger) *cobra.Command {
	var flags loadFlags
	command := &cobra.Command{
		Use:   "load",
		Short: "Send load and check every answer",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			config, err := flags.build()
			if err != nil {
				return err
			}
			report, err := generator.Run(command.Context(), config, timer.NewSystem(), log)
			if report.Sent > 0 {
				err = errs.Combine(err, flags.write(command.OutOrStdout(), report))
			}
			if err == nil && report.Violations() > 0 {
				return errViolations
			}
			return err
		},
	}
	flags.bind(command.Flags())
	return command
}

func (l *loadFlags) bind(flags *pflag.FlagSet) {
	flags.StringSliceVar(&l.targets, "target", nil, "ingress addresses, used in turn")
	flags.StringSliceVar(&l.direct, "direct", nil, "backend server addresses; with targets, every second request is sent directly")
	flags.StringVar(&l.pattern, "arrivals", string(generator.Poisson), "poisson or uniform")
	flags.Float64Var(&l.config.Rate, "rate", 100, "requests a second, proxied and direct together")
	flags.DurationVar(&l.duration, "duration", 10*time.Second, "length of the run")
	flags.StringVar(&l.steps, "steps", "", "rate steps such as 1x:10s,3x:10s; replaces the duration")
	flags.Uint64Var(&l.config.Seed, "seed", 1, "seed of arrivals, kinds and keys")
	flags.StringVar(&l.plan, "plan", "", "JSON file with a list of request kinds; replaces the flags for one kind")
	flags.StringVar(&l.kind.Method, "method", "GET", "method")
	flags.StringVar(&l.kind.Path, "path", "/", "path")
	flags.StringVar(&l.kind.Host, "host", "", "Host header; empty uses the target")
	flags.StringVar(&l.service, "service", "", "Magnoliaknot-Service header")
	flags.StringVar(&l.key, "key", string(generator.KeyNone), "Idempotency-Key: none, uuidv7 or random")
	flags.IntVar(&l.kind.BodyBytes, "body-bytes", 0, "size of request bodies")
	flags.IntVar(&l.kind.AnswerBytes, "answer-bytes", 0, "requested size of answer bodies")
	flags.Int64Var(&l.timeoutMs, "timeout-ms", 2000, "timeout sent to the system; later answers are not timely")
	flags.Int64Var(&l.graceMs, "grace-ms", 500, "time to wait for an answer beyond the timeout")
	flags.IntVar(&l.config.ResendUnknown, "resend-unknown", 0, "how many times a request with a key is resent through the next target after an unknown outcome")
	flags.Int64Var(&l.resendDelayMs, "resend-delay-ms", 100, "time before a resend")
	flags.BoolVar(&l.config.NewConnections, "new-connections", false, "use one connection for each request")
	flags.Int64Var(&l.idleMs, "idle-ms", 1000, "how long idle connections are kept")
	flags.IntVar(&l.config.MaxInFlight, "max-in-flight", 20000, "requests in flight; more are counted as unsent")
	flags.StringSliceVar(&l.audit, "audit", nil, "URLs of the run counts of backend servers, such as http://127.0.0.1:8000/runs")
	flags.Int64Var(&l.auditDelayMs, "audit-delay-ms", 1000, "time before the run counts are fetched")
	flags.BoolVar(&l.table, "table", false, "print a table instead of JSON")
}

func (l *loadFlags) build() (generator.Config, error) {
	config := l.config
	for _, address := range l.targets {
		config.Targets = append(config.Targets, identifier.Address(address))
	}
	for _, address := range l.direct {
		config.Direct = append(config.Direct, identifier.Address(address))
	}
	for _, address := range l.audit {
		config.Audit = append(config.Audit, generator.AuditURL(address))
	}
	config.Pattern = generator.Pattern(l.pattern)
	config.Grace = timer.Millis(l.graceMs)
	config.ResendDelay = timer.Millis(l.resendDelayMs)
	config.IdleTimeout = timer.Millis(l.idleMs)
	config.AuditDelay = timer.Millis(l.auditDelayMs)
	config.Steps = []generator.Step{{Factor: 1, Duration: l.duration}}
	if l.steps != "" {
		var err error
		if config.Steps, err = generator.ParseSteps(l.steps); err != nil {
			return config, err
		}
	}
	var err error
	config.Plan, err = l.kinds()
	return config, err
}

// kinds returns the request kinds of the plan file, or the single kind that the
// flags describe.
func (l *loadFlags) kinds() ([]generator.RequestKind, error) {
	if l.plan != "" {
		text, err := os.ReadFile(l.plan)
		if err != nil {
			return nil, generator.Error.Wrap(err)
		}
		return generator.ParsePlan(text)
	}
	kind := l.kind
	kind.Name, kind.Weight = "request", 1
	kind.Service = identifier.ServiceName(l.service)
	kind.Key = generator.KeyKind(l.key)
	kind.TimeoutMs = timer.Millis(l.timeoutMs)
	return []generator.RequestKind{kind}, nil
}

func (l *loadFlags) write(w io.Writer, report generator.Report) error {
	if l.table {
		return report.WriteTable(w)
	}
	return json.NewEncoder(w).Encode(report)
}
