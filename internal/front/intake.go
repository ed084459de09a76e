package front

import (
	"io"

	"fuchsiaspar/internal/intake"
	"fuchsiaspar/internal/pick"
	"fuchsiaspar/internal/upstream"
)

const (
	// firstResponseBuffer is the size in bytes of the first buffer of a response of unknown
	// length.
	firstResponseBuffer = 4 << 10
	// assumedBody is the length in bytes that is accounted at a server for a long body of
	// unknown length if the operator sets no limit.
	assumedBody = 64 << 20
)

// client returns the accounting of the client's connection, or nil.
func (q *request) client() *intake.Conn { return intake.FromContext(q.r.Context()) }

// readBuffered reads up to bufferLimit bytes of the body, or less if the VM has no memory
// for more. complete reports whether the end of the body was reached.
func (q *request) readBuffered(resp *upstream.Response) (buffered []byte, complete bool, err error) {
	limit := q.bufferLimit()
	if resp.Length > int64(limit) {
		return nil, false, nil
	}
	for len(buffered) <= limit {
		if len(buffered) == cap(buffered) {
			size := max(2*cap(buffered), firstResponseBuffer)
			if resp.Length >= 0 {
				size = int(resp.Length) + 1
			}
			size = responseBufferSize(size)
			if !q.client().TryReserve(size - q.responseBytes) {
				return buffered, false, nil
			}
			q.responseBytes = size
			grown := append(takeResponseBuffer(size), buffered...)
			returnResponseBuffer(buffered)
			buffered = grown
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

// releaseResponse ends the accounting of a buffered response that has been written or is
// not needed, and makes its buffer available.
func (q *request) releaseResponse(buffered []byte) {
	q.client().Release(q.responseBytes)
	q.responseBytes = 0
	returnResponseBuffer(buffered)
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
		q.fail(reasonMemory)
		return resultRefused, false
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
