package front

import (
	"context"
	"net/http"
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/pick"
	"fuchsiaspar/internal/upstream"
	"fuchsiaspar/platform"

	"github.com/pkg/errors"
)

const (
	// maxConnectFailures is the number of servers to which the connection may
	// fail before the request is refused.
	maxConnectFailures = 4
	// minAttemptTime is the least time before the deadline with which another
	// attempt is started. A shorter attempt would occupy a slot of the server
	// with little chance to finish.
	minAttemptTime = 20 * time.Millisecond
	// yieldPollInterval is how long a request that yields to more urgent ones
	// waits before it asks for a server again.
	yieldPollInterval = 40 * time.Millisecond
	// yieldObjectiveDivisor limits how long a request yields before it is
	// refused: its latency objective divided by this number.
	yieldObjectiveDivisor = 8
)

// tryServers sends the request to one server after another until the client has
// a response or no further attempt is allowed.
func (q *request) tryServers() {
	defer q.returnToken()
	for connectFailures := 0; connectFailures < maxConnectFailures; {
		choice, reason := q.chooseServer()
		if reason != "" {
			if q.bytesRefused && reason != reasonTimeout {
				reason = reasonServerBytes
			}
			q.fail(reason)
			return
		}
		hasToken := q.spendToken()
		switch q.attempt(choice) {
		case resultDelivered:
			return
		case resultRefused:
			q.hasToken = hasToken
			return
		case resultNotSent:
			q.hasToken = hasToken
			connectFailures++
		case resultFailed:
			if reason := q.reserveRetry(); reason != "" {
				q.fail(reason)
				return
			}
		}
		q.tried = append(q.tried, choice.Target.ID)
	}
	if q.bytesRefused {
		q.fail(reasonServerBytes)
		return
	}
	q.fail(reasonNoConnection)
}

// chooseServer returns the server for the next attempt, or the reason why there
// is none. A request that yields to more urgent ones polls for a fraction of its
// latency objective (see yieldObjectiveDivisor).
func (q *request) chooseServer() (pick.Choice, string) {
	for {
		now := time.Now()
		if q.deadline.Sub(now) < minAttemptTime {
			return pick.Choice{}, reasonTimeout
		}
		if stop := q.server.stop.Load(); stop != nil && !stop.MayPassOn(now, q.deadline) {
			return pick.Choice{}, reasonStopping
		}
		if !q.takeToken(now) {
			return pick.Choice{}, reasonAccountLimit
		}
		choice, reason := q.server.opts.Fleet.Pick(q.query(), now)
		if reason == "" || reason == pick.Yield {
			q.lastChoice = choice
		}
		if reason != pick.Yield || now.Sub(q.start) >= q.route.TargetLatency/yieldObjectiveDivisor {
			return choice, string(reason)
		}
		q.returnToken()
		if !background.Sleep(q.r.Context(), yieldPollInterval) {
			return pick.Choice{}, reasonClientLeft
		}
	}
}

func (q *request) query() pick.Query {
	return pick.Query{Route: q.route, Regions: q.regions, Service: q.service, Object: q.objectHash, Exclude: q.tried}
}

// reserveRetry takes one retry from the budget of the service. It returns an
// empty string on success, or else the reason why the request must not be
// retried.
func (q *request) reserveRetry() string {
	switch {
	case q.r.Context().Err() != nil:
		return reasonClientLeft
	case q.server.waiting.Err() != nil:
		return reasonStopping
	case !time.Now().Before(q.deadline):
		return reasonTimeout
	case q.mayHaveRun && !q.route.Kind.Repeatable():
		return reasonMayHaveRun
	case q.body.rest != nil:
		return reasonBodyStreamed
	case q.attempts >= q.route.MaxAttempts:
		return reasonAttemptsUsed
	case !q.server.opts.RetryBudget.Take(q.service):
		q.server.metrics.retry(q.service, "refused")
		return reasonRetryBudget
	}
	q.server.metrics.retry(q.service, "granted")
	return ""
}

// attemptResult is the result of one attempt at one server.
type attemptResult uint8

const (
	// resultDelivered means that the client got a response.
	resultDelivered attemptResult = iota
	// resultRetry means that the server failed and that a retry has already
	// been reserved.
	resultRetry
	// resultNotSent means that nothing was sent to the server.
	resultNotSent
	// resultRefused means that nothing was sent to the server and that the client got a
	// refusal.
	resultRefused
	// resultFailed means that the request was sent and that no response that
	// can be forwarded was received.
	resultFailed
)

// attempt sends the request to the chosen server and forwards its response.
func (q *request) attempt(choice pick.Choice) attemptResult {
	if result, ok := q.admitAttempt(choice); !ok {
		return result
	}
	defer q.endAttempt(choice)
	if q.body.rest != nil {
		// The server reads the body as fast as the client sends it.
		q.server.opts.Fleet.StopTiming(choice)
	}
	ctx, cancel := context.WithCancel(q.r.Context())
	defer cancel()
	q.keepWaiting = context.AfterFunc(q.server.waiting, cancel)
	defer q.keepWaiting()
	resp, err := q.server.opts.Client.Do(ctx, choice.Target, &upstream.Request{
		ID:       q.id,
		Method:   q.r.Method,
		URI:      q.r.RequestURI,
		Host:     q.r.Host,
		Header:   q.forwardedHeader,
		Body:     q.body.buffered,
		Stream:   q.body.rest,
		Length:   q.body.length,
		Deadline: q.deadline,

		Repeatable: q.route.Kind.Repeatable() && q.body.rest == nil,
		OnUnnamedRefusal: func(status int, h http.Header) {
			q.recordStatements(choice, status, h, time.Now())
		},
	})
	if err != nil {
		return q.handleNoResponse(choice, err)
	}
	q.attempts++
	report := parseLoadReport(resp.Header)
	q.deferred = q.recordStatements(choice, resp.Status, resp.Header, time.Now())
	if platform.NotExecuted(resp.Status, resp.Header) {
		q.shed = !q.deferred && report != nil && report.Running+report.Waiting < report.Slots
		resp.Body.Discard()
		outcome := pick.Refused
		if q.deferred {
			outcome = pick.Deferred
		}
		q.recordOutcome(choice, outcome, report)
		q.logFailedAttempt("server refused", "status", resp.Status)
		return resultFailed
	}
	if defect := q.defect(resp); defect != "" {
		resp.Body.Close()
		q.mayHaveRun = true
		q.recordOutcome(choice, pick.Failed, report)
		q.logFailedAttempt(defect, "status", resp.Status)
		return resultFailed
	}
	return q.forwardResponse(choice, resp, report)
}

// defect returns why the client must not get a response to a request that may have run,
// or an empty string.
func (q *request) defect(resp *upstream.Response) string {
	switch {
	case resp.Status < http.StatusMultipleChoices && !platform.Sealed(resp.Header):
		return "answer without a seal"
	case platform.PromisesNotRun(resp.Status) && !q.route.Kind.Repeatable():
		return "refusal without proof"
	}
	return ""
}

// handleNoResponse records an attempt that ended with an error instead of a
// response.
func (q *request) handleNoResponse(choice pick.Choice, err error) attemptResult {
	if errors.Is(err, upstream.ErrConnect) || errors.Is(err, upstream.ErrNotSent) {
		outcome := pick.Unanswered
		if q.abandoned() || errors.Is(err, upstream.ErrTooManyConnections) {
			outcome = pick.Abandoned
		}
		q.recordOutcome(choice, outcome, nil)
		q.logFailedAttempt("no connection", "cause", err)
		return resultNotSent
	}
	q.attempts++
	q.mayHaveRun = true
	outcome, message := pick.Unanswered, "no answer"
	switch {
	case q.abandoned():
		outcome = pick.Abandoned
	case errors.Is(err, upstream.ErrUnnamedRefusal):
		outcome = pick.Refused
	case errors.Is(err, upstream.ErrTimeout):
		outcome = pick.Failed
	case errors.Is(err, upstream.ErrInvalidStatus):
		outcome, message = pick.Failed, "invalid status"
	case errors.Is(err, upstream.ErrInvalidField):
		outcome, message = pick.Failed, "invalid field name"
	}
	q.recordOutcome(choice, outcome, nil)
	q.logFailedAttempt(message, "cause", err)
	return resultFailed
}

// abandoned reports whether an attempt may have failed because the client left or the VM
// stops, which says nothing about the server.
func (q *request) abandoned() bool {
	return q.r.Context().Err() != nil || q.server.waiting.Err() != nil
}

// recordOutcome reports the end of an attempt to the server selection. report is
// nil if the server did not send its load.
func (q *request) recordOutcome(choice pick.Choice, outcome pick.Outcome, report *pick.Report) {
	q.server.opts.Fleet.Done(choice, outcome, report, time.Now())
	if outcome == pick.Unanswered {
		// Without idle connections, the next attempt must dial, which shows
		// whether the server is reachable before a request is sent to it.
		q.server.opts.Client.CloseIdle([]*catalog.Server{choice.Target})
	}
}

// parseLoadReport returns the load that a server sent with its response, or nil.
func parseLoadReport(h http.Header) *pick.Report {
	load, ok := platform.ParseLoad(h)
	if !ok {
		return nil
	}
	return &pick.Report{Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Slowness: load.Slowness}
}
