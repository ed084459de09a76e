package backend

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxLostProbes is the count of failed probes in a row after which a
	// server counts as lost.
	maxLostProbes = 3
	// maxLateAnswers is the count of probes in a row that may find an attempt
	// ended while no byte of its answer arrives.
	maxLateAnswers = 2
)

// silenceWatch finds out whether an attempt without progress is slow or sits on
// a connection that has gone silent. It asks the server about the attempt on a
// new connection: while the server says that the attempt runs, it waits on.
type silenceWatch struct {
	ex *exchange

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	body    *answerBody
	seen    uint64
	lost    int
	late    int
	plain   int
}

func (w *silenceWatch) start(ex *exchange) {
	w.ex = ex
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(ex.client.opts.Silence, w.fire)
}

// answering tells that the head of the answer has arrived.
func (w *silenceWatch) answering(body *answerBody) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.body = body
}

func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

func (w *silenceWatch) fire() {
	w.ex.client.background(w.check)
}

func (w *silenceWatch) check() {
	if w.progressed() {
		w.again()
		return
	}
	if err := w.probe(); err != nil {
		w.ex.silent(err)
		return
	}
	w.again()
}

func (w *silenceWatch) again() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(w.ex.client.opts.Silence)
	}
}

// progressed reports whether bytes moved since the last check or the attempt
// waits for the caller and not for the server.
func (w *silenceWatch) progressed() bool {
	conn := w.ex.currentConn()
	if conn == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.waitsForCaller() {
		return true
	}
	moved := conn.bytes.Load()
	if moved == w.seen {
		return false
	}
	w.seen, w.lost, w.late, w.plain = moved, 0, 0, 0
	return true
}

func (w *silenceWatch) waitsForCaller() bool {
	if w.body != nil {
		return !w.body.reading.Load()
	}
	upload := w.ex.upload
	return upload != nil && upload.reading.Load()
}

// probe asks the server about the attempt. It returns an error when the
// connection must be left.
func (w *silenceWatch) probe() error {
	c := w.ex.client
	ctx, stop := context.WithTimeout(w.ex.ctx, c.opts.Silence)
	defer stop()
	state, instance, err := w.ex.pool.state(ctx, w.ex.req.Attempt)
	if errors.Is(err, ErrUnsupported) {
		return w.plainServer()
	}
	if err != nil {
		return w.count(&w.lost, maxLostProbes, errServerLost)
	}
	w.lost = 0
	if sentTo := w.ex.sentTo(); sentTo != "" && sentTo != instance {
		return errServerLost
	}
	switch state {
	case StateRunning, StateWaiting:
		w.late = 0
		return nil
	case StateNotStarted:
		return errSilent
	default:
		return w.count(&w.late, maxLateAnswers, errSilent)
	}
}

// plainServer decides on an attempt at a server that answers on new connections
// but cannot tell about attempts.
func (w *silenceWatch) plainServer() error {
	opts := w.ex.client.opts
	if !w.ex.req.Idempotent || opts.PlainSilence == 0 {
		return nil
	}
	return w.count(&w.plain, int(opts.PlainSilence/opts.Silence), errSilent)
}

func (w *silenceWatch) count(n *int, limit int, err error) error {
	*n++
	if *n < limit {
		return nil
	}
	return err
}

// silent leaves the connection of the attempt for good, along with the unused
// connections to the same server, which may have gone silent too.
func (ex *exchange) silent(cause error) {
	if ex.currentConn() == nil {
		return // ended while the server was asked
	}
	ex.client.metrics.silent.Inc(1)
	ex.client.opts.Logger.Warn("silent connection", "server", ex.pool.target.ID,
		"attempt", ex.req.Attempt, "cause", cause)
	ex.cancel(cause)
	ex.leave()
	ex.pool.data.CloseIdleConnections()
}
