package main

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/spf13/cobra"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/listener"
	"github.com/magnoliaknot/magnoliaknot/internal/bench/logserver"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Defaults of the log stand-in. The platform's log accepts several hundred appends
// a second.
const (
	defaultAppendsPerSecond = 500
	defaultMaxRecordBytes   = 4 << 20
	defaultMaxRecords       = 100000
	defaultRetention        = time.Hour
)

func newLogCommand(log *slog.Logger) *cobra.Command {
	var config logserver.StoreConfig
	var address string
	var retention time.Duration
	var seed uint64
	command := &cobra.Command{
		Use:   "log",
		Short: "Run a stand-in for the platform's log",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			config.Retention = timer.FromDuration(retention)
			socket, err := listener.Listen(identifier.Address(address))
			if err != nil {
				return err
			}
			server := logserver.NewServer(config, timer.NewSystem(), rand.New(rand.NewPCG(seed, 0)), log)
			served := make(chan error, 1)
			go func() { served <- server.Serve(socket) }()
			if err := listener.PrintReady(command.OutOrStdout(), "log", socket.Addr()); err != nil {
				return err
			}
			select {
			case err := <-served:
				return err
			case <-command.Context().Done():
				log.Info("stopping")
				return server.Shutdown()
			}
		},
	}
	flags := command.Flags()
	flags.StringVar(&address, "listen", "127.0.0.1:0", "loopback address to listen on")
	flags.DurationVar(&retention, "retention", defaultRetention, "how long records are kept; 0 keeps them forever")
	flags.IntVar(&config.MaxRecords, "max-records", defaultMaxRecords, "records kept in each stream; 0 keeps all")
	flags.IntVar(&config.MaxRecordBytes, "max-record-bytes", defaultMaxRecordBytes, "largest record")
	flags.IntVar(&config.AppendsPerSecond, "append-rate", defaultAppendsPerSecond, "appends a second over all streams; 0 sets no limit")
	flags.Uint64Var(&seed, "seed", 1, "seed of random faults")
	return command
}
