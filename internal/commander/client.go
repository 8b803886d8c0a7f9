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

// tokenVariable is the environment variable with the operator's token. A flag
// would show the token in the process list.
const tokenVariable = "MAGNOLIAKNOT_TOKEN"

// clientOptions are the flags of commands that call a daemon.
type clientOptions struct {
	address string
	timeout time.Duration
}

func (c *clientOptions) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.address, "address", "127.0.0.1:8005", "administration address of any daemon")
	cmd.Flags().DurationVar(&c.timeout, "timeout", 15*time.Second, "timeout of the call")
}

// call runs a function with a client that sends the operator's token.
func (c *clientOptions) call(cmd *cobra.Command, call func(context.Context, administratorconnect.AdministratorClient) error) error {
	token := os.Getenv(tokenVariable)
	if token == "" {
		return &exitError{exitInvalidInput, Error.New("the environment variable %s holds no token", tokenVariable)}
	}
	client := administratorconnect.NewAdministratorClient(http.DefaultClient, "http://"+c.address,
		connect.WithInterceptors(bearerAuth(token)))
	ctx, cancel := context.WithTimeout(cmd.Context(), c.timeout)
	defer cancel()
	return call(ctx, client)
}

// callWithSheet reads a sheet and runs a function with a client and the sheet.
func (c *clientOptions) callWithSheet(cmd *cobra.Command, path string, call func(context.Context, administratorconnect.AdministratorClient, []byte) error) error {
	sheet, err := os.ReadFile(path)
	if err != nil {
		return Error.Wrap(err)
	}
	return c.call(cmd, func(ctx context.Context, client administratorconnect.AdministratorClient) error {
		return call(ctx, client, sheet)
	})
}

// bearerAuth returns an interceptor that adds the operator's token to each call.
func bearerAuth(token string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set("Authorization", "Bearer "+token)
			return next(ctx, request)
		}
	}
}
