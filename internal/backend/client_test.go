package backend_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/backend/standin"
	"fuchsiaspar/internal/model"
)

func TestWholeAnswers(t *testing.T) {
	f := newFixture(t, longSilence, standin.Options{})
	for _, path := range []string{"/w", "/w?bytes=0", "/w?bytes=300000", "/w?bytes=8388608", "/w?bytes=200000&chunked=1"} {
		req := lookup(path)
		f.mustSucceed(req)
		f.wantRuns(req, 1)
	}
}

func TestUploads(t *testing.T) {
	f := newFixture(t, longSilence, standin.Options{})
	content := strings.Repeat("x", 1<<20)
	for _, length := range []int64{int64(len(content)), -1} {
		req := order("/upload")
		req.Body = strings.NewReader(content)
		req.ContentLength = length
		f.mustSucceed(req)
		f.wantRuns(req, 1)
	}
}

func TestShedIsNotRun(t *testing.T) {
	f := newFixture(t, longSilence, standin.Options{Slots: 1})
	running := f.startHeld(order(heldPath))
	queued := f.doAsync(order(heldPath))
	poll(func() bool { return f.health().Load >= 2 })
	req := order("/w")
	f.mustFail(req, model.OutcomeNotRun, model.ReasonShed)
	f.wantRuns(req, 0)
	f.releaseAndWait(running, queued)
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	f := newFixture(t, longSilence, standin.Options{})
	f.server.Kill()
	f.mustFail(order("/w"), model.OutcomeNotRun, model.ReasonConnect)
}

func TestConnectionLimit(t *testing.T) {
	f := newFixture(t, longSilence, standin.Options{MaxConns: 3})
	running := f.startHeld(order(heldPath))
	err := f.mustFail(order("/w"), model.OutcomeNotRun, model.ReasonConnect)
	if !errors.Is(err, backend.ErrConnLimit) {
		t.Errorf("got %v, want ErrConnLimit", err)
	}
	f.health() // control requests use reserved connections
	f.releaseAndWait(running)
}

func TestDamagedResponses(t *testing.T) {
	f := newFixture(t, longSilence, standin.Options{})
	f.health()
	for _, test := range []struct {
		path    string
		outcome model.Outcome
		reason  model.Reason
		runs    int
	}{
		{"/w?bytes=100000&fault=truncate", model.OutcomeUnknown, model.ReasonTruncated, 1},
		{"/w?bytes=100000&chunked=1&fault=truncate", model.OutcomeUnknown, model.ReasonTruncated, 1},
		{"/w?fault=crossed", model.OutcomeUnknown, model.ReasonCrossedAnswer, 1},
		{"/w?fault=no-length", model.OutcomeUnknown, model.ReasonBadAnswer, 1},
		{"/w?fault=reset-after", model.OutcomeUnknown, model.ReasonReset, 1},
		{"/w?fault=reset-before", model.OutcomeNotRun, model.ReasonReset, 0},
	} {
		req := order(test.path)
		f.mustFail(req, test.outcome, test.reason)
		f.wantRuns(req, test.runs)
		f.mustSucceed(order("/after"))
	}
}

// brokenReader is a request body that ends before its declared length.
type brokenReader struct{ io.Reader }

func (r brokenReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func TestCallerGoneDuringUpload(t *testing.T) {
	f := newFixture(t, longSilence, standin.Options{})
	f.health()
	req := order("/upload")
	req.Body = brokenReader{strings.NewReader(strings.Repeat("x", 1<<16))}
	req.ContentLength = 1 << 20
	f.mustFail(req, model.OutcomeNotRun, model.ReasonCallerGone)
	f.wantRuns(req, 0)
}

func TestPlainServer(t *testing.T) {
	f := newFixture(t, longSilence, standin.Options{Plain: true})
	f.mustSucceed(order("/w"))
	f.mustFail(order("/w?fault=reset-before"), model.OutcomeUnknown, model.ReasonReset)
	if report := f.health(); !report.Ready || !report.Plain {
		t.Errorf("report %+v", report)
	}
}

// TestCancelAnsweredByRestartedServer loses an attempt for which the client knew
// another instance of the server than the one that handles the cancellation. Such
// a cancellation must not prove that the attempt did not run.
func TestCancelAnsweredByRestartedServer(t *testing.T) {
	f := newFixture(t, longSilence, standin.Options{})
	f.health()
	f.server.Kill()
	f.start(standin.Options{ID: "server-1", Address: f.server.Address()})
	f.mustFail(order("/w?fault=reset-before"), model.OutcomeUnknown, model.ReasonReset)
	f.mustFail(order("/w?fault=reset-before"), model.OutcomeNotRun, model.ReasonReset)
}

// requestWithLostResponse returns an attempt that http.Transport retries on its
// own if its connection was used before: it has no body and carries an
// idempotency key.
func requestWithLostResponse() *backend.Request {
	req := order("/w?fault=reset-after")
	req.Header.Set("Idempotency-Key", "1")
	return req
}

func TestNoHiddenRepeat(t *testing.T) {
	f := newFixture(t, longSilence, standin.Options{})
	f.mustSucceed(order("/first"))
	req := requestWithLostResponse()
	f.mustFail(req, model.OutcomeUnknown, model.ReasonReset)
	f.wantRuns(req, 1)
}

// TestStandardTransportRepeats checks the premise of TestNoHiddenRepeat: with a
// plain http.Transport, the attempt runs twice.
func TestStandardTransportRepeats(t *testing.T) {
	f := newFixture(t, longSilence, standin.Options{})
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	req := requestWithLostResponse()
	for _, path := range []string{"/first", req.Path} {
		out, err := http.NewRequestWithContext(t.Context(), req.Method, "http://"+f.server.Address()+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		out.Header.Set("Idempotency-Key", "1")
		out.Header.Set(backend.HeaderAttempt, string(req.Attempt)+path)
		if resp, err := transport.RoundTrip(out); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
	if runs := f.server.AttemptRuns(req.Attempt + model.AttemptID(req.Path)); runs < 2 {
		t.Errorf("%d runs: the stand-in no longer causes a transport retry", runs)
	}
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	f := newFixture(t, longSilence, standin.Options{})
	req := order("/w")
	req.Header = http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, standin.HeaderOrder: {"7"}}
	resp, err := f.client.Do(t.Context(), f.server.Target(), req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.Header.Get(standin.HeaderOrder) != "7" {
		t.Errorf("end-to-end header lost: %v", resp.Header)
	}
	for _, name := range []string{backend.HeaderAttempt, backend.HeaderInstance} {
		if resp.Header.Get(name) != "" {
			t.Errorf("header %s forwarded", name)
		}
	}
	if req.Header.Get("X-Hop") != "1" {
		t.Error("the caller's headers were changed")
	}
}

func TestReservedPath(t *testing.T) {
	f := newFixture(t, longSilence, standin.Options{})
	for _, path := range []string{
		backend.AttemptsPath + "x", "/a/.." + backend.HealthPath, "/%2ewell-known/fuchsiaspar/health", "relative", "",
	} {
		f.mustFail(order(path), model.OutcomeNotRun, model.ReasonMalformed)
	}
}

func TestCancelWhileQueued(t *testing.T) {
	f := newFixture(t, longSilence, standin.Options{Slots: 1})
	f.health()
	running := f.startHeld(order(heldPath))
	ctx, cancel := context.WithCancel(t.Context())
	req := order("/w")
	done := make(chan error, 1)
	go func() {
		_, err := f.client.Do(ctx, f.server.Target(), req)
		done <- err
	}()
	poll(func() bool { return f.server.Arrived(req.Attempt) })
	cancel()
	f.wantError(<-done, model.OutcomeNotRun, model.ReasonCancelled)
	f.releaseAndWait(running)
	f.wantRuns(req, 0)
}

func TestCancelWhileRunning(t *testing.T) {
	f := newFixture(t, longSilence, standin.Options{})
	f.health()
	req := order(heldPath)
	running := f.startHeld(req)
	outcome, err := f.client.Cancel(t.Context(), f.server.Target(), req.Attempt)
	if err != nil || outcome != model.OutcomeUnknown {
		t.Errorf("cancel: %v, %v", outcome, err)
	}
	f.release()
	f.wantError(<-running, model.OutcomeUnknown, model.ReasonReset)
	f.wantRuns(req, 1)
}

func TestDeadline(t *testing.T) {
	f := newFixture(t, longSilence, standin.Options{})
	f.health()
	req := order(heldPath)
	req.Deadline = time.Now().Add(6 * testSilence)
	f.mustFail(req, model.OutcomeUnknown, model.ReasonTimeout)
}

func TestDrainingServerIsReported(t *testing.T) {
	f := newFixture(t, longSilence, standin.Options{DrainGrace: time.Nanosecond})
	f.server.Drain()
	if err := f.mustFail(order("/w"), model.OutcomeNotRun, model.ReasonShed); !err.Draining {
		t.Error("error does not report draining")
	}
	if report := f.health(); report.Ready || !report.Draining {
		t.Errorf("report %+v", report)
	}
}

func TestRetainKeepsAttemptsInFlight(t *testing.T) {
	f := newFixture(t, longSilence, standin.Options{})
	running := f.startHeld(order(heldPath))
	f.client.Retain(nil)
	f.releaseAndWait(running)
}

func TestCloseEndsAttempts(t *testing.T) {
	f := newFixture(t, longSilence, standin.Options{})
	running := f.startHeld(order(heldPath))
	f.client.Close()
	f.wantError(<-running, model.OutcomeUnknown, model.ReasonCancelled)
	f.mustFail(order("/w"), model.OutcomeNotRun, model.ReasonCancelled)
}

// TestCloseDuringRead closes response bodies while another goroutine reads them,
// as an entry VM does when the caller of a large response leaves.
func TestCloseDuringRead(t *testing.T) {
	f := newFixture(t, longSilence, standin.Options{})
	const size = 4 << 20
	for range 40 {
		resp, err := f.client.Do(t.Context(), f.server.Target(), lookup("/w?bytes=4194304"))
		if err != nil {
			t.Fatal(err)
		}
		first := make(chan struct{})
		type result struct {
			bytes int64
			err   error
		}
		done := make(chan result)
		go func() {
			one, err := io.ReadFull(resp.Body, make([]byte, 1))
			close(first)
			if err != nil {
				done <- result{int64(one), err}
				return
			}
			n, err := io.Copy(io.Discard, resp.Body)
			done <- result{n + 1, err}
		}()
		<-first
		resp.Body.Close()
		if got := <-done; got.err == nil && got.bytes != size {
			t.Fatalf("%d of %d bytes read without an error", got.bytes, size)
		}
	}
}
