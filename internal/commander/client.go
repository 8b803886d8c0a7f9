package commander

import (
	"context"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/magnoliaknot/magnoliaknot/pkg/administrator/administratorconnect"
)

// tokenVariable holds the operator's token, so that it does not appear in the
// process list.
const tokenVariable = "MAGNOLIAKNOT_TOKEN"

// connection is how operator commands reach a daemon.
type connection struct {
	address string
	timeout time.Duration
}

func (c *connection) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.address, "address", "127.0.0.1:8005", "administration address of any daemon")
	cmd.Flags().DurationVar(&c.timeout, "timeout", 15*time.Second, "longest time to wait")
}

// call runs a function with a client that carries the operator's token.
func (c *connection) call(cmd *cobra.Command, call func(context.Context, administratorconnect.AdministratorClient) error) error {
	token := os.Getenv(tokenVariable)
	if token == "" {
		return &exitError{exitFindings, Error.New("the environment variable %s holds no token", tokenVariable)}
	}
	client := administratorconnect.NewAdministratorClient(http.DefaultClient, "http://"+c.address,
		connect.WithInterceptors(bearer(token)))
	ctx, cancel := context.WithTimeout(cmd.Context(), c.timeout)
	defer cancel()
	return call(ctx, client)
}

// callWithSheet reads a sheet and runs a function with it and a client.
func (c *connection) callWithSheet(cmd *cobra.Command, path string, call func(context.Context, administratorconnect.AdministratorClient, []byte) error) error {
	sheet, err := os.ReadFile(path)
	if err != nil {
		return Error.Wrap(err)
	}
	return c.call(cmd, func(ctx context.Context, client administratorconnect.AdministratorClient) error {
		return call(ctx, client, sheet)
	})
}

// bearer adds the operator's token to each call.
func bearer(token string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set("Authorization", "Bearer "+token)
			return next(ctx, request)
		}
	}
}
