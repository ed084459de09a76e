package backend_test

import (
	"testing"
	"time"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/backend/standin"
	"fuchsiaspar/internal/model"
)

// TestSilentBeforeRequest sends a request on a connection that became silent while
// idle. The request must be reported as not run.
func TestSilentBeforeRequest(t *testing.T) {
	f := newFixture(t, testSilence, standin.Options{})
	f.mustSucceed(order("/first"))
	f.server.Silence()
	req := order("/w")
	f.mustFail(req, model.OutcomeNotRun, model.ReasonSilentConnection)
	f.wantRuns(req, 0)
	f.mustSucceed(order("/w"))
}

// TestSilentDuringRun silences the connection after the run has started.
func TestSilentDuringRun(t *testing.T) {
	f := newFixture(t, testSilence, standin.Options{})
	f.health()
	req := order(heldPath)
	running := f.startHeld(req)
	f.server.Silence()
	f.release()
	f.wantError(<-running, model.OutcomeUnknown, model.ReasonSilentConnection)
	f.wantRuns(req, 1)
}

// TestSlowServerIsNotSilent keeps one attempt running and one queued at the server
// during several probes. Neither may be given up.
func TestSlowServerIsNotSilent(t *testing.T) {
	const probes = 8
	f := newFixture(t, testSilence, standin.Options{Slots: 1})
	f.health()
	running := f.startHeld(order(heldPath))
	queued := f.doAsync(order("/w"))
	poll(func() bool { return f.server.Counts().StateQueries >= probes })
	f.releaseAndWait(running, queued)
}

// TestPlainServerSilence checks that an idempotent attempt at a server without the
// control protocol is given up after PlainSilence.
func TestPlainServerSilence(t *testing.T) {
	f := newFixture(t, testSilence, standin.Options{Plain: true})
	f.mustFail(lookup(heldPath), model.OutcomeUnknown, model.ReasonSilentConnection)
}

// largeAnswer returns a response that exceeds the buffers between the server and
// the reader.
func (f *fixture) largeAnswer() *backend.Response {
	f.t.Helper()
	resp, err := f.client.Do(f.t.Context(), f.server.Target(), lookup("/w?bytes=67108864"))
	if err != nil {
		f.t.Fatal(err)
	}
	return resp
}

// TestSlowReaderIsNotSilent leaves a response unread for several silence periods.
// The client must neither probe the server nor give up the attempt.
func TestSlowReaderIsNotSilent(t *testing.T) {
	const periods = 4
	f := newFixture(t, testSilence, standin.Options{})
	resp := f.largeAnswer()
	before := f.server.Counts().StateQueries
	time.Sleep(periods * testSilence)
	// One probe that began before the response headers may still be in progress.
	if n := f.server.Counts().StateQueries - before; n > 1 {
		t.Errorf("%d probes in %d periods for a reader that waits", n, periods)
	}
	if err := f.read(resp); err != nil {
		t.Error(err)
	}
}

// TestSilentDuringAnswer silences the connection in the middle of a response.
func TestSilentDuringAnswer(t *testing.T) {
	f := newFixture(t, testSilence, standin.Options{})
	resp := f.largeAnswer()
	f.server.Silence()
	f.wantError(f.read(resp), model.OutcomeUnknown, model.ReasonSilentConnection)
}

// TestLostServer pauses a server, so that new connections get no response either.
func TestLostServer(t *testing.T) {
	f := newFixture(t, testSilence, standin.Options{})
	f.health()
	f.server.Pause()
	f.mustFail(order("/w"), model.OutcomeUnknown, model.ReasonSilentConnection)
	f.server.Resume()
	f.mustSucceed(order("/w"))
}
