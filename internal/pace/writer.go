package pace

import (
	"context"
	"io"

	"fuchsiaspar/internal/model"
)

// Writer passes writes on at the pace that a Waiter allows.
type Writer struct {
	ctx      context.Context
	waiter   *Waiter
	priority model.Priority
	dst      io.Writer
}

// NewWriter returns a writer to to whose waits end with ctx.
func NewWriter(ctx context.Context, w *Waiter, priority model.Priority, dst io.Writer) *Writer {
	return &Writer{ctx: ctx, waiter: w, priority: priority, dst: dst}
}

// Write sends p in chunks and returns how many bytes the destination took.
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
