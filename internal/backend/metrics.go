package backend

import (
	"sync"

	"fuchsiaspar/internal/model"

	"github.com/uber-go/tally/v4"
)

// metrics holds the counters and gauges of a Client.
type metrics struct {
	scope       tally.Scope
	attempts    tally.Counter
	answers     tally.Counter
	repeats     tally.Counter
	silentConns tally.Counter
	conns       tally.Gauge
	failures    sync.Map // outcome and reason to tally.Counter
	cancelled   sync.Map // AttemptState to tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:       scope,
		attempts:    scope.Counter("attempts"),
		answers:     scope.Counter("answers"),
		repeats:     scope.Counter("transport_repeats"),
		silentConns: scope.Counter("silent_connections"),
		conns:       scope.Gauge("open_connections"),
	}
}

func (m *metrics) countFailure(outcome model.Outcome, reason model.Reason) {
	type key struct {
		outcome model.Outcome
		reason  model.Reason
	}
	k := key{outcome, reason}
	counter, ok := m.failures.Load(k)
	if !ok {
		tags := map[string]string{"outcome": outcome.String(), "reason": string(reason)}
		counter, _ = m.failures.LoadOrStore(k, m.scope.Tagged(tags).Counter("failures"))
	}
	counter.(tally.Counter).Inc(1)
}

func (m *metrics) countCancellation(state AttemptState) {
	counter, ok := m.cancelled.Load(state)
	if !ok {
		tags := map[string]string{"state": string(state)}
		counter, _ = m.cancelled.LoadOrStore(state, m.scope.Tagged(tags).Counter("cancellations"))
	}
	counter.(tally.Counter).Inc(1)
}
