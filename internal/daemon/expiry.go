package daemon

import (
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/once"

	"github.com/uber-go/tally/v4"
)

// expiryInterval is how often records that have expired are dropped.
const expiryInterval = time.Second

// expiry drops the records of tickets and attempts in time, also while no
// request comes.
type expiry struct {
	*background.Periodic
	tickets  *once.Registry
	attempts *once.Attempts
	scope    tally.Scope
}

func newExpiry(tickets *once.Registry, attempts *once.Attempts, scope tally.Scope) *expiry {
	e := &expiry{tickets: tickets, attempts: attempts, scope: scope}
	e.Periodic = background.NewPeriodic(expiryInterval, e.expire)
	return e
}

func (e *expiry) expire(now time.Time) {
	e.tickets.Expire(now)
	e.attempts.Expire(now)
	stats := e.tickets.Stats()
	accepted, sealed := e.attempts.Len()
	e.scope.Gauge("ticket_records").Update(float64(stats.Reserved))
	e.scope.Gauge("ticket_kept_bytes").Update(float64(stats.KeptBytes))
	e.scope.Gauge("relay_attempts").Update(float64(accepted))
	e.scope.Gauge("relay_attempts_sealed").Update(float64(sealed))
}
