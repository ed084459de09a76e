package backend_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/backend/standin"
	"fuchsiaspar/internal/model"
)

// testSilence is short so that the tests of silent connections end soon.
const testSilence = 20 * time.Millisecond

// longSilence keeps the silence watch out of tests that are not about it.
const longSilence = time.Minute

var attemptNumber atomic.Int64

func newAttempt() model.AttemptID {
	return model.AttemptID("attempt-" + strconv.FormatInt(attemptNumber.Add(1), 10))
}

// fixture is a client with one server.
type fixture struct {
	t      *testing.T
	server *standin.Server
	client *backend.Client
}

func newFixture(t *testing.T, opts standin.Options, silence time.Duration) *fixture {
	t.Helper()
	opts.ID = "server-1"
	server, err := standin.Start(opts)
	if err != nil {
		t.Fatal(err)
	}
	client := backend.New(backend.Options{Silence: silence})
	t.Cleanup(func() {
		client.Close()
		server.Kill()
	})
	return &fixture{t: t, server: server, client: client}
}

// learn lets the client see the server's instance name.
func (f *fixture) learn() {
	f.t.Helper()
	if _, err := f.client.Health(f.t.Context(), f.server.Target()); err != nil {
		f.t.Fatal(err)
	}
}

// order returns a non-idempotent request.
func order(path string) *backend.Request {
	return &backend.Request{Attempt: newAttempt(), Method: http.MethodPost, Path: path, Header: http.Header{}}
}

func lookup(path string) *backend.Request {
	req := order(path)
	req.Method = http.MethodGet
	req.Idempotent = true
	return req
}

// whole carries an attempt and reads its whole answer.
func (f *fixture) whole(req *backend.Request) ([]byte, error) {
	resp, err := f.client.Do(f.t.Context(), f.server.Target(), req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	if _, err := io.Copy(&body, resp.Body); err != nil {
		return body.Bytes(), err
	}
	f.checkDigest(resp, body.Bytes())
	return body.Bytes(), nil
}

func (f *fixture) checkDigest(resp *backend.Response, body []byte) {
	f.t.Helper()
	want := resp.Header.Get(standin.HeaderDigest) + resp.Trailer.Get(standin.HeaderDigest)
	got, err := standin.Digest(bytes.NewReader(body))
	if err != nil || got != want {
		f.t.Errorf("digest %q, want %q (%v)", got, want, err)
	}
}

func (f *fixture) wantError(err error, outcome model.Outcome, reason model.Reason) {
	f.t.Helper()
	var e *backend.Error
	if !errors.As(err, &e) {
		f.t.Fatalf("error %v, want an *Error", err)
	}
	if e.Outcome != outcome || e.Reason != reason {
		f.t.Errorf("got %v, want %s (%s)", e, reason, outcome)
	}
}

func (f *fixture) wantRuns(req *backend.Request, want int) {
	f.t.Helper()
	if got := f.server.AttemptRuns(req.Attempt); got != want {
		f.t.Errorf("%d runs of %s, want %d", got, req.Attempt, want)
	}
}

// held makes the service time of path /held last until it is released.
type held struct {
	started chan struct{}
	release chan struct{}
}

func newHeld() *held {
	return &held{started: make(chan struct{}, 16), release: make(chan struct{})}
}

func (h *held) serviceTime(path string) time.Duration {
	if path == "/held" {
		h.started <- struct{}{}
		<-h.release
	}
	return 0
}

// result is the end of an attempt that runs beside the test.
type result struct {
	body []byte
	err  error
}

func (f *fixture) start(req *backend.Request) <-chan result {
	done := make(chan result, 1)
	go func() {
		body, err := f.whole(req)
		done <- result{body, err}
	}()
	return done
}

func TestWholeAnswers(t *testing.T) {
	f := newFixture(t, standin.Options{}, longSilence)
	for _, path := range []string{"/w", "/w?bytes=0", "/w?bytes=300000", "/w?bytes=8388608", "/w?bytes=200000&chunked=1"} {
		req := lookup(path)
		if _, err := f.whole(req); err != nil {
			t.Errorf("%s: %v", path, err)
		}
		f.wantRuns(req, 1)
	}
}

func TestUploads(t *testing.T) {
	f := newFixture(t, standin.Options{}, longSilence)
	content := strings.Repeat("x", 1<<20)
	for _, length := range []int64{int64(len(content)), -1} {
		req := order("/upload")
		req.Body = strings.NewReader(content)
		req.ContentLength = length
		if _, err := f.whole(req); err != nil {
			t.Errorf("length %d: %v", length, err)
		}
		f.wantRuns(req, 1)
	}
}

func TestShedIsNotRun(t *testing.T) {
	h := newHeld()
	f := newFixture(t, standin.Options{Slots: 1, ServiceTime: h.serviceTime}, longSilence)
	running := f.start(order("/held"))
	<-h.started
	queued := f.start(order("/held"))
	for {
		report, err := f.client.Health(t.Context(), f.server.Target())
		if err != nil {
			t.Fatal(err)
		}
		if report.Load >= 2 {
			break
		}
	}
	req := order("/w")
	_, err := f.whole(req)
	f.wantError(err, model.OutcomeNotRun, model.ReasonShed)
	f.wantRuns(req, 0)
	close(h.release)
	for _, done := range []<-chan result{running, queued} {
		if r := <-done; r.err != nil {
			t.Error(r.err)
		}
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	f := newFixture(t, standin.Options{}, longSilence)
	f.server.Kill()
	_, err := f.whole(order("/w"))
	f.wantError(err, model.OutcomeNotRun, model.ReasonConnect)
}

func TestConnectionLimit(t *testing.T) {
	h := newHeld()
	f := newFixture(t, standin.Options{MaxConns: 3, ServiceTime: h.serviceTime}, longSilence)
	running := f.start(order("/held"))
	<-h.started
	_, err := f.whole(order("/w"))
	f.wantError(err, model.OutcomeNotRun, model.ReasonConnect)
	if !errors.Is(err, backend.ErrConnLimit) {
		t.Errorf("got %v, want ErrConnLimit", err)
	}
	f.learn()
	close(h.release)
	if r := <-running; r.err != nil {
		t.Error(r.err)
	}
}

func TestSpoiltAnswers(t *testing.T) {
	f := newFixture(t, standin.Options{}, longSilence)
	f.learn()
	tests := []struct {
		path    string
		outcome model.Outcome
		reason  model.Reason
		runs    int
	}{
		{"/w?bytes=100000&fault=truncate", model.OutcomeUnknown, model.ReasonTruncated, 1},
		{"/w?bytes=100000&chunked=1&fault=truncate", model.OutcomeUnknown, model.ReasonTruncated, 1},
		{"/w?fault=crossed", model.OutcomeUnknown, model.ReasonCrossed, 1},
		{"/w?fault=no-length", model.OutcomeUnknown, model.ReasonBadAnswer, 1},
		{"/w?fault=reset-after", model.OutcomeUnknown, model.ReasonReset, 1},
		{"/w?fault=reset-before", model.OutcomeNotRun, model.ReasonReset, 0},
	}
	for _, test := range tests {
		t.Run(test.path, func(t *testing.T) {
			req := order(test.path)
			_, err := f.whole(req)
			f.wantError(err, test.outcome, test.reason)
			f.wantRuns(req, test.runs)
			if _, err := f.whole(order("/after")); err != nil {
				t.Errorf("next attempt: %v", err)
			}
		})
	}
}

// brokenReader is a caller's body that breaks off.
type brokenReader struct{ io.Reader }

func (r brokenReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func TestCallerGoneDuringUpload(t *testing.T) {
	f := newFixture(t, standin.Options{}, longSilence)
	f.learn()
	req := order("/upload")
	req.Body = brokenReader{strings.NewReader(strings.Repeat("x", 1<<16))}
	req.ContentLength = 1 << 20
	_, err := f.whole(req)
	f.wantError(err, model.OutcomeNotRun, model.ReasonCallerGone)
	f.wantRuns(req, 0)
}

func TestPlainServer(t *testing.T) {
	f := newFixture(t, standin.Options{Plain: true}, longSilence)
	if _, err := f.whole(order("/w")); err != nil {
		t.Fatal(err)
	}
	_, err := f.whole(order("/w?fault=reset-before"))
	f.wantError(err, model.OutcomeUnknown, model.ReasonReset)
}

// TestRestartedServerProvesNothing loses an attempt that was sent when another
// process of the server was known than the one that answers the cancellation.
func TestRestartedServerProvesNothing(t *testing.T) {
	f := newFixture(t, standin.Options{}, longSilence)
	f.learn()
	f.server.Kill()
	second, err := standin.Start(standin.Options{ID: "server-1", Address: f.server.Address()})
	if err != nil {
		t.Fatal(err)
	}
	defer second.Kill()
	_, err = f.whole(order("/w?fault=reset-before"))
	f.wantError(err, model.OutcomeUnknown, model.ReasonReset)
	_, err = f.whole(order("/w?fault=reset-before"))
	f.wantError(err, model.OutcomeNotRun, model.ReasonReset)
}

// losesAnswer is an attempt that the standard transport repeats by itself when
// its connection was used before: it has no body and carries an idempotency key.
func losesAnswer() *backend.Request {
	req := order("/w?fault=reset-after")
	req.Header.Set("Idempotency-Key", "1")
	return req
}

func TestNoHiddenRepeat(t *testing.T) {
	f := newFixture(t, standin.Options{}, longSilence)
	if _, err := f.whole(order("/first")); err != nil {
		t.Fatal(err)
	}
	req := losesAnswer()
	_, err := f.whole(req)
	f.wantError(err, model.OutcomeUnknown, model.ReasonReset)
	f.wantRuns(req, 1)
}

// TestStandardTransportRepeats shows that the attempt of TestNoHiddenRepeat
// runs twice without the client's guard.
func TestStandardTransportRepeats(t *testing.T) {
	f := newFixture(t, standin.Options{}, longSilence)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	req := losesAnswer()
	for _, path := range []string{"/first", req.Path} {
		out, err := http.NewRequestWithContext(t.Context(), req.Method, "http://"+f.server.Address()+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		out.Header.Set("Idempotency-Key", "1")
		out.Header.Set(backend.HeaderAttempt, string(req.Attempt)+path)
		resp, err := transport.RoundTrip(out)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if runs := f.server.AttemptRuns(req.Attempt + model.AttemptID(req.Path)); runs < 2 {
		t.Errorf("%d runs: the stand-in no longer brings about a repeat", runs)
	}
}

func TestReservedPath(t *testing.T) {
	f := newFixture(t, standin.Options{}, longSilence)
	for _, path := range []string{
		backend.AttemptsPath + "x", "/a/.." + backend.HealthPath, "/%2ewell-known/fuchsiaspar/health", "relative", "",
	} {
		_, err := f.whole(order(path))
		f.wantError(err, model.OutcomeNotRun, model.ReasonMalformed)
	}
}

func TestCancelWhileQueued(t *testing.T) {
	h := newHeld()
	f := newFixture(t, standin.Options{Slots: 1, ServiceTime: h.serviceTime}, longSilence)
	f.learn()
	running := f.start(order("/held"))
	<-h.started
	ctx, cancel := context.WithCancel(t.Context())
	req := order("/w")
	done := make(chan error, 1)
	go func() {
		_, err := f.client.Do(ctx, f.server.Target(), req)
		done <- err
	}()
	for f.server.Arrived(req.Attempt) == false {
		time.Sleep(time.Millisecond)
	}
	cancel()
	f.wantError(<-done, model.OutcomeNotRun, model.ReasonCancelled)
	close(h.release)
	if r := <-running; r.err != nil {
		t.Error(r.err)
	}
	f.wantRuns(req, 0)
}

func TestCancelWhileRunning(t *testing.T) {
	h := newHeld()
	f := newFixture(t, standin.Options{ServiceTime: h.serviceTime}, longSilence)
	f.learn()
	req := order("/held")
	running := f.start(req)
	<-h.started
	outcome, err := f.client.Cancel(t.Context(), f.server.Target(), req.Attempt)
	if err != nil || outcome != model.OutcomeUnknown {
		t.Errorf("cancel: %v, %v", outcome, err)
	}
	close(h.release)
	f.wantError((<-running).err, model.OutcomeUnknown, model.ReasonReset)
	f.wantRuns(req, 1)
}

func TestDeadline(t *testing.T) {
	h := newHeld()
	f := newFixture(t, standin.Options{ServiceTime: h.serviceTime}, longSilence)
	f.learn()
	req := order("/held")
	req.Deadline = time.Now().Add(testSilence)
	_, err := f.whole(req)
	f.wantError(err, model.OutcomeUnknown, model.ReasonTimeout)
	close(h.release)
}

func TestDrainingServerSaysSo(t *testing.T) {
	f := newFixture(t, standin.Options{DrainGrace: time.Nanosecond}, longSilence)
	f.server.Drain()
	_, err := f.whole(order("/w"))
	f.wantError(err, model.OutcomeNotRun, model.ReasonShed)
	var e *backend.Error
	if errors.As(err, &e); !e.Draining {
		t.Error("error does not tell the drain")
	}
	report, err := f.client.Health(t.Context(), f.server.Target())
	if err != nil || report.Ready || !report.Draining {
		t.Errorf("report %+v, %v", report, err)
	}
}

func TestRetainKeepsAttemptsInFlight(t *testing.T) {
	h := newHeld()
	f := newFixture(t, standin.Options{ServiceTime: h.serviceTime}, longSilence)
	running := f.start(order("/held"))
	<-h.started
	f.client.Retain(nil)
	close(h.release)
	if r := <-running; r.err != nil {
		t.Error(r.err)
	}
}

func TestCloseEndsAttempts(t *testing.T) {
	h := newHeld()
	f := newFixture(t, standin.Options{ServiceTime: h.serviceTime}, longSilence)
	running := f.start(order("/held"))
	<-h.started
	f.client.Close()
	f.wantError((<-running).err, model.OutcomeUnknown, model.ReasonCancelled)
	_, err := f.whole(order("/w"))
	f.wantError(err, model.OutcomeNotRun, model.ReasonCancelled)
	close(h.release)
}
