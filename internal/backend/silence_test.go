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
	f := newFixture(t, standin.Options{}, testSilence)
	if _, err := f.whole(order("/first")); err != nil {
		t.Fatal(err)
	}
	f.server.Silence()
	req := order("/w")
	_, err := f.whole(req)
	f.wantError(err, model.OutcomeNotRun, model.ReasonSilent)
	f.wantRuns(req, 0)
	if _, err := f.whole(order("/w")); err != nil {
		t.Errorf("new connection: %v", err)
	}
}

// TestSilentDuringRun loses the connection's traffic after the run began.
func TestSilentDuringRun(t *testing.T) {
	h := newHeld()
	f := newFixture(t, standin.Options{ServiceTime: h.serviceTime}, testSilence)
	f.learn()
	req := order("/held")
	running := f.start(req)
	<-h.started
	f.server.Silence()
	close(h.release)
	f.wantError((<-running).err, model.OutcomeUnknown, model.ReasonSilent)
	f.wantRuns(req, 1)
}

// TestSlowServerIsNotSilent keeps an attempt running over several probes.
func TestSlowServerIsNotSilent(t *testing.T) {
	const probes = 4
	h := newHeld()
	f := newFixture(t, standin.Options{ServiceTime: h.serviceTime}, testSilence)
	f.learn()
	running := f.start(order("/held"))
	<-h.started
	for f.server.Counts().Asked < probes {
		time.Sleep(time.Millisecond)
	}
	close(h.release)
	if r := <-running; r.err != nil {
		t.Error(r.err)
	}
}

// TestQueuedAttemptIsNotSilent keeps an attempt in the server's queue over
// several probes.
func TestQueuedAttemptIsNotSilent(t *testing.T) {
	const probes = 8
	h := newHeld()
	f := newFixture(t, standin.Options{Slots: 1, ServiceTime: h.serviceTime}, testSilence)
	f.learn()
	running := f.start(order("/held"))
	<-h.started
	queued := f.start(order("/w"))
	for f.server.Counts().Asked < probes {
		time.Sleep(time.Millisecond)
	}
	close(h.release)
	for _, done := range []<-chan result{running, queued} {
		if r := <-done; r.err != nil {
			t.Error(r.err)
		}
	}
}

// TestPlainServerSilence leaves a connection to a server that cannot tell about
// attempts.
func TestPlainServerSilence(t *testing.T) {
	h := newHeld()
	f := newFixture(t, standin.Options{Plain: true, ServiceTime: h.serviceTime}, testSilence)
	f.client.Close()
	f.client = backend.New(backend.Options{Silence: testSilence, PlainSilence: 2 * testSilence})
	req := lookup("/held")
	_, err := f.whole(req)
	f.wantError(err, model.OutcomeUnknown, model.ReasonSilent)
	close(h.release)
	report, err := f.client.Health(t.Context(), f.server.Target())
	if err != nil || !report.Ready || !report.Plain {
		t.Errorf("report %+v, %v", report, err)
	}
	f.client.Close()
}

// TestSlowReaderIsNotSilent leaves an answer unread over several periods.
func TestSlowReaderIsNotSilent(t *testing.T) {
	f := newFixture(t, standin.Options{}, testSilence)
	resp, err := f.client.Do(t.Context(), f.server.Target(), lookup("/w?bytes=8388608"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	time.Sleep(4 * testSilence)
	digest, err := standin.Digest(resp.Body)
	if err != nil || digest != resp.Header.Get(standin.HeaderDigest) {
		t.Errorf("digest %q, %v", digest, err)
	}
	if n := f.server.Counts().Asked; n != 0 {
		t.Errorf("%d probes for a reader that waits", n)
	}
}

// TestSilentDuringAnswer loses the rest of an answer.
func TestSilentDuringAnswer(t *testing.T) {
	f := newFixture(t, standin.Options{}, testSilence)
	resp, err := f.client.Do(t.Context(), f.server.Target(), lookup("/w?bytes=67108864"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	f.server.Silence()
	_, err = standin.Digest(resp.Body)
	f.wantError(err, model.OutcomeUnknown, model.ReasonSilent)
}

// TestLostServer pauses a server, so that new connections do not work either.
func TestLostServer(t *testing.T) {
	f := newFixture(t, standin.Options{}, testSilence)
	f.learn()
	f.server.Pause()
	_, err := f.whole(order("/w"))
	f.wantError(err, model.OutcomeUnknown, model.ReasonSilent)
	f.server.Resume()
	if _, err := f.whole(order("/w")); err != nil {
		t.Errorf("after the pause: %v", err)
	}
}
