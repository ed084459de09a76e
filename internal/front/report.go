package front

import (
	"net/http"
	"strconv"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/platform"

	"github.com/uber-go/tally/v4"
)

// Reasons why a request was refused or not retried. They appear in error
// responses, log lines and metrics.
const (
	reasonNoConfig     = "no_configuration"
	reasonNoRequestID  = "no_request_id"
	reasonNoRoute      = "no_route"
	reasonBodyTooLarge = "body_too_large"
	reasonBodyTimeout  = "body_timeout"
	reasonTimeout      = "timeout"
	reasonNoConnection = "no_connection"
	reasonClientLeft   = "client_left"
	reasonMayHaveRun   = "may_have_run"
	reasonBodyStreamed = "body_streamed"
	reasonAttemptsUsed = "attempts_used"
	reasonRetryBudget  = "repeat_budget"
	// reasonMemory refuses a request for which the VM has no memory.
	reasonMemory = "memory"
	// reasonServerBytes refuses a request whose body the servers tried can't take beside
	// those that they are receiving.
	reasonServerBytes = "server_bytes"
	// reasonStopping refuses a request that could outlast the planned stop of the VM.
	reasonStopping   = "stopping"
	reasonUnknownKey = "unknown_key"
	// reasonUnconfirmedKey refuses an unknown key that a newer configuration may have.
	reasonUnconfirmedKey = "unconfirmed_key"
	// reasonAccountLimit refuses a request of an account that has used up its limit.
	reasonAccountLimit = "account_limit"
)

// latencyBuckets range from 10 ms to 11.5 s, which covers the latency
// objectives and deadlines of the deployments.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.6, 16)

// metrics counts requests, failed attempts and retries.
type metrics struct {
	scope tally.Scope
}

func newMetrics(scope tally.Scope) *metrics { return &metrics{scope: scope} }

func (m *metrics) served(kind string, status int, latency time.Duration) {
	scope := m.scope.Tagged(map[string]string{"kind": kind, "outcome": outcomeLabel(status)})
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_latency", latencyBuckets).RecordDuration(latency)
}

func (m *metrics) refused(reason string, status int) {
	m.scope.Tagged(map[string]string{"reason": reason, "status": strconv.Itoa(status)}).Counter("refusals").Inc(1)
}

func (m *metrics) failedAttempt(cause string) {
	m.scope.Tagged(map[string]string{"cause": cause}).Counter("attempts_failed").Inc(1)
}

// retry counts a retry that the shared budget granted or refused.
func (m *metrics) retry(service model.ServiceName, result string) {
	m.scope.Tagged(map[string]string{"service": string(service), "budget": result}).Counter("repeats").Inc(1)
}

// accountTokenReturned counts a token of an account's limit whose request was not sent.
func (m *metrics) accountTokenReturned() { m.scope.Counter("account_tokens_returned").Inc(1) }

// maxAccountLabels is the number of accounts up to which refusals are counted by account. A
// series takes about 1 kB.
const maxAccountLabels = 500

// accountRefused counts a request that an account's limit refused.
func (m *metrics) accountRefused(account model.AccountID, accounts int) {
	if accounts > maxAccountLabels {
		account = "other"
	}
	m.scope.Tagged(map[string]string{"account": string(account)}).Counter("account_refusals").Inc(1)
}

// statement counts what a server said about itself.
func (m *metrics) statement(kind string) {
	m.scope.Tagged(map[string]string{"kind": kind}).Counter("server_statements").Inc(1)
}

// droppedEarly counts a request that was started before the previous response and not
// answered.
func (m *metrics) droppedEarly(finished bool) {
	m.scope.Tagged(map[string]string{"finished": strconv.FormatBool(finished)}).Counter("pipelined_dropped").Inc(1)
}

// startedEarly counts a request that was started before the previous response.
func (m *metrics) startedEarly() { m.scope.Counter("pipelined_started").Inc(1) }

// stoppedEarly counts why no further request of a connection was started early.
func (m *metrics) stoppedEarly(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("pipelined_stopped").Inc(1)
}

func outcomeLabel(status int) string {
	if status < http.StatusBadRequest {
		return "success"
	}
	return "failure"
}

// fields returns the fields common to all log lines about the request, followed
// by more.
func (q *request) fields(now time.Time, more ...any) []any {
	fields := []any{"request", q.id, "ms", now.Sub(q.start).Milliseconds(), "revision", q.snapshot.Revision,
		"age", q.server.opts.Age(now).Round(time.Millisecond)}
	if q.route != nil {
		fields = append(fields, "version", q.snapshot.Config.Version, "route", q.route.Name, "kind", q.route.Kind,
			"object", q.r.Header.Get(platform.HeaderObject))
	}
	if q.account != nil {
		fields = append(fields, "account", q.account.ID)
	}
	if q.lastChoice.Server != nil {
		fields = append(fields, "server", q.lastChoice.Target.ID, "zone", q.lastChoice.Target.Zone, "rank", q.lastChoice.Rank,
			"load", strconv.FormatFloat(q.lastChoice.Load, 'f', 2, 64), "cold", q.lastChoice.Cold, "attempts", q.attempts)
	}
	return append(fields, more...)
}

// logServed logs and counts a response of a server. err is the error of writing
// it to the client.
func (q *request) logServed(status int, err error) {
	now := time.Now()
	q.server.metrics.served(q.route.Kind.String(), status, now.Sub(q.start))
	if err != nil {
		q.server.opts.Log.Failed("answer not delivered", q.fields(now, "status", status, "cause", err)...)
		return
	}
	q.server.opts.Log.Served("answered", q.fields(now, "status", status)...)
}

// logRefused logs and counts an error response made by the entry VM. retryAfter is
// zero if the response has no Retry-After header.
func (q *request) logRefused(status int, reason string, retryAfter time.Duration) {
	q.server.metrics.refused(reason, status)
	fields := q.fields(time.Now(), "status", status, "reason", reason)
	if reason == reasonAccountLimit {
		q.server.metrics.accountRefused(q.account.ID, q.snapshot.Config.Accounts.Len())
		fields = append(fields, q.limitFields()...)
	}
	if retryAfter > 0 {
		fields = append(fields, "retry_after", retryAfter)
	}
	q.server.opts.Log.Failed("gave up", fields...)
}

// logFailedAttempt logs and counts an attempt whose response, if any, is not
// forwarded. message is also the value of the metric's cause label.
func (q *request) logFailedAttempt(message string, more ...any) {
	q.server.metrics.failedAttempt(message)
	q.logFailed(message, more...)
}

func (q *request) logFailed(message string, more ...any) {
	q.server.opts.Log.Failed(message, q.fields(time.Now(), more...)...)
}
