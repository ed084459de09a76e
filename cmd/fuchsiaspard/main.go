// Command fuchsiaspard is the daemon that runs on each entry VM.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"fuchsiaspar/internal/daemon"
)

func main() {
	// The default action of SIGHUP, the signal to reload the settings, would
	// terminate a process that has not installed its handler yet.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := daemon.Run(ctx, os.Args, os.Stderr)
	stop()
	os.Exit(code)
}
