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

// call asks the servers in order until one answers and returns that answer. A
// server that is down, or that can't serve the call now, is passed over.
// Changes carry IDs, so that one sent twice is made once.
func call[T any](ctx context.Context, cmd *cli.Command, ask func(context.Context, *gen.Client) (T, error)) (T, error) {
	var (
		zero T
		last error
	)
	servers := cmd.StringSlice(flagServer)
	for _, server := range servers {
		answer, err := askOne(ctx, cmd, server, ask)
		if !passOver(err) {
			return answer, err
		}
		last = err
	}
	var failure *gen.Failure
	if errors.As(last, &failure) {
		return zero, last
	}
	return zero, &unreachableError{servers: servers, last: last}
}

func askOne[T any](ctx context.Context, cmd *cli.Command, server string, ask func(context.Context, *gen.Client) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	return ask(ctx, newClient(server))
}

// passOver reports whether another server may answer better: this one can't
// serve the call now, failed, or was not reached.
func passOver(err error) bool {
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

// requestError is goa's name for a request that got no response.
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
