package node

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/overload"
	"fuchsiaspar/platform"

	"github.com/pkg/errors"
)

const (
	// startTimeout bounds the time to start all services.
	startTimeout = 30 * time.Second
	// lingerShare is the fraction of the grace period during which a leaving VM
	// still accepts connections from clients with an outdated look-up.
	lingerShare = 0.3
	// maxOverrun bounds the time in which requests are passed on although their deadlines
	// are after the end of the grace period.
	maxOverrun = 3 * time.Second
	// shutdownMargin is what remains of the grace period when the last request
	// must be finished.
	shutdownMargin = 300 * time.Millisecond
)

// Run starts an entry VM with the settings in the file at settingsPath, serves
// until ctx ends, and shuts down. Logs go to out.
func Run(ctx context.Context, settingsPath string, out io.Writer) error {
	settings, err := platform.LoadNodeSettings(settingsPath)
	if err != nil {
		return err
	}
	n, err := New(settings, out)
	if err != nil {
		return err
	}
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := n.kernel.Start(starting); err != nil {
		return errors.Wrap(err, "start")
	}
	n.log.Event("started", "zone", settings.Zone, "region", settings.Region, "front", settings.Listen.Front,
		"first", settings.FirstStart)
	n.watchSettings(ctx, settingsPath)
	return n.shutdown(context.WithoutCancel(ctx))
}

// watchSettings reloads the settings on SIGHUP until ctx ends. Addresses and
// identity keep their values from the start.
func (n *Node) watchSettings(ctx context.Context, path string) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			n.reload(path)
		}
	}
}

func (n *Node) reload(path string) {
	if _, err := platform.LoadNodeSettings(path); err != nil {
		n.log.Error("invalid settings; keeping the previous ones", "cause", err)
		return
	}
	n.log.Event("settings read again", "path", path)
}

// shutdown stops the VM as planned: it announces to clients and other VMs that it
// is leaving, keeps accepting connections for a while, and then waits for the
// requests in progress.
func (n *Node) shutdown(ctx context.Context) error {
	grace := n.settings.Bounds.Grace
	linger := time.Duration(float64(grace) * lingerShare)
	now := time.Now()
	end := now.Add(grace - shutdownMargin)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	n.leaving.Store(true)
	n.front.PlanStop(overload.PlannedStop{Last: now.Add(min(linger, maxOverrun)), End: end})
	n.front.DrainConnections()
	n.liveness.Leave()
	n.log.Event("stopping", "active", n.front.ActiveRequests(), "grace", grace)
	background.Sleep(ctx, linger)
	err := n.kernel.Stop(ctx)
	return errors.Wrap(err, "stop")
}
