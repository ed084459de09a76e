package node

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/platform"

	"github.com/pkg/errors"
)

const (
	// startTimeout bounds the start of all services.
	startTimeout = 30 * time.Second
	// lingerShare is the part of the grace time in which a leaving VM still
	// accepts connections of clients that hold an older look-up.
	lingerShare = 0.3
	// stopMargin is left of the grace time when the last request must be done.
	stopMargin = 300 * time.Millisecond
)

// Run is the whole life of the process on the platform.
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
	return n.stop(context.WithoutCancel(ctx))
}

// watchSettings reads the settings again on SIGHUP until ctx ends. Addresses
// and identity stay as they were at the start.
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
		n.log.Error("settings unusable; the old ones stay in force", "cause", err)
		return
	}
	n.log.Event("settings read again", "path", path)
}

// stop leaves as planned: others and clients learn of it first, connections
// are accepted a little longer, and requests in progress end.
func (n *Node) stop(ctx context.Context) error {
	grace := n.settings.Bounds.GracePeriod
	ctx, cancel := context.WithTimeout(ctx, grace-stopMargin)
	defer cancel()
	n.leaving.Store(true)
	n.front.DrainConnections()
	n.live.Leave()
	n.log.Event("stopping", "active", n.front.ActiveRequests(), "grace", grace)
	background.Sleep(ctx, time.Duration(float64(grace)*lingerShare))
	err := n.kernel.Stop(ctx)
	return errors.Wrap(err, "stop")
}
