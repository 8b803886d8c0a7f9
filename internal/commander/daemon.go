package commander

import (
	"context"
	"io"
	"log/slog"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/magnoliaknot/magnoliaknot/internal/loader"
	"github.com/magnoliaknot/magnoliaknot/internal/runner"
)

func newDaemonCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "daemon",
		Short: "Run the daemon beside a backend server",
		Long: `Runs the daemon until SIGTERM or SIGINT, then stops gracefully: it leaves the
membership, finishes running requests, hands over key ownership and exits.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := loader.Load(path)
			if err != nil {
				return err
			}
			logger, err := newLogger(cmd.ErrOrStderr(), settings)
			if err != nil {
				return err
			}
			limitMemory(settings.Limits.MemoryMB.Runtime())
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return runner.Run(ctx, settings, logger)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file in JSON (required)")
	markRequired(cmd, "settings")
	return cmd
}

func newLogger(w io.Writer, settings *loader.Settings) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(settings.Logging.Level)); err != nil {
		return nil, Error.Wrap(err)
	}
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("node", string(settings.Node)), nil
}

// markRequired panics on an unknown flag, which is a programming error in this
// package.
func markRequired(cmd *cobra.Command, flag string) {
	if err := cmd.MarkFlagRequired(flag); err != nil {
		panic(err)
	}
}
