package backend

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

// copyBufferBytes is the size of the pooled buffers used to copy response bodies.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{
	New: func() any {
		buf := make([]byte, copyBufferBytes)
		return &buf
	},
}

// uploadBody is the request body of an attempt. It has no GetBody function, so
// http.Transport cannot rewind it and retry an attempt with a body.
type uploadBody struct {
	source io.Reader
	// cancel ends the attempt when reading the source fails.
	cancel context.CancelCauseFunc
	// reading is set while a Read of the source is in progress.
	reading atomic.Bool
	stopped atomic.Bool
}

// Read reads from the source. It fails once the attempt has ended.
func (b *uploadBody) Read(p []byte) (int, error) {
	if b.stopped.Load() {
		return 0, errAbandoned
	}
	b.reading.Store(true)
	n, err := b.source.Read(p)
	b.reading.Store(false)
	if err != nil && !errors.Is(err, io.EOF) {
		b.cancel(errRequestBody)
	}
	return n, err
}

// Close leaves the source open, since the caller of Do owns it.
func (b *uploadBody) Close() error { return nil }

func (b *uploadBody) stop() { b.stopped.Store(true) }

// responseBody is the body of a response. It reports every incomplete body as an
// *Error and cancels the attempt when it is closed early. Close may be called
// while a Read is in progress.
type responseBody struct {
	ex    *exchange
	inner io.ReadCloser
	// reading is set while a Read from the server is in progress.
	reading atomic.Bool

	mu sync.Mutex
	// err is the result of all further Reads; nil while the body is open.
	err error
}

// Read returns io.EOF only after the complete body; any other error is an *Error.
func (b *responseBody) Read(p []byte) (int, error) {
	if err := b.result(); err != nil {
		return 0, err
	}
	b.reading.Store(true)
	n, err := b.inner.Read(p)
	b.reading.Store(false)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		if b.setResult(io.EOF) {
			b.inner.Close()
			b.ex.finish()
		}
	} else if failure := b.failure(err); b.setResult(failure) {
		b.abandon()
		b.ex.client.metrics.countFailure(failure.Outcome, failure.Reason)
	}
	return n, b.result()
}

func (b *responseBody) failure(err error) *Error {
	return &Error{
		Outcome: model.OutcomeUnknown,
		Reason:  reasonOf(err, context.Cause(b.ex.ctx)),
		Err:     err,
	}
}

func (b *responseBody) result() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// setResult ends the body with err. It reports false if the body has ended before.
func (b *responseBody) setResult(err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return false
	}
	b.err = err
	return true
}

// WriteTo copies the rest of the body through a pooled buffer.
func (b *responseBody) WriteTo(w io.Writer) (int64, error) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	return io.CopyBuffer(w, onlyReader{b}, *buf)
}

// onlyReader hides WriteTo, so that io.CopyBuffer uses the given buffer.
type onlyReader struct{ io.Reader }

// Close closes the body. If it was not read to its end, the attempt is cancelled
// at the server and its connection is closed.
func (b *responseBody) Close() error {
	if b.setResult(&Error{Outcome: model.OutcomeUnknown, Reason: model.ReasonCancelled, Err: errAbandoned}) {
		b.abandon()
	}
	return nil
}

func (b *responseBody) abandon() {
	ex := b.ex
	ex.abandonConn()
	b.inner.Close()
	ex.cancelInBackground()
	ex.finish()
}
