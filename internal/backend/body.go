package backend

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

// copyBufferBytes is the size of the buffers that answers are copied through.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{
	New: func() any {
		buf := make([]byte, copyBufferBytes)
		return &buf
	},
}

// uploadBody is the body of an attempt. It does not support rewinding, so that
// the transport cannot repeat an attempt with a body.
type uploadBody struct {
	source io.Reader
	// failed ends the attempt when the source breaks off.
	failed context.CancelCauseFunc
	// reading says that a Read of the source is in progress.
	reading atomic.Bool
	stopped atomic.Bool
}

// Read reads from the source until the attempt has ended.
func (b *uploadBody) Read(p []byte) (int, error) {
	if b.stopped.Load() {
		return 0, errAbandoned
	}
	b.reading.Store(true)
	n, err := b.source.Read(p)
	b.reading.Store(false)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed(errCallerBody)
	}
	return n, err
}

// Close leaves the source open: it belongs to the caller of Do.
func (b *uploadBody) Close() error { return nil }

func (b *uploadBody) stop() { b.stopped.Store(true) }

// answerBody is the body of an answer.
type answerBody struct {
	ex    *exchange
	inner io.ReadCloser
	// reading says that a Read from the server is in progress.
	reading atomic.Bool
	err     error
}

// Read returns io.EOF only after the whole body; any other end is an *Error.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	b.reading.Store(true)
	n, err := b.inner.Read(p)
	b.reading.Store(false)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.err = io.EOF
		b.inner.Close()
		b.ex.finish()
		return n, io.EOF
	}
	b.err = b.broken(err)
	return n, b.err
}

func (b *answerBody) broken(err error) error {
	ex := b.ex
	failure := &Error{
		Outcome: model.OutcomeUnknown,
		Reason:  reasonOf(err, context.Cause(ex.ctx)),
		Err:     err,
	}
	b.abandon()
	ex.client.metrics.failure(failure.Outcome, failure.Reason)
	return failure
}

// WriteTo copies the rest of the body through a pooled buffer.
func (b *answerBody) WriteTo(w io.Writer) (int64, error) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	return io.CopyBuffer(w, onlyReader{b}, *buf)
}

// onlyReader hides WriteTo.
type onlyReader struct{ io.Reader }

// Close ends the answer. An answer that was not read to its end is cancelled
// and its connection is dropped.
func (b *answerBody) Close() error {
	if b.err == nil {
		b.err = &Error{Outcome: model.OutcomeUnknown, Reason: model.ReasonCancelled, Err: errAbandoned}
		b.abandon()
	}
	return nil
}

func (b *answerBody) abandon() {
	ex := b.ex
	ex.leave()
	b.inner.Close()
	ex.cancelInBackground()
	ex.finish()
}
