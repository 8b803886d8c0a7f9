package commander

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/magnoliaknot/magnoliaknot/pkg/administrator"
	"github.com/magnoliaknot/magnoliaknot/pkg/administrator/administratorconnect"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
)

func newSheetCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "sheet", Short: "Check, compare and publish sheets", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(newCheckCommand(), newDiffCommand(), newPublishCommand())
	return cmd
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "List all findings in a sheet without contacting a daemon",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			data, err := os.ReadFile(arguments[0])
			if err != nil {
				return Error.Wrap(err)
			}
			sheet, err := parser.Decode(data)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: no findings; %d services, %d failure domains\n",
				arguments[0], len(sheet.Services), len(sheet.FailureDomains))
			return err
		},
	}
}

func newDiffCommand() *cobra.Command {
	var c clientOptions
	cmd := &cobra.Command{
		Use:   "diff FILE",
		Short: "List the edits from the sheet in force to the given one",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			return c.callWithSheet(cmd, arguments[0], func(ctx context.Context, client administratorconnect.AdministratorClient, sheet []byte) error {
				answer, err := client.DiffSheet(ctx, &administrator.DiffSheetRequest{Sheet: sheet})
				if err != nil {
					return Error.Wrap(err)
				}
				if err := findingsError(answer.Findings); err != nil {
					return err
				}
				return printDiff(cmd.OutOrStdout(), answer)
			})
		},
	}
	c.addFlags(cmd)
	return cmd
}

func printDiff(w io.Writer, answer *administrator.DiffSheetResponse) error {
	if _, err := fmt.Fprintf(w, "%d edits from version %d\n", len(answer.Edits), answer.Version); err != nil {
		return err
	}
	for _, edit := range answer.Edits {
		if _, err := fmt.Fprintln(w, edit); err != nil {
			return err
		}
	}
	return nil
}

func newPublishCommand() *cobra.Command {
	var c clientOptions
	var base uint64
	var id, comment string
	cmd := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish a sheet and wait until it is accepted or rejected",
		Long: `Publishes a sheet through any daemon. Without --base the sheet replaces the
version in force. With --base it is rejected if another change came first.
If the answer is lost, repeat the command with the same --id: a change is
accepted at most once.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			return c.callWithSheet(cmd, arguments[0], func(ctx context.Context, client administratorconnect.AdministratorClient, sheet []byte) error {
				answer, err := client.PublishChange(ctx, &administrator.PublishChangeRequest{
					Sheet: sheet, BaseVersion: base, ChangeId: id, Comment: comment,
				})
				if err != nil {
					return Error.Wrap(err)
				}
				return printPublishResult(cmd.OutOrStdout(), answer)
			})
		},
	}
	c.addFlags(cmd)
	cmd.Flags().Uint64Var(&base, "base", 0, "version that the sheet is based on")
	cmd.Flags().StringVar(&id, "id", "", "id of the change; a change with the same id is accepted at most once")
	cmd.Flags().StringVar(&comment, "comment", "", "comment for the audit trail")
	return cmd
}

func printPublishResult(w io.Writer, answer *administrator.PublishChangeResponse) error {
	switch answer.Result {
	case administrator.PublishChangeResponse_RESULT_ACCEPTED:
		_, err := fmt.Fprintf(w, "accepted as version %d (change %s)\n", answer.Version, answer.ChangeId)
		return err
	case administrator.PublishChangeResponse_RESULT_UNCHANGED:
		_, err := fmt.Fprintf(w, "unchanged: version %d already says the same\n", answer.Version)
		return err
	case administrator.PublishChangeResponse_RESULT_REJECTED:
		if err := findingsError(answer.Findings); err != nil {
			return err
		}
		return &exitError{exitRejected, Error.New("rejected: %s (version in force %d, change %s)", answer.Reason, answer.Version, answer.ChangeId)}
	case administrator.PublishChangeResponse_RESULT_NOT_PUBLISHED:
		return Error.New("not published: %s; repeat with --id %s", answer.Reason, answer.ChangeId)
	case administrator.PublishChangeResponse_RESULT_UNKNOWN, administrator.PublishChangeResponse_RESULT_UNSPECIFIED:
	}
	return Error.New("outcome unknown: %s; repeat with --id %s", answer.Reason, answer.ChangeId)
}
