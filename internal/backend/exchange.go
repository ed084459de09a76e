package backend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"path"
	"strconv"
	"strings"
	"sync"
	"time"

	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

// maxDrainBytes bounds how much of a refusal's body is read to make its connection
// reusable.
const maxDrainBytes = 4 << 10

// exchange is one attempt in progress, from Do to the end of the response body.
type exchange struct {
	client *Client
	pool   *pool
	req    *Request
	ctx    context.Context
	cancel context.CancelCauseFunc
	// cancelDeadline and stopCloseHook release the resources of ctx.
	cancelDeadline context.CancelFunc
	stopCloseHook  func() bool
	upload         *uploadBody
	watch          silenceWatch
	finishOnce     sync.Once

	mu   sync.Mutex
	conn *trackedConn
	// writesBefore is the number of writes on conn before this attempt.
	writesBefore uint64
	// writtenEarlier is set if part of the attempt was written on an earlier
	// connection.
	writtenEarlier bool
	// expectedInstance is the last instance that the server reported before the
	// first write, empty if none is known.
	expectedInstance string
}

func newExchange(ctx context.Context, c *Client, p *pool, req *Request) *exchange {
	ex := &exchange{client: c, pool: p, req: req, cancelDeadline: func() {}}
	ctx, ex.cancel = context.WithCancelCause(ctx)
	if !req.Deadline.IsZero() {
		ctx, ex.cancelDeadline = context.WithDeadline(ctx, req.Deadline)
	}
	ex.ctx = ctx
	ex.stopCloseHook = context.AfterFunc(c.ctx, func() { ex.cancel(ErrClosed) })
	if req.Body != nil && req.ContentLength != 0 {
		ex.upload = &uploadBody{source: req.Body, cancel: ex.cancel}
	}
	p.add(ex)
	return ex
}

// newHTTPRequest validates an attempt and converts it to an HTTP request.
func newHTTPRequest(target Target, req *Request) (*http.Request, error) {
	if !strings.HasPrefix(req.Path, "/") {
		return nil, errInvalidPath
	}
	u, err := url.ParseRequestURI(req.Path)
	if err != nil {
		return nil, err
	}
	if strings.HasPrefix(path.Clean(u.Path)+"/", ControlPath) {
		return nil, ErrReservedPath
	}
	u.Scheme = "http"
	u.Host = target.Address
	out := &http.Request{Method: req.Method, URL: u, Host: target.Address, Header: header.EndToEnd(req.Header)}
	out.Header.Set(HeaderAttempt, string(req.Attempt))
	out.Header.Del(HeaderDeadline)
	if !req.Deadline.IsZero() {
		remaining := max(time.Until(req.Deadline).Milliseconds(), 0)
		out.Header.Set(HeaderDeadline, strconv.FormatInt(remaining, 10))
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header.Set("User-Agent", "")
	}
	return out, nil
}

// do sends the attempt and waits for the response headers.
func (ex *exchange) do(out *http.Request) (*Response, *Error) {
	if ex.upload != nil {
		out.Body = ex.upload
		out.ContentLength = ex.req.ContentLength
	}
	ex.watch.start(ex)
	trace := &httptrace.ClientTrace{GotConn: ex.gotConn}
	resp, err := ex.pool.data.RoundTrip(out.WithContext(httptrace.WithClientTrace(ex.ctx, trace)))
	if err != nil {
		return nil, ex.fail(reasonOf(err, context.Cause(ex.ctx)), err)
	}
	return ex.receive(resp)
}

// gotConn is called before the attempt is written to a connection. A second call
// means that the transport retries the attempt, which is allowed only if nothing
// was written before or the attempt is idempotent.
func (ex *exchange) gotConn(info httptrace.GotConnInfo) {
	conn := info.Conn.(*trackedConn)
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if ex.conn == nil {
		ex.expectedInstance = ex.pool.knownInstance()
	}
	if ex.conn != nil && ex.conn.abandon() > ex.writesBefore {
		ex.writtenEarlier = true
	}
	if ex.conn != nil {
		ex.client.metrics.repeats.Inc(1)
	}
	ex.conn = conn
	conn.beginHead()
	ex.writesBefore = conn.writesBegun()
	if ex.writtenEarlier && !ex.req.Idempotent {
		conn.abandon()
		ex.cancel(errRetryPrevented)
	}
}

func (ex *exchange) currentConn() *trackedConn {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.conn
}

func (ex *exchange) clearConn() {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.conn = nil
}

func (ex *exchange) targetInstance() string {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.expectedInstance
}

// abandonConn abandons the connection and reports whether any byte of the attempt
// was written. No byte is written afterwards.
func (ex *exchange) abandonConn() bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if ex.conn == nil {
		return false
	}
	return ex.conn.abandon() > ex.writesBefore || ex.writtenEarlier
}

// fail ends the attempt without a response and determines its outcome.
func (ex *exchange) fail(reason model.Reason, err error) *Error {
	written := ex.abandonConn()
	defer ex.finish()
	if !written && context.Cause(ex.ctx) == nil {
		reason = model.ReasonConnect
	}
	if !written {
		return notRun(reason, err)
	}
	return &Error{Outcome: ex.resolveOutcome(), Reason: reason, Err: err}
}

// resolveOutcome cancels an attempt that was written. For a non-idempotent
// attempt it waits for the result, which can prove that the attempt did not run.
func (ex *exchange) resolveOutcome() model.Outcome {
	if ex.req.Idempotent {
		ex.cancelInBackground()
		return model.OutcomeUnknown
	}
	if ex.cancelAtServer() == model.OutcomeNotRun {
		return model.OutcomeNotRun
	}
	return model.OutcomeUnknown
}

// cancelInBackground cancels the attempt at the server without waiting.
func (ex *exchange) cancelInBackground() {
	ex.client.background(func() { ex.cancelAtServer() })
}

// cancelAtServer cancels the attempt on a new connection. It sends nothing if the
// server's instance is unknown, since the result would prove nothing.
func (ex *exchange) cancelAtServer() model.Outcome {
	sentTo := ex.targetInstance()
	if sentTo == "" {
		return model.OutcomeUnknown
	}
	ctx, stop := context.WithTimeout(ex.client.ctx, ex.client.opts.Silence)
	defer stop()
	outcome, err := ex.client.cancel(ctx, ex.pool, ex.req.Attempt, sentTo)
	if err != nil {
		ex.client.opts.Logger.Warn("cancellation failed", "server", ex.pool.target.ID,
			"attempt", ex.req.Attempt, "error", err)
	}
	return outcome
}

// receive validates the response headers and returns the response.
func (ex *exchange) receive(resp *http.Response) (*Response, *Error) {
	if err := ex.currentConn().headError(); err != nil {
		return nil, ex.fail(model.ReasonBadAnswer, err)
	}
	ex.pool.recordInstance(resp.Header)
	echo := resp.Header.Get(HeaderAttempt)
	draining := resp.Header.Get(HeaderDraining) == headerTrue
	if echo != "" && echo != string(ex.req.Attempt) {
		return nil, ex.fail(model.ReasonCrossedAnswer, nil)
	}
	if echo != "" && notStarted(resp) {
		return nil, ex.rejectedBeforeStart(resp, draining)
	}
	if err := checkFraming(resp, ex.req.Method); err != nil {
		return nil, ex.fail(model.ReasonBadAnswer, err)
	}
	return &Response{
		Status:        resp.StatusCode,
		Header:        callerHeaders(resp.Header),
		ContentLength: resp.ContentLength,
		Body:          ex.newResponseBody(resp),
		Trailer:       resp.Trailer,
		Draining:      draining,
	}, nil
}

// newResponseBody wraps the body of a response. Without a body, the exchange ends
// at once.
func (ex *exchange) newResponseBody(resp *http.Response) io.ReadCloser {
	body := &responseBody{ex: ex, inner: resp.Body}
	if resp.Body == http.NoBody {
		body.err = io.EOF
		ex.finish()
		return body
	}
	ex.watch.responseStarted(body)
	return body
}

func notStarted(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotStarted) == headerTrue
}

// rejectedBeforeStart ends an attempt that the server refused without executing
// it. The connection stays usable.
func (ex *exchange) rejectedBeforeStart(resp *http.Response, draining bool) *Error {
	io.CopyN(io.Discard, resp.Body, maxDrainBytes)
	resp.Body.Close()
	ex.finish()
	return &Error{
		Outcome:  model.OutcomeNotRun,
		Reason:   model.ReasonShed,
		Draining: draining,
		Header:   header.EndToEnd(resp.Header),
	}
}

// checkFraming rejects a protocol switch, statuses that are none of HTTP, and responses that are delimited only by
// the end of the connection, because truncation could not be detected.
func checkFraming(resp *http.Response, method string) error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return errProtocolSwitch
	}
	if !header.IsFinalStatus(resp.StatusCode) {
		return errors.Wrapf(errInvalidStatus, "%03d", resp.StatusCode)
	}
	empty := method == http.MethodHead ||
		resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if empty || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return nil
	}
	return errNoLength
}

// finish releases the resources of the attempt. Its connection may be reused from
// then on, so it must not be abandoned any more.
func (ex *exchange) finish() {
	ex.finishOnce.Do(func() {
		ex.clearConn()
		ex.watch.stop()
		if ex.upload != nil {
			ex.upload.stop()
		}
		ex.stopCloseHook()
		ex.cancelDeadline()
		ex.cancel(nil)
		ex.pool.remove(ex)
		ex.pool.release()
	})
}
