package front

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/intake"
	"fuchsiaspar/internal/overload"
	"fuchsiaspar/internal/pick"
	"fuchsiaspar/internal/pipeline"
	"fuchsiaspar/internal/upstream"
	"fuchsiaspar/platform"
)

// maxBufferedResponse is the size in bytes up to which a response is buffered
// completely before the first byte goes to the client, so that a request whose
// response is truncated can be retried on another server.
const maxBufferedResponse = 512 << 10

// forwardResponse sends the server's response to the client. If the server
// answered with a 5xx status and the request may be retried, it reserves the
// retry and sends nothing.
func (q *request) forwardResponse(choice pick.Choice, resp *upstream.Response, report *pick.Report) attemptResult {
	buffered, complete, err := q.readBuffered(resp)
	defer q.releaseResponse(buffered)
	if err != nil {
		return q.handleTruncated(choice, err, report)
	}
	if !complete {
		// From here on, giving up would end the connection of the client.
		if !q.keepWaiting() {
			resp.Body.Close()
			return q.handleTruncated(choice, context.Canceled, report)
		}
		q.streamResponse(choice, resp, buffered, report)
		return resultDelivered
	}
	if resp.Status < http.StatusInternalServerError {
		q.recordOutcome(choice, pick.Answered, report)
		q.writeResponse(resp, buffered, nil)
		return resultDelivered
	}
	q.recordOutcome(choice, pick.Failed, report)
	q.mayHaveRun = true
	if q.route.Kind.Repeatable() && q.reserveRetry() == "" {
		q.logFailedAttempt("server failed", "status", resp.Status)
		resp.Body.Close()
		return resultRetry
	}
	q.writeResponse(resp, buffered, nil)
	return resultDelivered
}

// streamResponse forwards a response that is too large to buffer. If the
// response is truncated, the connection to the client is aborted, so that the
// client does not take it for complete.
func (q *request) streamResponse(choice pick.Choice, resp *upstream.Response, buffered []byte, report *pick.Report) {
	// From here on the time depends on the client.
	q.server.opts.Fleet.StopTiming(choice)
	received := false
	complete := q.writeResponse(resp, buffered, func() {
		// The server is free, although the client may still be reading.
		received = true
		q.recordOutcome(choice, pick.Answered, report)
	})
	if !received {
		q.recordOutcome(choice, pick.Failed, report)
	}
	if !complete {
		intake.Abort(q.r)
	}
}

// handleTruncated records a response whose body ended early before any of it
// was forwarded. The request may have run.
func (q *request) handleTruncated(choice pick.Choice, err error, report *pick.Report) attemptResult {
	q.mayHaveRun = true
	outcome := pick.Failed
	if q.abandoned() {
		outcome = pick.Abandoned
	}
	q.recordOutcome(choice, outcome, report)
	q.logFailedAttempt("answer cut off", "cause", err)
	return resultFailed
}

// bufferLimit returns the size in bytes up to which the response is buffered completely.
// Responses of requests that run ahead of their turn wait in memory, so it is lower there.
func (q *request) bufferLimit() int {
	if pipeline.IsStarted(q.w) {
		return pipeline.HoldLimit
	}
	return maxBufferedResponse
}

// writeResponse writes the buffered part of the body and, unless onEnd is nil, the rest
// of it. It calls onEnd when the server has sent the rest, and reports whether the whole
// response was written.
func (q *request) writeResponse(resp *upstream.Response, buffered []byte, onEnd func()) bool {
	complete := onEnd == nil
	h := q.w.Header()
	for name, values := range header.EndToEnd(resp.Header) {
		h[name] = values
	}
	delete(h, "Keep-Alive")
	if _, ok := h["Content-Type"]; !ok {
		// A nil entry stops net/http from detecting a content type.
		h["Content-Type"] = nil
	}
	if complete && q.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(buffered)))
	}
	if resp.Body.Uploading() {
		// The next request on the connection would wait for the end of the upload.
		h.Set("Connection", "close")
	}
	q.w.WriteHeader(resp.Status)
	_, err := q.w.Write(buffered)
	if err == nil && !complete {
		err = q.spool(resp.Body, onEnd)
	}
	q.logServed(resp.Status, err)
	if err != nil {
		resp.Body.Close()
		return false
	}
	q.finishUpload(resp)
	return true
}

// flush sends what has been written of the response.
func (q *request) flush() {
	if err := http.NewResponseController(q.w).Flush(); err != nil {
		q.logFailed("answer not flushed", "cause", err)
	}
}

// finishUpload sends what is left of the request to a server that responded before it had
// read the request. The client gets the response first.
func (q *request) finishUpload(resp *upstream.Response) {
	if resp.Body.Uploading() {
		q.flush()
	}
	if err := resp.Body.AwaitUpload(); err != nil {
		q.logFailed("rest of the request not sent", "cause", err)
	}
}

// fail ends a request for which no server gave a response that can be
// forwarded. Status 503 means that the request has not run; 504 and 502 mean that
// it may have run. 429 means that its account is at its limit, and that it has not run.
func (q *request) fail(reason string) {
	if q.r.Context().Err() != nil {
		q.logFailed("client left")
		panic(http.ErrAbortHandler)
	}
	switch {
	case q.mayHaveRun && reason == reasonTimeout:
		q.refuse(http.StatusGatewayTimeout, reason)
	case q.mayHaveRun:
		q.refuse(http.StatusBadGateway, reason)
	case reason == reasonAccountLimit:
		q.refuse(http.StatusTooManyRequests, reason)
	default:
		q.refuse(http.StatusServiceUnavailable, reason)
	}
}

// refusal returns what decides when the client may come back.
func (q *request) refusal(reason string) overload.Refusal {
	r := overload.Refusal{Cause: overload.Full}
	if q.route != nil {
		r.Objective = q.route.TargetLatency
	}
	switch {
	case reason == reasonStopping:
		r.Cause = overload.Stopping
	case reason == string(pick.Yield):
		r.Cause = overload.Yielded
	case reason == string(pick.Paused) || q.deferred:
		if left, paused := q.server.opts.Fleet.PauseLeft(q.query(), time.Now()); paused {
			r.Cause, r.PauseLeft = overload.Paused, left
		}
	case q.shed && (reason == reasonRetryBudget || reason == reasonAttemptsUsed):
		r.Cause = overload.Shed
	}
	return r
}

// refuse sends an error response made by the entry VM itself.
func (q *request) refuse(status int, reason string) {
	h := q.w.Header()
	h.Set("Content-Type", "application/json")
	if q.id != "" {
		h.Set(platform.HeaderRequestID, q.id)
	}
	var wait time.Duration
	switch status {
	case http.StatusTooManyRequests:
		wait = q.limitedFor.Round(time.Millisecond)
		setRetryAfter(h, wait)
	case http.StatusServiceUnavailable:
		wait = overload.RetryAfter(q.refusal(reason), rand.Float64()).Round(time.Millisecond)
		setRetryAfter(h, wait)
	}
	if !q.body.complete {
		intake.DiscardBody(q.w, q.r)
	}
	message := `{"error":"` + reason + `"}` + "\n"
	h.Set("Content-Length", strconv.Itoa(len(message)))
	q.w.WriteHeader(status)
	// A write error means that the client disconnected; the refusal is logged
	// either way.
	_, _ = io.WriteString(q.w, message)
	q.logRefused(status, reason, wait)
}

func setRetryAfter(h http.Header, wait time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', -1, 64))
}
