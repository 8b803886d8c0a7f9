package main

import (
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/answer"
	"github.com/magnoliaknot/magnoliaknot/internal/bench/backendserver"
	"github.com/magnoliaknot/magnoliaknot/internal/bench/listener"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

type backendFlags struct {
	config       backendserver.Config
	service      string
	instance     string
	address      string
	distribution string
	slots        int32
	startingMs   int64
	noiseEveryMs int64
	noiseMaxMs   int64
	reportLagMs  int64
	softCrashMs  int64
	drainIdleMs  int64
	drainMaxMs   int64
	seed         uint64
}

func newBackendCommand(log *slog.Logger) *cobra.Command {
	var flags backendFlags
	command := &cobra.Command{
		Use:   "backend",
		Short: "Run a stand-in for a backend server",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			config, err := flags.build()
			if err != nil {
				return err
			}
			random := rand.New(rand.NewPCG(flags.seed, 0))
			server := backendserver.NewServer(config, timer.NewSystem(), random, log.With("instance", flags.instance))
			var printErr error
			err = server.Run(command.Context(), func(address net.Addr) {
				printErr = listener.PrintReady(command.OutOrStdout(), "backend", address)
			})
			return errs.Combine(err, printErr)
		},
	}
	flags.bind(command.Flags())
	return command
}

func (b *backendFlags) bind(flags *pflag.FlagSet) {
	stateMachine := &b.config.StateMachine
	flags.StringVar(&b.address, "listen", "127.0.0.1:0", "loopback address to listen on")
	flags.StringVar(&b.service, "service", "bench", "service name in the announcement")
	flags.StringVar(&b.instance, "instance", "backend", "instance name in answers")
	flags.StringVar(&b.config.AnnounceURL, "announce", "", "URL that the server announces itself to every second; empty disables announcements")
	flags.Int32Var(&b.slots, "slots", 20, "requests that run at the same time")
	flags.IntVar(&stateMachine.QueueLimit, "queue", 40, "requests that wait for a slot; more are answered 503")
	flags.IntVar(&b.config.Connections, "connections", 240, "open connections; more are closed at accept, 0 sets no limit")
	flags.StringVar(&b.distribution, "service-distribution", string(backendserver.Fixed), "fixed or lognormal")
	flags.DurationVar(&stateMachine.ServiceTime.Median, "service-time", 5*time.Millisecond, "fixed service time, or median of the lognormal distribution")
	flags.Float64Var(&stateMachine.ServiceTime.Sigma, "service-sigma", 0.5, "standard deviation of the logarithm")
	flags.DurationVar(&stateMachine.ServiceTime.Longest, "service-longest", time.Second, "longest lognormal service time; 0 sets no limit")
	flags.IntVar(&stateMachine.ColdCompletions, "cold-completions", 20, "completions after a start until the server is warm")
	flags.IntVar(&stateMachine.ColdCapacity, "cold-capacity", 2, "requests in flight above which a cold server is slow")
	flags.Float64Var(&stateMachine.ColdSlowFactor, "cold-slow-factor", 5, "factor on service times above the cold capacity")
	flags.IntVar(&stateMachine.ColdCrashFactor, "cold-crash-factor", 3, "multiple of the cold capacity beyond which a cold server crashes; 0 means never")
	flags.Int64Var(&b.startingMs, "starting-ms", 0, "time in state starting, during which requests are answered 503")
	flags.Int64Var(&b.noiseEveryMs, "noise-every-ms", 0, "mean time between pauses of the server; 0 means none")
	flags.Int64Var(&b.noiseMaxMs, "noise-max-ms", 5, "longest pause")
	flags.Int64Var(&b.reportLagMs, "report-lag-ms", 0, "age of the values in /health and /load")
	flags.StringVar(&b.config.CrashMarker, "crash-marker", "", "text in a path or body that crashes the server; empty means none")
	flags.BoolVar(&b.config.SoftCrash, "soft-crash", false, "on a crash break all connections and restart cold instead of exiting with code 3")
	flags.Int64Var(&b.softCrashMs, "soft-crash-ms", 1000, "how long connections are refused after a soft crash")
	flags.Int64Var(&b.drainIdleMs, "drain-idle-ms", 500, "time without a request in flight after which a draining server exits")
	flags.Int64Var(&b.drainMaxMs, "drain-max-ms", 60000, "longest time to drain before the server exits")
	flags.Uint64Var(&b.seed, "seed", 1, "seed of service times, noise and random faults")
}

func (b *backendFlags) build() (backendserver.Config, error) {
	config := b.config
	config.Service = identifier.ServiceName(b.service)
	config.Instance = identifier.InstanceID(b.instance)
	config.Address = identifier.Address(b.address)
	config.StateMachine.Slots = identifier.Slots(b.slots)
	config.StateMachine.ServiceTime.Distribution = backendserver.Distribution(b.distribution)
	config.StateMachine.StartingFor = timer.Millis(b.startingMs)
	config.StateMachine.NoiseEvery = timer.Millis(b.noiseEveryMs)
	config.StateMachine.NoiseMax = timer.Millis(b.noiseMaxMs)
	config.StateMachine.ReportLag = timer.Millis(b.reportLagMs)
	config.SoftCrashFor = timer.Millis(b.softCrashMs)
	config.DrainIdle = timer.Millis(b.drainIdleMs)
	config.DrainMax = timer.Millis(b.drainMaxMs)
	config.Exit = os.Exit
	if b.slots < 1 || config.StateMachine.QueueLimit < 0 || b.reportLagMs < 0 {
		return config, backendserver.Invalid.New("slots must be positive, queue and report-lag-ms not negative")
	}
	if !answer.ValidText(b.instance) {
		return config, backendserver.Invalid.New("instance %q has characters other than letters, digits, -, _, . and :", b.instance)
	}
	return config, config.StateMachine.ServiceTime.Check()
}
