package commander

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/magnoliaknot/magnoliaknot/internal/simulator"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func newSimulateCommand() *cobra.Command {
	var name string
	var seed uint64
	var seconds int
	cmd := &cobra.Command{
		Use:   "simulate",
		Short: "Compare policies for selection, queueing and refusal under simulated heavy load, without a network",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fmt.Fprintln(cmd.OutOrStdout(), simulator.TableHeader)
			for _, load := range simulator.StandardLoads() {
				if name != "" && load.Name != name {
					continue
				}
				load.Seed, load.Duration = seed, timer.Millis(seconds)*timer.Second
				for _, policies := range append([]simulator.Policies{simulator.CurrentPolicies()}, simulator.AlternativePolicies()...) {
					report, err := simulator.Run(load, policies)
					if err != nil {
						return err
					}
					fmt.Fprintln(cmd.OutOrStdout(), report)
				}
				if load.Accounts.Count == 0 {
					continue
				}
				table, err := simulator.CompareQueues(load)
				if err != nil {
					return err
				}
				fmt.Fprint(cmd.OutOrStdout(), table)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&name, "load", "", "run only the load of this name: busy, overload, noisy, restart or accounts")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of arrivals, work and noise")
	cmd.Flags().IntVar(&seconds, "seconds", 30, "duration of each load")
	return cmd
}
