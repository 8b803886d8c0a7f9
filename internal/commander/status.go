package commander

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/magnoliaknot/magnoliaknot/pkg/administrator"
	"github.com/magnoliaknot/magnoliaknot/pkg/administrator/administratorconnect"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

func findingsError(messages []*administrator.Finding) error {
	var findings reporter.Findings
	for _, m := range messages {
		findings.Append(reporter.Finding{Place: m.Place, Value: m.Value, Reason: m.Reason})
	}
	return findings.Err()
}

func newStatusCommand() *cobra.Command {
	var c clientOptions
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show a daemon's configuration, failure domains and instances",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.call(cmd, func(ctx context.Context, client administratorconnect.AdministratorClient) error {
				answer, err := client.GetStatus(ctx, &administrator.GetStatusRequest{})
				if err != nil {
					return Error.Wrap(err)
				}
				return printStatus(cmd.OutOrStdout(), answer)
			})
		},
	}
	c.addFlags(cmd)
	return cmd
}

func printStatus(out io.Writer, s *administrator.GetStatusResponse) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "daemon\t%s (incarnation %d, %s, %s)\n", s.Instance, s.Incarnation, s.FailureDomain, s.Region)
	fmt.Fprintf(w, "configuration\tversion %d, confirmed %d ms ago, log %s\n", s.ConfigurationVersion, s.ConfirmedAgeMs, s.LogState)
	fmt.Fprintln(w, "\nFAILURE DOMAIN\tSTATE\tRAMP")
	for _, domain := range s.FailureDomains {
		state := "in"
		if domain.Out {
			state = "out"
		}
		fmt.Fprintf(w, "%s\t%s\t%.0f%%\n", domain.FailureDomain, state, domain.RampShare*100)
	}
	fmt.Fprintln(w, "\nINSTANCE\tSERVICE\tFAILURE DOMAIN\tSTATE\tADDRESS")
	for _, i := range s.Instances {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", i.Instance, i.Service, i.FailureDomain, i.State, i.Address)
	}
	return w.Flush()
}

func newAuditCommand() *cobra.Command {
	var c clientOptions
	var limit uint32
	cmd := &cobra.Command{
		Use:   "audit",
		Short: "List changes with their operator, base version and result",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.call(cmd, func(ctx context.Context, client administratorconnect.AdministratorClient) error {
				answer, err := client.ListAudit(ctx, &administrator.ListAuditRequest{Limit: limit})
				if err != nil {
					return Error.Wrap(err)
				}
				return printAudit(cmd.OutOrStdout(), answer)
			})
		},
	}
	c.addFlags(cmd)
	cmd.Flags().Uint32Var(&limit, "limit", 50, "number of entries, newest first")
	return cmd
}

func printAudit(out io.Writer, answer *administrator.ListAuditResponse) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "OFFSET\tTIME\tOPERATOR\tFROM\tVERSION\tRESULT\tCHANGE\tEDITS")
	for _, e := range answer.Entries {
		result := e.Result
		if e.Reason != "" {
			result += " (" + e.Reason + ")"
		}
		at := time.UnixMilli(e.PublishedAtMs).UTC().Format(time.RFC3339)
		fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n",
			e.Offset, at, e.Operator, e.BaseVersion, e.Version, result, e.ChangeId, strconv.Itoa(len(e.Edits)))
		if e.Comment != "" {
			fmt.Fprintf(w, "\t\t\t\t\t\t\tcomment: %s\n", e.Comment)
		}
		for _, edit := range e.Edits {
			fmt.Fprintf(w, "\t\t\t\t\t\t\t%s\n", edit)
		}
	}
	fmt.Fprintf(w, "the trail covers offsets from %d\n", answer.OldestOffset)
	return w.Flush()
}
