// Command magnoliabench runs stand-ins for the platform and the load generator.
//
// # Usage
//
//	magnoliabench log --listen 127.0.0.1:7000
//	magnoliabench backend --listen 127.0.0.1:8000 --announce http://127.0.0.1:9000/announce
//	magnoliabench load --target 127.0.0.1:9100 --rate 500 --duration 10s
//	magnoliabench compare random=first.json,second.json
//	magnoliabench attack --target 127.0.0.1:9100 --connections 100
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	root := &cobra.Command{
		Use:           "magnoliabench",
		Short:         "Stand-ins for the platform, and a load generator",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	root.AddCommand(newLogCommand(log), newBackendCommand(log), newLoadCommand(log), newCompareCommand(), newAttackCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		log.Error("command failed", "error", err.Error())
		os.Exit(1)
	}
}
