package daemon

import (
	"context"
	"sync"
	"time"

	"fuchsiaspar/internal/once"

	"github.com/uber-go/tally/v4"
)

// expiryInterval is how often records that have expired are dropped.
const expiryInterval = time.Second

// expiry drops the records of tickets and attempts in time, also while no
// request comes.
type expiry struct {
	tickets  *once.Registry
	attempts *once.Attempts
	scope    tally.Scope
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// Start drops records until Stop.
func (e *expiry) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.done.Go(func() { e.loop(ctx) })
	return nil
}

// Stop ends the dropping.
func (e *expiry) Stop(context.Context) error {
	e.cancel()
	e.done.Wait()
	return nil
}

func (e *expiry) loop(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.expire(now)
		}
	}
}

func (e *expiry) expire(now time.Time) {
	e.tickets.Expire(now)
	e.attempts.Expire(now)
	stats := e.tickets.Stats()
	accepted, sealed := e.attempts.Len()
	e.scope.Gauge("ticket_records").Update(float64(stats.Held))
	e.scope.Gauge("ticket_kept_bytes").Update(float64(stats.KeptBytes))
	e.scope.Gauge("relay_attempts").Update(float64(accepted))
	e.scope.Gauge("relay_attempts_sealed").Update(float64(sealed))
}
