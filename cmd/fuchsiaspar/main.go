// Command fuchsiaspar is the command-line client for operators.
package main

import (
	"context"
	"os"
	"os/signal"

	"fuchsiaspar/internal/cli"
	"fuchsiaspar/internal/demo"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := cli.Run(ctx, cli.New(demo.Command()), os.Args)
	stop()
	os.Exit(code)
}
