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
)

// maxDrainBytes bounds the body of a refusal that is read so that its
// connection can be reused.
const maxDrainBytes = 4 << 10

// exchange is one attempt in progress, from Do to the end of the answer's body.
type exchange struct {
	client *Client
	pool   *pool
	req    *Request
	ctx    context.Context
	cancel context.CancelCauseFunc
	// dropDeadline and unlink release what ctx holds.
	dropDeadline context.CancelFunc
	unlink       func() bool
	upload       *uploadBody
	watch        silenceWatch
	end          sync.Once

	mu   sync.Mutex
	conn *trackedConn
	// baseline is the count of writes on conn before this attempt.
	baseline uint64
	// written says that a byte of the attempt was written on an earlier
	// connection.
	written bool
	// instance is the server process that was known before the first write.
	instance string
}

func newExchange(ctx context.Context, c *Client, p *pool, req *Request) *exchange {
	ex := &exchange{client: c, pool: p, req: req, dropDeadline: func() {}}
	ctx, ex.cancel = context.WithCancelCause(ctx)
	if !req.Deadline.IsZero() {
		ctx, ex.dropDeadline = context.WithDeadline(ctx, req.Deadline)
	}
	ex.ctx = ctx
	ex.unlink = context.AfterFunc(c.ctx, func() { ex.cancel(ErrClosed) })
	if req.Body != nil && req.ContentLength != 0 {
		ex.upload = &uploadBody{source: req.Body, failed: ex.cancel}
	}
	p.add(ex)
	return ex
}

// newHTTPRequest checks an attempt and translates it.
func newHTTPRequest(target Target, req *Request) (*http.Request, error) {
	if !strings.HasPrefix(req.Path, "/") {
		return nil, errNotRequestPath
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

// do sends the attempt and waits for the head of its answer.
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

// gotConn is called before the attempt is written on a connection. A second
// call means that the transport repeats the attempt; that is allowed only if no
// byte was written before or the attempt is idempotent.
func (ex *exchange) gotConn(info httptrace.GotConnInfo) {
	conn := info.Conn.(*trackedConn)
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if ex.conn == nil {
		ex.instance = ex.pool.knownInstance()
	}
	if ex.conn != nil && ex.conn.abandon() > ex.baseline {
		ex.written = true
	}
	if ex.conn != nil {
		ex.client.metrics.repeats.Inc(1)
	}
	ex.conn = conn
	ex.baseline = conn.begun()
	if ex.written && !ex.req.Idempotent {
		conn.abandon()
		ex.cancel(errRepeat)
	}
}

func (ex *exchange) currentConn() *trackedConn {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.conn
}

func (ex *exchange) forgetConn() {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.conn = nil
}

func (ex *exchange) sentTo() string {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.instance
}

// leave abandons the connection and reports whether any byte of the attempt was
// written. No byte is written afterwards.
func (ex *exchange) leave() bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if ex.conn == nil {
		return false
	}
	return ex.conn.abandon() > ex.baseline || ex.written
}

// fail ends the attempt without a whole answer.
func (ex *exchange) fail(reason model.Reason, err error) *Error {
	written := ex.leave()
	defer ex.finish()
	if !written && context.Cause(ex.ctx) == nil {
		reason = model.ReasonConnect
	}
	if !written {
		return notRun(reason, err)
	}
	return &Error{Outcome: ex.resolve(), Reason: reason, Err: err}
}

// resolve cancels an attempt that was written. For a non-idempotent attempt it
// waits for the answer, which can prove that the attempt did not run.
func (ex *exchange) resolve() model.Outcome {
	if ex.req.Idempotent {
		ex.cancelInBackground()
		return model.OutcomeUnknown
	}
	if ex.cancelAtServer() == model.OutcomeNotRun {
		return model.OutcomeNotRun
	}
	return model.OutcomeUnknown
}

// cancelInBackground tells the server that nobody waits for the answer.
func (ex *exchange) cancelInBackground() {
	ex.client.background(func() { ex.cancelAtServer() })
}

// cancelAtServer cancels the attempt on a new connection. A server that has
// never named its process cannot prove anything and is not asked.
func (ex *exchange) cancelAtServer() model.Outcome {
	sentTo := ex.sentTo()
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

// receive checks the head of an answer.
func (ex *exchange) receive(resp *http.Response) (*Response, *Error) {
	ex.pool.sawInstance(resp.Header)
	echo := resp.Header.Get(HeaderAttempt)
	draining := resp.Header.Get(HeaderDraining) == headerTrue
	if echo != "" && echo != string(ex.req.Attempt) {
		return nil, ex.fail(model.ReasonCrossedAnswer, nil)
	}
	if echo != "" && notStarted(resp) {
		return nil, ex.shed(resp, draining)
	}
	if err := checkFraming(resp, ex.req.Method); err != nil {
		return nil, ex.fail(model.ReasonBadAnswer, err)
	}
	return &Response{
		Status:        resp.StatusCode,
		Header:        forCaller(resp.Header),
		ContentLength: resp.ContentLength,
		Body:          ex.answer(resp),
		Trailer:       resp.Trailer,
		Draining:      draining,
	}, nil
}

// answer returns the body of an answer. Without a body the attempt is at its
// end already.
func (ex *exchange) answer(resp *http.Response) io.ReadCloser {
	body := &answerBody{ex: ex, inner: resp.Body}
	if resp.Body == http.NoBody {
		body.err = io.EOF
		ex.finish()
		return body
	}
	ex.watch.answering(body)
	return body
}

func notStarted(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotStarted) == headerTrue
}

// shed ends an attempt that the server refused before its start.
func (ex *exchange) shed(resp *http.Response, draining bool) *Error {
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

// checkFraming refuses answers whose end cannot be told from a lost connection.
func checkFraming(resp *http.Response, method string) error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return errSwitch
	}
	empty := method == http.MethodHead ||
		resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if empty || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return nil
	}
	return errNoLength
}

// finish releases what the attempt holds. Its connection may serve another
// attempt from now on.
func (ex *exchange) finish() {
	ex.end.Do(func() {
		ex.forgetConn()
		ex.watch.stop()
		if ex.upload != nil {
			ex.upload.stop()
		}
		ex.unlink()
		ex.dropDeadline()
		ex.cancel(nil)
		ex.pool.remove(ex)
		ex.pool.release()
	})
}
