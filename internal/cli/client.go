package cli

import (
	"context"
	"net/http"

	"fuchsiaspar/gen/http/operator/client"
	gen "fuchsiaspar/gen/operator"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	goahttp "goa.design/goa/v3/http"
)

// call tries the servers in order and returns the first conclusive response. It
// moves on to the next server if one is unreachable or unable to serve the call.
// Retrying a change is safe: its ID ensures that it is committed only once.
func call[T any](ctx context.Context, cmd *cli.Command, do func(context.Context, *gen.Client) (T, error)) (T, error) {
	var (
		zero    T
		lastErr error
	)
	servers := cmd.StringSlice(flagServer)
	for _, server := range servers {
		result, err := callServer(ctx, cmd, server, do)
		if !shouldTryNextServer(err) {
			return result, err
		}
		lastErr = err
	}
	var failure *gen.Failure
	if errors.As(lastErr, &failure) {
		return zero, lastErr
	}
	return zero, &unreachableError{servers: servers, lastErr: lastErr}
}

// callServer runs do against one server within the time limit of --timeout.
func callServer[T any](ctx context.Context, cmd *cli.Command, server string, do func(context.Context, *gen.Client) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	return do(ctx, newClient(server))
}

// shouldTryNextServer reports whether another server may succeed where this one
// failed: it was unavailable, had an internal error, or was unreachable.
func shouldTryNextServer(err error) bool {
	var (
		failure *gen.Failure
		client  *goahttp.ClientError
	)
	if errors.As(err, &failure) {
		return failure.Name == "unavailable"
	}
	if errors.As(err, &client) {
		return client.Fault || client.Name == requestError
	}
	return false
}

// requestError is the name of goa's error for a request without a response.
const requestError = "request_error"

func newClient(server string) *gen.Client {
	c := client.NewClient("http", server, http.DefaultClient, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return gen.NewClient(
		c.Status(),
		c.Show(),
		c.Diff(),
		c.History(),
		c.Apply(),
		c.DryRun(),
		c.Drains(),
		c.Explain(),
		c.Lookup(),
	)
}
