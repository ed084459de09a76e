// Package upstream carries requests to backend servers over HTTP/1.1. It says
// of every failure whether the request may have run, and hands on only answers
// that belong to the request and are whole.
package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/platform"

	"github.com/pkg/errors"
)

// Errors of an exchange. Test for them with errors.Is.
var (
	// ErrConnect reports that no connection could be had; nothing was sent.
	ErrConnect = errors.New("upstream: no connection")
	// ErrNotSent reports that the connection failed before any byte of the
	// request was taken by the kernel.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrNoAnswer reports that the request was sent and no whole head of an
	// answer came. It may have run.
	ErrNoAnswer = errors.New("upstream: no answer")
	// ErrForeign reports answers of other requests in place of the own one.
	ErrForeign = errors.New("upstream: answer of another request")
	// ErrTimeout reports that the time for the attempt ran out. It may have
	// run.
	ErrTimeout = errors.New("upstream: time is up")
	// ErrCut reports that the body of the answer ended early.
	ErrCut = errors.New("upstream: answer cut off")
)

// maxForeign bounds the late answers of earlier requests that are skipped.
const maxForeign = 2

// Request is one attempt at one server.
type Request struct {
	ID     string
	Method string
	// URI is the path with the query as the client sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Stream follows Body when the request's body was too large to keep.
	Stream io.Reader
	// Length is the length of the whole body, or negative when it is unknown.
	Length int64
	// Deadline is when the answer must be complete.
	Deadline time.Time
}

// Answer is the answer of a server. Body must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is negative when the end of the body is not known beforehand.
	Length int64
	Body   *Body
}

// Do sends a request to a server and returns the head of its answer.
func (c *Client) Do(ctx context.Context, server *catalog.Server, req *Request) (*Answer, error) {
	dialCtx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	conn, err := c.connect(dialCtx, server)
	if err != nil {
		return nil, errors.WithMessage(ErrConnect, err.Error())
	}
	ex := &exchange{client: c, server: server, conn: conn, req: req, ctx: ctx}
	ex.stop = context.AfterFunc(ctx, func() { conn.Close() })
	return ex.run()
}

type exchange struct {
	client *Client
	server *catalog.Server
	conn   *conn
	req    *Request
	ctx    context.Context
	stop   func() bool
	// uploaded is closed once a streamed body is sent; nil without one.
	uploaded chan error
}

func (ex *exchange) run() (*Answer, error) {
	// A connection that refuses a deadline fails the write that follows.
	_ = ex.conn.SetDeadline(ex.req.Deadline)
	if n, err := ex.conn.Write(ex.head()); err != nil {
		ex.abort()
		if n == 0 {
			return nil, errors.WithMessage(ErrNotSent, err.Error())
		}
		return nil, errors.WithMessage(ErrNoAnswer, err.Error())
	}
	if ex.req.Stream != nil {
		ex.upload()
	}
	resp, err := ex.receive()
	if err != nil {
		ex.abort()
		return nil, err
	}
	return &Answer{
		Status: resp.StatusCode,
		Header: resp.Header,
		Length: resp.ContentLength,
		Body:   &Body{ex: ex, resp: resp},
	}, nil
}

// head returns the request up to the end of the kept part of its body.
func (ex *exchange) head() []byte {
	req := ex.req
	var b bytes.Buffer
	b.Grow(1024 + len(req.Body))
	b.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	// Writing to a bytes.Buffer does not fail.
	_ = req.Header.Write(&b)
	remaining := max(time.Until(req.Deadline).Milliseconds(), 1)
	b.WriteString(platform.HeaderDeadline + ": " + strconv.FormatInt(remaining, 10) + "\r\n")
	b.WriteString(platform.HeaderExpectedInstance + ": " + string(ex.server.ID) + "\r\n")
	switch {
	case req.Length > 0 || (req.Length == 0 && req.Method != http.MethodGet && req.Method != http.MethodHead):
		b.WriteString("Content-Length: " + strconv.FormatInt(req.Length, 10) + "\r\n\r\n")
		b.Write(req.Body)
	case req.Length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		writeChunk(&b, req.Body)
	default:
		b.WriteString("\r\n")
	}
	return b.Bytes()
}

func writeChunk(w io.Writer, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	chunk := strconv.FormatInt(int64(len(data)), 16) + "\r\n" + string(data) + "\r\n"
	_, err := io.WriteString(w, chunk)
	return err
}

// receive reads the head of the own answer. Late answers of earlier requests
// may come first; they belong to nobody.
func (ex *exchange) receive() (*http.Response, error) {
	for skipped := 0; ; {
		resp, err := http.ReadResponse(ex.conn.reader, &http.Request{Method: ex.req.Method})
		if err != nil {
			return nil, ex.failure(err)
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		id := resp.Header.Get(platform.HeaderRequestID)
		if id == ex.req.ID || (id == "" && platform.NotExecuted(resp.StatusCode, resp.Header)) {
			return resp, nil
		}
		skipped++
		if skipped > maxForeign {
			return nil, ErrForeign
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, ex.failure(err)
		}
	}
}

func (ex *exchange) failure(err error) error {
	if ex.ctx.Err() != nil {
		return errors.WithMessage(ErrNoAnswer, ex.ctx.Err().Error())
	}
	if !time.Now().Before(ex.req.Deadline) {
		return errors.WithMessage(ErrTimeout, err.Error())
	}
	return errors.WithMessage(ErrNoAnswer, err.Error())
}

func (ex *exchange) abort() {
	ex.stop()
	ex.conn.Close()
}

// finish ends an exchange whose answer was read to its end.
func (ex *exchange) finish(resp *http.Response) {
	now := time.Now()
	if !ex.stop() || resp.Close || !ex.sent() || ex.conn.reader.Buffered() > 0 {
		ex.conn.Close()
		return
	}
	ex.conn.rest(now, platform.IdleTimeout(resp.Header))
	ex.client.put(ex.server, ex.conn)
}

// sent says that the whole request was sent.
func (ex *exchange) sent() bool {
	if ex.uploaded == nil {
		return true
	}
	select {
	case err := <-ex.uploaded:
		return err == nil
	default:
		return false
	}
}
