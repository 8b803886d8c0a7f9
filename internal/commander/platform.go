package commander

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/magnoliaknot/magnoliaknot/internal/recorder"
	"github.com/magnoliaknot/magnoliaknot/platform"
)

func newPlatformCommand() *cobra.Command {
	var path, level string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run the daemon on the users' platform",
		Long: `Runs the daemon with the settings, store and headers of the users' platform
until SIGTERM or SIGINT, then stops gracefully. Without --settings the path
comes from the environment variable ` + platform.SettingsVariable + `.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var minLevel slog.Level
			if err := minLevel.UnmarshalText([]byte(level)); err != nil {
				return Error.Wrap(err)
			}
			if path == "" {
				path = os.Getenv(platform.SettingsVariable)
			}
			log := recorder.New(cmd.OutOrStdout(), recorder.Config{Level: minLevel})
			defer log.Close()
			logger := slog.New(log.Handler())
			settings, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			limitMemory(settings.MemoryMB.Runtime())
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return platform.Run(ctx, path, logger)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file in JSON")
	cmd.Flags().StringVar(&level, "log-level", "debug", "lowest level that is logged: debug, info, warn or error")
	return cmd
}
