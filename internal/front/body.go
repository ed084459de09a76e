package front

import (
	"io"
	"net/http"
	"os"
	"time"

	"fuchsiaspar/internal/fullduplex"
	"fuchsiaspar/internal/intake"

	"github.com/pkg/errors"
)

// maxBufferedBody is the size in bytes up to which a request body is buffered
// before a server is chosen. A larger body is streamed, so its request can be
// sent to one server only.
const maxBufferedBody = 256 << 10

// streamGrace is how long after the deadline a streamed body may still arrive. The
// attempt at the server ends at the deadline; if the body ended first, net/http
// would take the client for gone.
const streamGrace = 100 * time.Millisecond

// body is the body of a client's request: the buffered bytes, followed by the
// unread rest if the body is too large to buffer.
type body struct {
	buffered []byte
	rest     io.Reader
	// length is the length in bytes of the whole body, or negative if unknown.
	length int64
	// complete reports whether the whole body is buffered.
	complete bool
}

// readBody buffers the request body, or its first maxBufferedBody bytes. It
// reports whether the request was refused.
func (q *request) readBody() bool {
	q.body.length = q.r.ContentLength
	if q.r.Body == nil || q.r.ContentLength == 0 {
		return false
	}
	limit := q.snapshot.Config.Limits.MaxBodyBytes
	if limit > 0 && q.r.ContentLength > limit {
		q.refuse(http.StatusRequestEntityTooLarge, reasonBodyTooLarge)
		return true
	}
	source := io.Reader(q.r.Body)
	if limit > 0 {
		// The reader must not touch the response, which may be written meanwhile.
		source = http.MaxBytesReader(nil, q.r.Body, limit)
	}
	buffered, err := q.client().ReadBody(source, q.body.length, maxBufferedBody)
	if err != nil {
		q.rejectBody(err)
		return true
	}
	q.body.buffered = buffered
	if len(buffered) == maxBufferedBody && int64(len(buffered)) != q.body.length {
		return q.streamRest(source)
	}
	q.body.length, q.body.complete = int64(len(buffered)), true
	// net/http goes on reading to notice when the client disconnects.
	q.setReadDeadline(time.Time{})
	return false
}

// streamRest leaves the rest of the body to be read while the response is written. It
// reports whether the request was refused.
func (q *request) streamRest(source io.Reader) bool {
	w, rest := fullduplex.Wrap(q.w, source)
	if err := rest.Forward(); err != nil {
		q.rejectBody(err)
		return true
	}
	q.w, q.body.rest = w, rest
	q.setReadDeadline(q.deadline.Add(streamGrace))
	return false
}

// setReadDeadline sets the time until which the client may send.
func (q *request) setReadDeadline(at time.Time) {
	// If this fails, the connection has failed, which net/http notices.
	_ = http.NewResponseController(q.w).SetReadDeadline(at)
}

// rejectBody ends a request whose body could not be read. It refuses a body over
// the configured limit and one that does not arrive in time, and aborts the
// connection on any other error.
func (q *request) rejectBody(err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		q.refuse(http.StatusRequestEntityTooLarge, reasonBodyTooLarge)
		return
	}
	if errors.Is(err, intake.ErrNoMemory) || errors.Is(err, intake.ErrEvicted) {
		q.refuse(http.StatusServiceUnavailable, reasonMemory)
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) || intake.IsTooSlow(err) {
		q.refuse(http.StatusRequestTimeout, reasonBodyTimeout)
		return
	}
	// The client disconnected while it sent the body.
	q.logFailed("client broke off", "cause", err)
	panic(http.ErrAbortHandler)
}
