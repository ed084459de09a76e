package daemon

import (
	"context"
	"time"

	"fuchsiaspar/internal/model"
)

// drainPoll is how often a leaving daemon looks whether work is in flight.
const drainPoll = 20 * time.Millisecond

// Stop ends the process as planned. It leaves look-up answers and hands its
// servers over, goes on serving until no cached answer and no ticket of its
// own can be in use, and finishes what is in flight.
func (d *Daemon) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Limits.StopTimeout.Std())
	defer cancel()
	d.logger.Info("leaving", "vm", d.settings.VM.Name)
	d.control.Leave()
	d.wait(ctx, d.cacheTime())
	d.finish(ctx)
	err := d.kernel.Stop(ctx)
	d.logger.Info("stopped", "vm", d.settings.VM.Name)
	return err
}

// cacheTime is how long callers may still use this VM: they cache look-up
// answers and hold tickets.
func (d *Daemon) cacheTime() time.Duration {
	validity := d.settings.Limits.TicketValidity.Std()
	state := d.control.State()
	if state == nil {
		return 0
	}
	return max(state.Config.Document().Lookup.TTL.Std(), validity)
}

func (d *Daemon) wait(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}

// finish waits until nothing is in flight.
func (d *Daemon) finish(ctx context.Context) {
	for d.entry.ActiveRequests() > 0 && ctx.Err() == nil {
		d.wait(ctx, drainPoll)
	}
}

// Kill ends the process at once, as a crash would: connections are cut and
// nothing is handed over.
func (d *Daemon) Kill() {
	d.server.close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = d.kernel.Stop(ctx)
}

// giveWay ends the process at once after a newer one has taken over its slot:
// two processes of one slot would spend its floor shares twice.
func (d *Daemon) giveWay(by model.Incarnation) {
	d.logger.Error("superseded", "vm", d.settings.VM.Name, "by", uint64(by))
	d.Kill()
	close(d.superseded)
}
