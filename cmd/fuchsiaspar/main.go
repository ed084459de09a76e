// Command fuchsiaspar is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"

	"fuchsiaspar/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := cli.Run(ctx, cli.New(), os.Args)
	stop()
	os.Exit(code)
}
