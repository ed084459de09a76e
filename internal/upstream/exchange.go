// Package upstream is an HTTP/1.1 client for backend servers. Its errors tell
// whether a failed request may have run. It returns only responses that carry the
// id of the request, and reports truncated response bodies as errors.
package upstream

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/header"
	"fuchsiaspar/platform"

	"github.com/pkg/errors"
)

// Errors of Client.Do and Body.Read. Test for them with errors.Is.
var (
	// ErrConnect reports that no connection could be opened; nothing was sent.
	ErrConnect = errors.New("upstream: no connection")
	// ErrTooManyConnections reports, besides ErrConnect, that the VM has as many
	// connections to servers as it may have.
	ErrTooManyConnections = errors.New("upstream: too many connections")
	// ErrNotSent reports that the connection failed before the kernel accepted
	// any byte of the request.
	ErrNotSent = errors.New("upstream: request not sent")
	// ErrNoResponse reports that the request was sent at least in part and that
	// no complete response header was received. The request may have run.
	ErrNoResponse = errors.New("upstream: no response")
	// ErrUnrelatedResponse reports that responses to other requests arrived
	// instead of the expected one. The request may have run.
	ErrUnrelatedResponse = errors.New("upstream: response to another request")
	// ErrUnnamedRefusal reports a refusal that names no request, on a connection that
	// has carried another one. It may mean either, so this one may have run.
	ErrUnnamedRefusal = errors.New("upstream: refusal of an unnamed request")
	// ErrTimeout reports that the deadline passed before a response header was
	// received. The request may have run.
	ErrTimeout = errors.New("upstream: deadline exceeded")
	// ErrInvalidStatus reports a response that is none of HTTP/1.x, by its version or its
	// status, or a change of protocols. The request may have run.
	ErrInvalidStatus = errors.New("upstream: response with an invalid status")
	// ErrInvalidField reports a response header with a field whose name HTTP does not
	// allow. The request may have run.
	ErrInvalidField = errors.New("upstream: response with an invalid field name")
	// ErrOversized reports that a response header, or what arrived in its place,
	// exceeds its bounds. The request may have run.
	ErrOversized = errors.New("upstream: response header too large")
	// ErrTruncated reports that the response body ended early.
	ErrTruncated = errors.New("upstream: response body truncated")
)

const (
	// maxUnrelated is the number of late responses to earlier requests that are
	// skipped on a connection while waiting for a response.
	maxUnrelated = 2
	// maxUnrelatedBody is the number of bytes of the body of a late response up
	// to which it is skipped.
	maxUnrelatedBody = 1 << 20
	// maxHeaderBytes bounds the header of a response together with the
	// informational (1xx) responses before it.
	maxHeaderBytes = 64 << 10
)

// errTooManyBytes ends the input of a connection on which a server sends more than
// a response may have.
var errTooManyBytes = errors.New("upstream: too many bytes")

// Request is one attempt to send a request to one server.
type Request struct {
	// ID is the request id that the response must carry. Header must contain it.
	ID     string
	Method string
	// URI is the path with the query as the client sent it.
	URI    string
	Host   string
	Header http.Header
	// Body is the request body, or its beginning if Stream is set.
	Body []byte
	// Stream is the rest of a body that is too large to buffer, or nil.
	Stream io.Reader
	// Length is the length in bytes of the whole body, or negative if unknown.
	Length int64
	// Repeatable reports whether the request may run again, so that an unnamed refusal
	// ends the attempt. Otherwise the attempt goes on, since an answer may follow.
	Repeatable bool
	// OnUnnamedRefusal, if not nil, is called with an unnamed refusal, which still shows
	// what the server says of itself.
	OnUnnamedRefusal func(status int, h http.Header)
	// Deadline is the time by which the whole response must have been received.
	Deadline time.Time
}

// Response is the response of a server. Body must be closed, discarded or read to
// io.EOF.
type Response struct {
	Status int
	Header http.Header
	// Length is the length in bytes of the body, or negative if unknown.
	Length int64
	Body   *Body
}

// Do sends a request to a server and returns once the response header has
// arrived. Cancelling ctx closes the connection, also while the response body is
// being read. Errors are ErrConnect, ErrNotSent, ErrNoResponse,
// ErrUnrelatedResponse, ErrUnnamedRefusal, ErrInvalidStatus, ErrInvalidField, ErrOversized and
// ErrTimeout.
func (c *Client) Do(ctx context.Context, server *catalog.Server, req *Request) (*Response, error) {
	dialCtx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	conn, err := c.connect(dialCtx, server)
	if err != nil {
		return nil, &connectError{err}
	}
	ex := &exchange{client: c, server: server, conn: conn, req: req, ctx: ctx}
	ex.stop = context.AfterFunc(ctx, func() { conn.Close() })
	return ex.run()
}

// connectError is an ErrConnect with its cause.
type connectError struct{ cause error }

// Error implements error.
func (e *connectError) Error() string { return e.cause.Error() + ": " + ErrConnect.Error() }

// Unwrap returns ErrConnect and the cause.
func (e *connectError) Unwrap() []error { return []error{ErrConnect, e.cause} }

// exchange is one request and its response on a connection.
type exchange struct {
	client *Client
	server *catalog.Server
	conn   *conn
	req    *Request
	ctx    context.Context
	// stop ends the watch on ctx. It reports false if ctx is already done and
	// the connection is therefore being closed.
	stop func() bool
	// uploaded receives the result of the upload. It is nil while none is running.
	uploaded chan error
	// uploadErr is the error of an upload that failed.
	uploadErr error

	mu sync.Mutex
	// ended reports that the connection is no longer that of this exchange.
	ended bool
}

// run sends the request and reads the response header. All of the request but its
// beginning is sent while it waits, because a server may respond before it has
// read a long body.
func (ex *exchange) run() (*Response, error) {
	// If setting the deadline fails, so does the write that follows.
	_ = ex.conn.SetDeadline(ex.req.Deadline)
	// A server that resets the connection during the write may have responded
	// before, so a failed write is an error only if nothing was sent.
	if n, err := ex.conn.Write(ex.encodeHeader()); err != nil && n == 0 {
		ex.abort()
		return nil, errors.WithMessage(ErrNotSent, err.Error())
	}
	if len(ex.req.Body) > maxInlineBody || ex.req.Stream != nil {
		ex.startUpload()
	}
	resp, err := ex.readResponse()
	if err != nil {
		ex.abort()
		return nil, err
	}
	return &Response{
		Status: resp.StatusCode,
		Header: resp.Header,
		Length: resp.ContentLength,
		Body:   &Body{ex: ex, resp: resp},
	}, nil
}

// maxInlineBody is the size in bytes up to which the buffered part of a body is
// sent together with the header. The send buffer of a connection takes as much.
const maxInlineBody = 8 << 10

// encodeHeader returns the request line and the headers, and the buffered part of
// a body up to maxInlineBody.
func (ex *exchange) encodeHeader() []byte {
	req := ex.req
	inline := len(req.Body) <= maxInlineBody
	var b bytes.Buffer
	b.Grow(1024 + min(len(req.Body), maxInlineBody))
	b.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	// Writing to a bytes.Buffer does not fail.
	_ = req.Header.Write(&b)
	remaining := max(time.Until(req.Deadline).Milliseconds(), 1)
	b.WriteString(platform.HeaderDeadline + ": " + strconv.FormatInt(remaining, 10) + "\r\n")
	b.WriteString(platform.HeaderExpectedInstance + ": " + string(ex.server.ID) + "\r\n")
	switch {
	case req.Length > 0 || (req.Length == 0 && req.Method != http.MethodGet && req.Method != http.MethodHead):
		b.WriteString("Content-Length: " + strconv.FormatInt(req.Length, 10) + "\r\n")
	case req.Length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	b.WriteString("\r\n")
	if inline {
		_ = ex.writeBody(&b, req.Body)
	}
	return b.Bytes()
}

// writeBody writes a part of the request body in the framing of the request.
func (ex *exchange) writeBody(w io.Writer, part []byte) error {
	if ex.req.Length < 0 {
		return writeChunk(w, part)
	}
	_, err := w.Write(part)
	return err
}

// writeChunk writes data as one chunk of a chunked body. It writes nothing for
// empty data, since an empty chunk would end the body.
func writeChunk(w io.Writer, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	chunk := strconv.FormatInt(int64(len(data)), 16) + "\r\n" + string(data) + "\r\n"
	_, err := io.WriteString(w, chunk)
	return err
}

// readResponse reads the header of the response to this request. It skips
// informational (1xx) responses and late responses to earlier requests on the
// connection. A response without a request id is accepted only if it states that
// the request did not run, and no earlier request can be meant (see Request.Repeatable).
func (ex *exchange) readResponse() (*http.Response, error) {
	ex.conn.input.allow(maxHeaderBytes)
	ex.conn.beginHead()
	for skipped := 0; ; {
		resp, err := http.ReadResponse(ex.conn.reader, &http.Request{Method: ex.req.Method})
		if err != nil {
			return nil, ex.responseError(err)
		}
		if ex.conn.input.head.Invalid() {
			return nil, ErrInvalidField
		}
		if ex.conn.input.head.Oversized() {
			return nil, ErrOversized
		}
		if header.IsInformational(resp.StatusCode) {
			continue
		}
		if resp.ProtoMajor != 1 || !header.IsFinalStatus(resp.StatusCode) {
			return nil, errors.WithMessagef(ErrInvalidStatus, "%s %03d", resp.Proto, resp.StatusCode)
		}
		id := resp.Header.Get(platform.HeaderRequestID)
		unnamed := id == "" && platform.NotExecuted(resp.StatusCode, resp.Header)
		if unnamed {
			ex.client.noteUnnamedRefusal(ex.server, time.Now())
		}
		if id == ex.req.ID || (unnamed && !ex.conn.used) {
			ex.conn.input.allow(math.MaxInt)
			return resp, nil
		}
		if unnamed {
			if ex.req.OnUnnamedRefusal != nil {
				ex.req.OnUnnamedRefusal(resp.StatusCode, resp.Header)
			}
			if ex.req.Repeatable {
				return nil, ErrUnnamedRefusal
			}
		}
		skipped++
		if skipped > maxUnrelated {
			return nil, ErrUnrelatedResponse
		}
		ex.conn.input.allow(maxUnrelatedBody)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, ex.responseError(err)
		}
		ex.conn.input.allow(maxHeaderBytes)
		ex.conn.beginHead()
	}
}

// responseError returns the error for a failure to read the response.
func (ex *exchange) responseError(err error) error {
	if ex.ctx.Err() != nil {
		return errors.WithMessage(ErrNoResponse, ex.ctx.Err().Error())
	}
	if ex.conn.input.exhausted() {
		return errors.WithMessage(ErrOversized, err.Error())
	}
	if ex.conn.input.head.Invalid() {
		return errors.WithMessage(ErrInvalidField, err.Error())
	}
	if !time.Now().Before(ex.req.Deadline) {
		return errors.WithMessage(ErrTimeout, err.Error())
	}
	return errors.WithMessage(ErrNoResponse, err.Error())
}

// end marks the exchange as ended. From then on, its connection may be another's.
func (ex *exchange) end() {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.ended = true
}

// interrupt closes the connection unless the exchange has ended.
func (ex *exchange) interrupt() {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if !ex.ended {
		ex.conn.Close()
	}
}

// abort closes the connection of an exchange that did not complete.
func (ex *exchange) abort() {
	ex.end()
	ex.stop()
	ex.conn.Close()
}

// finish ends an exchange whose response was read completely and whose request was
// sent. The connection becomes idle if it can be reused, and is closed otherwise.
func (ex *exchange) finish(resp *http.Response) {
	ex.end()
	now := time.Now()
	if !ex.stop() || resp.Close || ex.uploadErr != nil || ex.conn.reader.Buffered() > 0 || ex.client.refusesUnnamed(ex.server, now) {
		ex.conn.Close()
		return
	}
	ex.conn.markIdle(now, platform.IdleTimeout(resp.Header))
	ex.client.put(ex.server, ex.conn)
}

// uploadGrace is the time in which the goroutine that has sent the last of a request
// says so. A server that has read it may respond before that.
const uploadGrace = 10 * time.Millisecond

// uploading reports whether a part of the request is still being sent.
func (ex *exchange) uploading() bool {
	if ex.uploaded == nil {
		return false
	}
	timer := time.NewTimer(uploadGrace)
	defer timer.Stop()
	select {
	case ex.uploadErr = <-ex.uploaded:
		ex.uploaded = nil
		return false
	case <-timer.C:
		return true
	}
}

// awaitUpload waits for the end of the upload, which the deadline of the connection and
// the end of the context bound.
func (ex *exchange) awaitUpload() error {
	if ex.uploaded != nil {
		ex.uploadErr = <-ex.uploaded
		ex.uploaded = nil
	}
	return ex.uploadErr
}
