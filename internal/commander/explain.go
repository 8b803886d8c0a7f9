package commander

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/magnoliaknot/magnoliaknot/internal/explainer"
)

func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST [LOG...]",
		Short: "Explain the outcome of a request from logs",
		Long: `Reads log files, or standard input, and prints the decisions of every process
about a request, in time order, and the reason for its outcome.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			logs := []io.Reader{cmd.InOrStdin()}
			if len(arguments) > 1 {
				logs = nil
			}
			for _, path := range arguments[1:] {
				file, err := os.Open(path)
				if err != nil {
					return Error.Wrap(err)
				}
				defer file.Close()
				logs = append(logs, file)
			}
			explanation, err := explainer.Explain(arguments[0], logs...)
			if err != nil {
				return err
			}
			_, err = fmt.Fprint(cmd.OutOrStdout(), explanation)
			return err
		},
	}
}
