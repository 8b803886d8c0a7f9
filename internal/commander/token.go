package commander

import (
	"crypto/rand"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/magnoliaknot/magnoliaknot/internal/authenticator"
)

func newTokenCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "token",
		Short: "Generate an operator's token and its hash for the settings",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			token := rand.Text()
			hash, err := authenticator.HashToken(token).MarshalText()
			if err != nil {
				return Error.Wrap(err)
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "token:        %s\ntoken_sha256: %s\n", token, hash)
			return err
		},
	}
}
