package front

import (
	"io"
	"net/http"

	"fuchsiaspar/internal/intake"
	"fuchsiaspar/internal/pick"
	"fuchsiaspar/internal/upstream"

	"github.com/pkg/errors"
)

const (
	// firstBodyBuffer is the size in bytes of the first buffer of a body or a response of
	// unknown length.
	firstBodyBuffer = 4 << 10
	// assumedBody is the length in bytes that is accounted at a server for a long body of
	// unknown length if the operator sets no limit.
	assumedBody = 64 << 20
)

// errNoMemory reports that a body can't be buffered since the VM has no memory for it.
var errNoMemory = errors.New("front: no memory for the body")

// client returns the accounting of the client's connection, or nil.
func (q *request) client() *intake.Conn { return intake.FromContext(q.r.Context()) }

// bufferBody reads the body, or its first maxBufferedBody bytes. It accounts the buffer
// as it grows, so that a client holds no memory for a length that it only states.
func (q *request) bufferBody(source io.Reader) ([]byte, error) {
	var buffered []byte
	for {
		if len(buffered) == cap(buffered) {
			if len(buffered) == maxBufferedBody {
				return buffered, nil
			}
			size := min(max(2*cap(buffered), firstBodyBuffer), maxBufferedBody)
			if q.body.length >= 0 {
				// One byte more leaves room to read the end of the body.
				size = int(min(int64(size), q.body.length+1))
			}
			if !q.client().Reserve(size - cap(buffered)) {
				return nil, errNoMemory
			}
			buffered = append(make([]byte, 0, size), buffered...)
		}
		n, err := source.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		if err == io.EOF {
			return buffered, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// readBuffered reads up to maxBufferedResponse bytes of the body, or less if the VM has
// no memory for more. complete reports whether the end of the body was reached.
func (q *request) readBuffered(resp *upstream.Response) (buffered []byte, complete bool, err error) {
	if resp.Length > maxBufferedResponse {
		return nil, false, nil
	}
	for len(buffered) <= maxBufferedResponse {
		if len(buffered) == cap(buffered) {
			size := max(2*cap(buffered), firstBodyBuffer)
			if resp.Length >= 0 {
				size = int(resp.Length) + 1
			}
			if !q.client().TryReserve(size - cap(buffered)) {
				return buffered, false, nil
			}
			buffered = append(make([]byte, 0, size), buffered...)
		}
		n, err := resp.Body.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		if err == io.EOF {
			return buffered, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return buffered, false, nil
}

// admitAttempt accounts the request's body at the chosen server. If the server can't
// take it now, or the client has been evicted, it ends the attempt before anything is
// sent and returns its result.
func (q *request) admitAttempt(choice pick.Choice) (attemptResult, bool) {
	q.bytesRefused = false
	q.serverBytes = q.accountedBody()
	if !q.server.opts.ServerBytes.Add(choice.Target.ID, q.serverBytes) {
		q.bytesRefused = true
		q.recordOutcome(choice, pick.Abandoned, nil)
		q.logFailedAttempt("bodies at server", "bytes", q.serverBytes)
		return resultNotSent, false
	}
	if !q.client().Dispatched() {
		q.endAttempt(choice)
		q.recordOutcome(choice, pick.Abandoned, nil)
		q.refuse(http.StatusServiceUnavailable, reasonMemory)
		return resultDelivered, false
	}
	return 0, true
}

// endAttempt ends the accounting of the body at the server.
func (q *request) endAttempt(choice pick.Choice) {
	q.server.opts.ServerBytes.Remove(choice.Target.ID, q.serverBytes)
}

// accountedBody returns the length of the body, or the longest that it may have.
func (q *request) accountedBody() int64 {
	if q.body.length >= 0 {
		return q.body.length
	}
	if limit := q.snapshot.Config.Limits.MaxBodyBytes; limit > 0 {
		return limit
	}
	return assumedBody
}
