package front

import (
	"net/http"
	"strconv"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/platform"

	"github.com/uber-go/tally/v4"
)

// Reasons of refusals and of requests that were not repeated.
const (
	reasonNoConfig   = "no_configuration"
	reasonNoID       = "no_request_id"
	reasonNoRoute    = "no_route"
	reasonTooLarge   = "body_too_large"
	reasonTimeout    = "timeout"
	reasonConnect    = "no_connection"
	reasonClientLeft = "client_left"
	reasonUnknown    = "may_have_run"
	reasonStreamed   = "body_streamed"
	reasonAttempts   = "attempts_used"
	reasonBudget     = "repeat_budget"
)

// latencyBuckets cover the objectives and deadlines of the deployments.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.6, 16)

type metrics struct {
	scope tally.Scope
}

func newMetrics(scope tally.Scope) *metrics { return &metrics{scope: scope} }

func (m *metrics) served(kind string, status int, took time.Duration) {
	scope := m.scope.Tagged(map[string]string{"kind": kind, "outcome": outcomeOf(status)})
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_latency", latencyBuckets).RecordDuration(took)
}

func (m *metrics) refused(reason string, status int) {
	m.scope.Tagged(map[string]string{"reason": reason, "status": strconv.Itoa(status)}).Counter("refusals").Inc(1)
}

func (m *metrics) attemptFailed(cause string) {
	m.scope.Tagged(map[string]string{"cause": cause}).Counter("attempts_failed").Inc(1)
}

// repeat counts a repeat that the shared budget granted or refused.
func (m *metrics) repeat(service model.ServiceName, budget string) {
	m.scope.Tagged(map[string]string{"service": string(service), "budget": budget}).Counter("repeats").Inc(1)
}

func outcomeOf(status int) string {
	if status < http.StatusBadRequest {
		return "success"
	}
	return "failure"
}

// fields are the inputs of the decisions on a request, as every line has them.
func (q *request) fields(now time.Time, more ...any) []any {
	fields := []any{"request", q.id, "ms", now.Sub(q.start).Milliseconds(), "revision", q.snapshot.Revision,
		"age", q.server.opts.Age(now).Round(time.Millisecond)}
	if q.route != nil {
		fields = append(fields, "version", q.snapshot.Config.Version, "route", q.route.Name, "kind", q.route.Kind,
			"object", q.r.Header.Get(platform.HeaderObject))
	}
	if q.last.Server != nil {
		fields = append(fields, "server", q.last.Target.ID, "zone", q.last.Target.Zone, "rank", q.last.Rank,
			"load", strconv.FormatFloat(q.last.Load, 'f', 2, 64), "cold", q.last.Cold, "attempts", q.attempts)
	}
	return append(fields, more...)
}

func (q *request) logServed(status int, err error) {
	now := time.Now()
	q.server.metrics.served(q.route.Kind.String(), status, now.Sub(q.start))
	if err != nil {
		q.server.opts.Log.Failed("answer not delivered", q.fields(now, "status", status, "cause", err)...)
		return
	}
	q.server.opts.Log.Served("answered", q.fields(now, "status", status)...)
}

func (q *request) logRefused(status int, reason string) {
	q.server.metrics.refused(reason, status)
	q.server.opts.Log.Failed("gave up", q.fields(time.Now(), "status", status, "reason", reason)...)
}

// logAttempt tells of an attempt without an answer to hand on.
func (q *request) logAttempt(text string, more ...any) {
	q.server.metrics.attemptFailed(text)
	q.logFailed(text, more...)
}

func (q *request) logFailed(text string, more ...any) {
	q.server.opts.Log.Failed(text, q.fields(time.Now(), more...)...)
}
