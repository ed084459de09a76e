package entry

import (
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/uber-go/tally/v4"
)

// metrics holds the metrics of the data path.
type metrics struct {
	scope             tally.Scope
	offers            [model.NumPriorities]tally.Counter
	answers           [model.NumPriorities]tally.Counter
	latency           [model.NumPriorities]tally.Histogram
	shifts            tally.Counter
	truncations       tally.Counter
	retriesOverBudget tally.Counter
	spills            tally.Counter
	hedges            tally.Counter
	lookups           tally.Counter
	tickets           tally.Counter
}

// latencyBuckets are the histogram buckets of the request latency, from 1 ms to 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

func newMetrics(scope tally.Scope) metrics {
	m := metrics{
		scope:             scope,
		shifts:            scope.Counter("shifted_requests"),
		truncations:       scope.Counter("truncated_answers"),
		retriesOverBudget: scope.Counter("retries_over_budget"),
		spills:            scope.Counter("spilled_requests"),
		hedges:            scope.Counter("hedged_requests"),
		lookups:           scope.Counter("lookups"),
		tickets:           scope.Counter("tickets_issued"),
	}
	for p := range model.NumPriorities {
		tagged := scope.Tagged(map[string]string{"priority": model.Priority(p).String()})
		m.offers[p] = tagged.Counter("offered_requests")
		m.answers[p] = tagged.Counter("answered_requests")
		m.latency[p] = tagged.Histogram("request_seconds", latencyBuckets)
	}
	return m
}

func (m *metrics) offered(p model.Priority)  { m.offers[p].Inc(1) }
func (m *metrics) answered(p model.Priority) { m.answers[p].Inc(1) }
func (m *metrics) shifted()                  { m.shifts.Inc(1) }
func (m *metrics) truncated()                { m.truncations.Inc(1) }
func (m *metrics) retryOverBudget()          { m.retriesOverBudget.Inc(1) }

func (m *metrics) observeLatency(p model.Priority, d time.Duration) { m.latency[p].RecordDuration(d) }

func (m *metrics) retried(r model.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(r)}).Counter("retries").Inc(1)
}

func (m *metrics) hedged()  { m.hedges.Inc(1) }
func (m *metrics) spilled() { m.spills.Inc(1) }

func (m *metrics) redirected(r model.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(r)}).Counter("redirects").Inc(1)
}

func (m *metrics) failed(f *Failure) {
	tags := map[string]string{"reason": string(f.Reason), "outcome": f.Outcome.String()}
	m.scope.Tagged(tags).Counter("failed_requests").Inc(1)
}

// inFlightCounter counts requests in flight. It is safe for concurrent use.
type inFlightCounter struct {
	n atomic.Int64
}

func (a *inFlightCounter) enter()       { a.n.Add(1) }
func (a *inFlightCounter) leave()       { a.n.Add(-1) }
func (a *inFlightCounter) count() int64 { return a.n.Load() }
