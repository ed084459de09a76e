package daemon

import (
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/once"

	"github.com/uber-go/tally/v4"
)

// expiryInterval is the period between removals of expired records.
const expiryInterval = time.Second

// expiry periodically removes expired ticket and attempt records and reports
// how many remain. It runs on a timer so that memory is freed even when no
// requests arrive.
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
	accepted, rejected := e.attempts.Len()
	e.scope.Gauge("ticket_records").Update(float64(stats.Reserved))
	e.scope.Gauge("ticket_kept_bytes").Update(float64(stats.KeptBytes))
	e.scope.Gauge("relay_attempts").Update(float64(accepted))
	e.scope.Gauge("relay_attempts_sealed").Update(float64(rejected))
}
