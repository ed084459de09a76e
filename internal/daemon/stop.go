package daemon

import (
	"context"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/overload"
)

// drainPollInterval is the period at which a stopping daemon checks for
// requests in flight.
const drainPollInterval = 20 * time.Millisecond

// overrunShare is the fraction of the stop timeout during which requests are passed on
// although their deadlines are after its end.
const overrunShare = 0.3

// Stop shuts the daemon down gracefully, within the stop timeout of the
// settings. It withdraws this VM from lookup answers and hands its backend
// servers over, keeps serving until cached lookup answers and its own tickets
// have expired, and waits for requests in flight before stopping the services.
func (d *Daemon) Stop(ctx context.Context) error {
	timeout, linger := d.settings.Limits.StopTimeout.Std(), d.clientCacheLifetime()
	now := time.Now()
	end := now.Add(timeout)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	d.logger.Info("leaving", "vm", d.settings.VM.Name)
	overrun := min(linger, time.Duration(float64(timeout)*overrunShare))
	d.entry.PlanStop(overload.PlannedStop{Last: now.Add(overrun), End: end})
	d.control.Leave()
	d.sleep(ctx, linger)
	d.awaitIdle(ctx)
	err := d.kernel.Stop(ctx)
	d.logger.Info("stopped", "vm", d.settings.VM.Name)
	return err
}

// clientCacheLifetime returns how long callers may keep using this VM after it
// left the lookup answers: the longer of the lookup TTL and the ticket
// validity, or zero without a configuration.
func (d *Daemon) clientCacheLifetime() time.Duration {
	validity := d.settings.Limits.TicketValidity.Std()
	state := d.control.State()
	if state == nil {
		return 0
	}
	return max(state.Config.Document().Lookup.TTL.Std(), validity)
}

// sleep waits for duration or until ctx ends.
func (d *Daemon) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// awaitIdle waits until no request is in flight or ctx ends.
func (d *Daemon) awaitIdle(ctx context.Context) {
	for d.entry.ActiveRequests() > 0 && ctx.Err() == nil {
		d.sleep(ctx, drainPollInterval)
	}
}

// Kill stops the daemon at once, as a crash would: it closes all connections
// and hands nothing over.
func (d *Daemon) Kill() {
	d.server.close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = d.kernel.Stop(ctx)
}

// killSuperseded stops the daemon at once when a newer process runs under the
// same VM name: two processes in one slot would spend its floor shares of
// the quotas twice.
func (d *Daemon) killSuperseded(by model.Incarnation) {
	d.logger.Error("superseded", "vm", d.settings.VM.Name, "by", uint64(by))
	d.Kill()
	close(d.superseded)
}
