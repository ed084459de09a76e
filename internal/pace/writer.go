package pace

import (
	"context"
	"io"

	"fuchsiaspar/internal/model"
)

// Writer is an io.Writer that sends only the bytes granted by a Waiter.
type Writer struct {
	ctx      context.Context
	waiter   *Waiter
	priority model.Priority
	dst      io.Writer
}

// NewWriter returns a Writer that writes to dst. Its waits end with ctx.
func NewWriter(ctx context.Context, w *Waiter, priority model.Priority, dst io.Writer) *Writer {
	return &Writer{ctx: ctx, waiter: w, priority: priority, dst: dst}
}

// Write writes p in chunks and returns the number of bytes that the destination
// accepted. It returns an error that matches ErrWaitCancelled if the context ends first,
// or the error of the destination.
func (w *Writer) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		granted, err := w.waiter.Wait(w.ctx, w.priority, len(p)-sent)
		if err != nil {
			return sent, err
		}
		n, err := w.dst.Write(p[sent : sent+granted])
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}
