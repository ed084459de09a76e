package quota

import (
	"context"
	"io"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

// Errors of a Pacer. Test for them with errors.Is.
var (
	// ErrNoCap reports a key without a cap, which may not be spent.
	ErrNoCap = errors.New("quota: no cap for the key")
	// ErrPaceEnded reports that the context ended while waiting for units.
	ErrPaceEnded = errors.New("quota: ended while waiting for units")
)

// paceChunk is the largest count of bytes that a transfer takes at once, so
// that transfers of one priority take turns.
const paceChunk = 32 << 10

// Pacer holds one transfer to what a ledger allows on a link.
type Pacer struct {
	Ledger   *Ledger
	Key      Key
	Priority model.Priority
	// Now returns the time with its monotonic reading; nil means time.Now.
	Now func() time.Time
}

// Wait blocks until some of n units were taken and returns their count.
func (p *Pacer) Wait(ctx context.Context, n int64) (int64, error) {
	if p.Ledger.meter(p.Key) == nil {
		return 0, ErrNoCap
	}
	for {
		now := p.now()
		if taken := p.Ledger.TakeUpToPriority(now, p.Key, n, p.Priority); taken > 0 {
			return taken, nil
		}
		next := p.Ledger.NextAvailable(now, p.Key, 1, p.Priority)
		if !sleep(ctx, next.Sub(now)) {
			return 0, errors.WithMessage(ErrPaceEnded, ctx.Err().Error())
		}
	}
}

func (p *Pacer) now() time.Time {
	if p.Now == nil {
		return time.Now()
	}
	return p.Now()
}

// Writer returns a writer that passes bytes on to w as the pacer allows, until
// ctx ends.
func (p *Pacer) Writer(ctx context.Context, w io.Writer) io.Writer {
	return &pacedWriter{ctx: ctx, pacer: p, to: w}
}

// pacedWriter is the Writer of a Pacer.
type pacedWriter struct {
	ctx   context.Context
	pacer *Pacer
	to    io.Writer
}

// Write writes all of b, or returns how much was written before an error.
func (w *pacedWriter) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		rest := b[written:]
		n, err := w.pacer.Wait(w.ctx, int64(min(len(rest), paceChunk)))
		if err != nil {
			return written, err
		}
		m, err := w.to.Write(rest[:n])
		written += m
		if err != nil {
			return written, errors.Wrap(err, "quota: paced write")
		}
	}
	return written, nil
}
