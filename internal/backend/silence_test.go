package backend_test

import (
	"testing"
	"time"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/backend/standin"
	"fuchsiaspar/internal/model"
)

// TestSilentBeforeRequest sends a request on a connection that has gone silent
// while it was unused.
func TestSilentBeforeRequest(t *testing.T) {
	f := newFixture(t, testSilence, standin.Options{})
	f.answered(order("/first"))
	f.server.Silence()
	req := order("/w")
	f.refused(req, model.OutcomeNotRun, model.ReasonSilentConnection)
	f.wantRuns(req, 0)
	f.answered(order("/w"))
}

// TestSilentDuringRun loses the connection's traffic after the run began.
func TestSilentDuringRun(t *testing.T) {
	f := newFixture(t, testSilence, standin.Options{})
	f.health()
	req := order(heldPath)
	running := f.hold(req)
	f.server.Silence()
	f.release()
	f.wantError(<-running, model.OutcomeUnknown, model.ReasonSilentConnection)
	f.wantRuns(req, 1)
}

// TestSlowServerIsNotSilent keeps one attempt running and one in the server's
// queue over several probes.
func TestSlowServerIsNotSilent(t *testing.T) {
	const probes = 8
	f := newFixture(t, testSilence, standin.Options{Slots: 1})
	f.health()
	running := f.hold(order(heldPath))
	queued := f.beside(order("/w"))
	poll(func() bool { return f.server.Counts().Asked >= probes })
	f.end(running, queued)
}

// TestPlainServerSilence leaves a connection to a server that cannot tell about
// attempts.
func TestPlainServerSilence(t *testing.T) {
	f := newFixture(t, testSilence, standin.Options{Plain: true})
	f.refused(lookup(heldPath), model.OutcomeUnknown, model.ReasonSilentConnection)
}

// largeAnswer returns an answer that does not fit into the buffers between the
// server and the reader.
func (f *fixture) largeAnswer() *backend.Response {
	f.t.Helper()
	resp, err := f.client.Do(f.t.Context(), f.server.Target(), lookup("/w?bytes=67108864"))
	if err != nil {
		f.t.Fatal(err)
	}
	return resp
}

// TestSlowReaderIsNotSilent leaves an answer unread over several periods.
func TestSlowReaderIsNotSilent(t *testing.T) {
	const periods = 4
	f := newFixture(t, testSilence, standin.Options{})
	resp := f.largeAnswer()
	before := f.server.Counts().Asked
	time.Sleep(periods * testSilence)
	// One probe may still be under way from before the head of the answer.
	if n := f.server.Counts().Asked - before; n > 1 {
		t.Errorf("%d probes in %d periods for a reader that waits", n, periods)
	}
	if err := f.read(resp); err != nil {
		t.Error(err)
	}
}

// TestSilentDuringAnswer loses the rest of an answer.
func TestSilentDuringAnswer(t *testing.T) {
	f := newFixture(t, testSilence, standin.Options{})
	resp := f.largeAnswer()
	f.server.Silence()
	f.wantError(f.read(resp), model.OutcomeUnknown, model.ReasonSilentConnection)
}

// TestLostServer pauses a server, so that new connections do not work either.
func TestLostServer(t *testing.T) {
	f := newFixture(t, testSilence, standin.Options{})
	f.health()
	f.server.Pause()
	f.refused(order("/w"), model.OutcomeUnknown, model.ReasonSilentConnection)
	f.server.Resume()
	f.answered(order("/w"))
}
