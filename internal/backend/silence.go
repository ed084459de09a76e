package backend

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxFailedProbes is the number of consecutive failed probes after which a
	// server counts as lost.
	maxFailedProbes = 3
	// maxMissingResponses is the number of consecutive probes that report the
	// attempt as ended, without a byte of its response arriving, after which the
	// connection counts as silent.
	maxMissingResponses = 2
)

// silenceWatch determines whether an attempt without progress is slow or its
// connection is silent. It queries the state of the attempt on a new connection
// and keeps waiting while the server reports the attempt as running or queued.
type silenceWatch struct {
	ex *exchange

	mu               sync.Mutex
	timer            *time.Timer
	stopped          bool
	body             *responseBody
	lastBytes        uint64
	failedProbes     int
	missingResponses int
	stalledChecks    int
}

func (w *silenceWatch) start(ex *exchange) {
	w.ex = ex
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(ex.client.opts.Silence, w.onTimer)
}

// responseStarted records that the response headers have arrived.
func (w *silenceWatch) responseStarted(body *responseBody) {
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

func (w *silenceWatch) onTimer() {
	w.ex.client.background(w.check)
}

func (w *silenceWatch) check() {
	if w.progressed() {
		w.rearm()
		return
	}
	if err := w.probe(); err != nil {
		w.ex.abandonSilent(err)
		return
	}
	w.rearm()
}

func (w *silenceWatch) rearm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(w.ex.client.opts.Silence)
	}
}

// progressed reports whether bytes were transferred since the last check, or the
// attempt waits for the caller and not for the server.
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
	if moved == w.lastBytes {
		return false
	}
	w.lastBytes, w.failedProbes, w.missingResponses, w.stalledChecks = moved, 0, 0, 0
	return true
}

func (w *silenceWatch) waitsForCaller() bool {
	if w.body != nil {
		return !w.body.reading.Load()
	}
	upload := w.ex.upload
	return upload != nil && upload.reading.Load()
}

// probe queries the state of the attempt. It returns an error if the connection
// must be abandoned.
func (w *silenceWatch) probe() error {
	c := w.ex.client
	ctx, stop := context.WithTimeout(w.ex.ctx, c.opts.Silence)
	defer stop()
	state, instance, err := w.ex.pool.state(ctx, w.ex.req.Attempt)
	if errors.Is(err, ErrUnsupported) {
		return w.checkPlainServer()
	}
	if err != nil {
		return w.countFailure(&w.failedProbes, maxFailedProbes, errServerLost)
	}
	w.failedProbes = 0
	if sentTo := w.ex.targetInstance(); sentTo != "" && sentTo != instance {
		return errServerLost
	}
	switch state {
	case StateRunning, StateWaiting:
		w.missingResponses = 0
		return nil
	case StateNotStarted:
		return errSilent
	default:
		return w.countFailure(&w.missingResponses, maxMissingResponses, errSilent)
	}
}

// checkPlainServer handles a server that responds on new connections but does not
// support the control protocol. Only an idempotent attempt is given up, after
// Options.PlainSilence.
func (w *silenceWatch) checkPlainServer() error {
	opts := w.ex.client.opts
	if !w.ex.req.Idempotent || opts.PlainSilence == 0 {
		return nil
	}
	return w.countFailure(&w.stalledChecks, int(opts.PlainSilence/opts.Silence), errSilent)
}

func (w *silenceWatch) countFailure(n *int, limit int, err error) error {
	*n++
	if *n < limit {
		return nil
	}
	return err
}

// abandonSilent abandons the connection of the attempt and closes the idle
// connections to the same server, which may be silent too.
func (ex *exchange) abandonSilent(cause error) {
	if ex.currentConn() == nil {
		return // the attempt ended during the probe
	}
	ex.client.metrics.silentConns.Inc(1)
	ex.client.opts.Logger.Warn("silent connection", "server", ex.pool.target.ID,
		"attempt", ex.req.Attempt, "cause", cause)
	ex.cancel(cause)
	ex.abandonConn()
	ex.pool.data.CloseIdleConnections()
}
