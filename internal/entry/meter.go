package entry

import (
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/uber-go/tally/v4"
)

// meter counts what the data path did.
type meter struct {
	scope       tally.Scope
	offers      [model.NumPriorities]tally.Counter
	answers     [model.NumPriorities]tally.Counter
	latency     [model.NumPriorities]tally.Histogram
	shifts      tally.Counter
	truncations tally.Counter
	budget      tally.Counter
	spills      tally.Counter
	hedges      tally.Counter
	lookups     tally.Counter
	tickets     tally.Counter
}

// latencyBuckets cover 1 ms to 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

func newMeter(scope tally.Scope) meter {
	m := meter{
		scope:       scope,
		shifts:      scope.Counter("shifted_requests"),
		truncations: scope.Counter("truncated_answers"),
		budget:      scope.Counter("retries_over_budget"),
		spills:      scope.Counter("spilled_requests"),
		hedges:      scope.Counter("hedged_requests"),
		lookups:     scope.Counter("lookups"),
		tickets:     scope.Counter("tickets_issued"),
	}
	for p := range model.NumPriorities {
		tagged := scope.Tagged(map[string]string{"priority": model.Priority(p).String()})
		m.offers[p] = tagged.Counter("offered_requests")
		m.answers[p] = tagged.Counter("answered_requests")
		m.latency[p] = tagged.Histogram("request_seconds", latencyBuckets)
	}
	return m
}

func (m *meter) offered(p model.Priority)  { m.offers[p].Inc(1) }
func (m *meter) answered(p model.Priority) { m.answers[p].Inc(1) }
func (m *meter) shifted()                  { m.shifts.Inc(1) }
func (m *meter) truncated()                { m.truncations.Inc(1) }
func (m *meter) retryRefused()             { m.budget.Inc(1) }

func (m *meter) took(p model.Priority, d time.Duration) { m.latency[p].RecordDuration(d) }

func (m *meter) retried(r model.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(r)}).Counter("retries").Inc(1)
}

func (m *meter) hedged()  { m.hedges.Inc(1) }
func (m *meter) spilled() { m.spills.Inc(1) }

func (m *meter) redirected(r model.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(r)}).Counter("redirects").Inc(1)
}

func (m *meter) failed(f *Failure) {
	tags := map[string]string{"reason": string(f.Reason), "outcome": f.Outcome.String()}
	m.scope.Tagged(tags).Counter("failed_requests").Inc(1)
}

// activity counts requests in flight.
type activity struct {
	n atomic.Int64
}

func (a *activity) enter()       { a.n.Add(1) }
func (a *activity) leave()       { a.n.Add(-1) }
func (a *activity) count() int64 { return a.n.Load() }
