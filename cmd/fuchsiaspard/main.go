// Command fuchsiaspard is the daemon of one entry VM.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"fuchsiaspar/internal/daemon"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := daemon.Run(ctx, os.Args, os.Stderr)
	stop()
	os.Exit(code)
}
