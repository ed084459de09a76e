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
	// Asks for new settings must not end a process that is about to read them.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := daemon.Run(ctx, os.Args, os.Stderr)
	stop()
	os.Exit(code)
}
