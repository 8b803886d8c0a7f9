// Package commander is the command line of magnoliaknot.
//
// # Usage
//
//	os.Exit(commander.Execute(os.Args[1:], os.Stdout, os.Stderr))
//
// Exit codes: 0 success, 1 failure, 2 bad usage or findings, 3 rejected change.
package commander

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"
	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

// Error is the class of errors of this package.
var Error = errs.Class("magnoliaknot")

// Exit codes.
const (
	exitSuccess      = 0
	exitFailure      = 1
	exitInvalidInput = 2
	exitRejected     = 3
)

// exitError carries the exit code of a failed command.
type exitError struct {
	code int
	err  error
}

// Error formats the cause.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// Execute runs a command and returns the exit code.
func Execute(arguments []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(arguments)
	root.SetOut(stdout)
	root.SetErr(stderr)
	started := false
	trackStart(root, &started)
	err := root.Execute()
	if err == nil {
		return exitSuccess
	}
	fmt.Fprintln(stderr, err)
	if !started {
		return exitInvalidInput
	}
	return exitCode(err)
}

// trackStart sets started when the function of a command is called; an error before
// that is bad usage.
func trackStart(cmd *cobra.Command, started *bool) {
	if run := cmd.RunE; run != nil {
		cmd.RunE = func(cmd *cobra.Command, arguments []string) error {
			*started = true
			return run(cmd, arguments)
		}
	}
	for _, child := range cmd.Commands() {
		trackStart(child, started)
	}
}

func exitCode(err error) int {
	var exit *exitError
	switch {
	case errors.As(err, &exit):
		return exit.code
	case reporter.Error.Has(err):
		return exitInvalidInput
	}
	return exitFailure
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "magnoliaknot",
		Short: "Load balancer for backend servers whose load shifts in milliseconds",
		Long: `magnoliaknot runs one daemon beside each backend server. Every daemon accepts
requests of callers, selects a backend server and forwards to the daemon beside
it, which alone decides whether the request may start.

Exit codes: 0 success, 1 failure, 2 bad usage or findings, 3 rejected change.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newDaemonCommand(), newPlatformCommand(), newSheetCommand(), newStatusCommand(), newAuditCommand(), newTokenCommand(), newExplainCommand(), newSimulateCommand(), newVersionCommand())
	return root
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), version())
			return err
		},
	}
}

func version() string {
	info, found := debug.ReadBuildInfo()
	if !found {
		return "magnoliaknot (unknown version)"
	}
	return "magnoliaknot " + info.Main.Version + " " + info.GoVersion
}
